#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start, into review/build/. Needs what the deploy file's build needs.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B review/build -DCMAKE_BUILD_TYPE=Release -DGLADE_TESTS=OFF \
	-DCMAKE_PROJECT_glademount_INCLUDE="$PWD/review/standins/review.cmake"
cmake --build review/build --target review_world -j8
