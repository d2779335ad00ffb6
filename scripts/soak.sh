#!/usr/bin/env bash
# Runs the soak: scripts/soak.sh FIRST LAST [PARALLEL] [SECONDS] runs seeds FIRST to LAST; logs of a seed that broke a
# promise stay in build/soak/SEED. scripts/soak.sh regress [PARALLEL] [SECONDS] runs the seeds of tests/soak/seeds.txt,
# and passes over the failures of those that KNOWN-RED.txt names ("soak seed N | ..."); scripts/soak.sh seeds lists them.
# SOAK_SEEDS names another list.
set -euo pipefail
cd "$(dirname "$0")/.."
run() {
	local seed=$1 seconds=$2 folder="build/soak/$1"
	local port=$((20000 + seed % 500 * 20))
	# One run at a time uses a seed's ports, also of other clones: two would talk to each other's boxes.
	exec 9>"${TMPDIR:-/tmp}/glade_soak_$port.lock"
	flock 9
	rm -rf "$folder"
	mkdir -p "$folder"
	if "$SOAK_BIN/glade_soak" --node "$SOAK_BIN/glade_node" --folder "$folder" --seed "$seed" --seconds "$seconds" \
		--port "$port" >"$folder/soak.txt" 2>&1; then
		tail -n 1 "$folder/soak.txt"
		rm -rf "$folder"
	else
		grep -E '^broken' "$folder/soak.txt" || true
		tail -n 1 "$folder/soak.txt"
		echo "FAILED seed=$seed"
		if grep -qE "^soak seed $seed \| " KNOWN-RED.txt; then
			echo "known failure, not judged: soak seed $seed"
			return 0
		fi
		return 1
	fi
}
export -f run
# Each line is a comment or a seed with its cause: seeds behind another one would not be found.
read_seeds() {
	local list=$1
	if grep -vnE '^(#.*|[0-9]+ [^ ].*)$' "$list" >&2; then
		echo "$list: these lines are neither a comment nor SEED CAUSE" >&2
		return 1
	fi
	if grep -oE '^[0-9]+' "$list" | sort | uniq -d | grep . >&2; then
		echo "$list: these seeds stand there twice" >&2
		return 1
	fi
	grep -oE '^[0-9]+' "$list"
}
if [ "${1:-}" = seeds ]; then
	read_seeds "${SOAK_SEEDS:-tests/soak/seeds.txt}"
	exit
fi
if [ "${1:-}" = regress ]; then
	seeds=$(read_seeds "${SOAK_SEEDS:-tests/soak/seeds.txt}")
	parallel=${2:-4}
	seconds=${3:-12}
	echo "soak: $(echo "$seeds" | wc -l) seeds: $(echo "$seeds" | tr '\n' ' ')"
else
	seeds=$(seq "$1" "$2")
	parallel=${3:-4}
	seconds=${4:-15}
fi
# The programs as they are now, in a folder of this call: a build that goes on meanwhile, or another call, must not
# replace them.
mkdir -p build/soak
SOAK_BIN=$(mktemp -d build/soak/bin.XXXXXX)
export SOAK_BIN
trap 'rm -rf "$SOAK_BIN"' EXIT
cp build/bin/glade_node build/bin/glade_soak "$SOAK_BIN/"
echo "$seeds" | xargs -P "$parallel" -I{} bash -c "run {} $seconds"
