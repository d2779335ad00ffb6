#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8 into target/review-2/. Needs g++ and rapidjson, as the deploy file does.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
out=../../target/review-2
mkdir -p "$out"
for case in crossed_answers waiting_count sick_minion lost_minion held_run; do
	g++ -std=c++20 -O2 -Wall -Wextra -pthread -o "$out/$case" "$case.cpp" http.cpp store.cpp world.cpp
done
