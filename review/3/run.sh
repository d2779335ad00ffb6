#!/usr/bin/env bash
# Plays this case on loopback; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# TROUBLE=0 plays it without the disruption. Needs the build of the deploy file and review/build.sh.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$here/../.." && pwd)"
node="$root/target/bin/glade_node"
world="$root/review/build/bin/review_world"
if [ ! -x "$node" ] || [ ! -x "$world" ]; then
	echo "not built: run the build of deploy/system.toml and review/build.sh first"
	exit 2
fi
folder="$(mktemp -d)"
trap 'rm -rf "$folder"' EXIT
timeout -k 2 118 "$world" route-away "$node" "$folder" "$here/record.txt"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
