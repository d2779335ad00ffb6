#!/usr/bin/env bash
# Runs the soak: scripts/soak.sh FIRST LAST [PARALLEL] [SECONDS] runs seeds FIRST to LAST; logs of a seed that broke a
# promise stay in build/soak/SEED. scripts/soak.sh regress runs the seeds of tests/soak/seeds.txt.
set -euo pipefail
cd "$(dirname "$0")/.."
run() {
	local seed=$1 seconds=$2 folder="build/soak/$1"
	local port=$((20000 + seed % 500 * 20))
	rm -rf "$folder"
	mkdir -p "$folder"
	if build/soak/bin/glade_soak --node build/soak/bin/glade_node --folder "$folder" --seed "$seed" --seconds "$seconds" \
		--port "$port" >"$folder/soak.txt" 2>&1; then
		tail -n 1 "$folder/soak.txt"
		rm -rf "$folder"
	else
		grep -E '^broken' "$folder/soak.txt" || true
		tail -n 1 "$folder/soak.txt"
		echo "FAILED seed=$seed"
		return 1
	fi
}
export -f run
# The programs as they are now: a build that goes on meanwhile must not replace them.
mkdir -p build/soak/bin
cp build/bin/glade_node build/bin/glade_soak build/soak/bin/
if [ "${1:-}" = regress ]; then
	seeds=$(grep -oE '^[0-9]+' tests/soak/seeds.txt)
	parallel=${2:-4}
	seconds=${3:-12}
else
	seeds=$(seq "$1" "$2")
	parallel=${3:-4}
	seconds=${4:-15}
fi
echo "$seeds" | xargs -P "$parallel" -I{} bash -c "run {} $seconds"
