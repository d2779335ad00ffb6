#!/usr/bin/env bash
# Plays clients that misbehave beside ordinary callers (docs/clients.md): scripts/clients.sh [PARALLEL] plays the list
# tests/clients/plays.txt, passes over the failures of plays that KNOWN-RED.txt names ("clients KIND DOOR | ...") and
# says which failed; scripts/clients.sh play KIND DOOR CLIENTS SECONDS [SEED] plays one, and passes over nothing.
# Logs of a play that failed stay in build/clients/KIND.DOOR.
set -euo pipefail
cd "$(dirname "$0")/.."
PORTS_PER_PLAY=16
export PORTS_PER_PLAY
# Plays once: play_one NUMBER KIND DOOR CLIENTS SECONDS [SEED]
play_one() {
	local number=$1 kind=$2 door=$3 clients=$4 seconds=$5 seed=${6:-1}
	local folder="build/clients/$kind.$door" port=$((12000 + number * PORTS_PER_PLAY))
	# One play at a time uses a range of ports, also of other clones.
	exec 9>"${TMPDIR:-/tmp}/glade_clients_$port.lock"
	flock 9
	rm -rf "$folder"
	mkdir -p "$folder"
	if "$CLIENTS_BIN/glade_clients" play --node "$CLIENTS_BIN/glade_node" --folder "$folder" --kind "$kind" \
		--door "$door" --clients "$clients" --seconds "$seconds" --seed "$seed" --port "$port" >"$folder/play.txt" 2>&1; then
		tail -n 1 "$folder/play.txt"
		rm -rf "$folder"
		return
	fi
	grep -E '^broken' "$folder/play.txt" | head -n 5 || true
	tail -n 1 "$folder/play.txt"
	if [ "$CLIENTS_JUDGES" = known ] && grep -qE "^clients $kind $door \| " KNOWN-RED.txt; then
		echo "known failure, not judged: clients $kind $door"
		return
	fi
	echo "FAILED clients $kind $door"
	return 1
}
export -f play_one
# The programs as they are now: a build that goes on meanwhile must not replace them.
mkdir -p build/clients
CLIENTS_BIN=$(mktemp -d build/clients/bin.XXXXXX)
export CLIENTS_BIN
trap 'rm -rf "$CLIENTS_BIN"' EXIT
cp build/bin/glade_node build/bin/glade_clients "$CLIENTS_BIN/"
if [ "${1:-}" = play ]; then
	export CLIENTS_JUDGES=all
	play_one 99 "${@:2}"
else
	export CLIENTS_JUDGES=known
	grep -v '^#' tests/clients/plays.txt | awk '{ print NR, $0 }' | xargs -P "${1:-4}" -L 1 bash -c 'play_one "$@"' play_one
	echo "clients: $(grep -cv '^#' tests/clients/plays.txt) plays"
fi
