#!/usr/bin/env bash
# Plays the standard days of sites on several seeds and judges floors and rules; the bench keeps a journal entry of each.
#   scripts/regress.sh BENCH SITE "SEEDS" [JOBS]
# BENCH: the users' program; SITE: a site's file; SEEDS: 0 is the file's own; JOBS: days at once (1 for sites of 60 machines
# and more). Prints a line a day, then the mean and spread of `worth` and how slow this machine was ("world": seconds that the
# bench took for itself in a day). Exit 1 when a rule was broken or a floor missed. Two commits are compared by running it
# in a clone of each; single runs of one day differ by up to 0.2, so means of three seeds and more count.
set -euo pipefail
cd "$(dirname "$0")/.."
[ $# -ge 3 ] || { sed -n '2,5p' "$0"; exit 2; }
bench=$1 site=$2 seeds=$3 jobs=${4:-1}
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
"$bench" build >"$out/build" 2>&1 || { tail -n 5 "$out/build"; exit 2; }
play() {
	local file=$1/$4.$5 options=()
	[ "$5" = 0 ] || options=(--seed "$5")
	"$2" run "$3" "$4" "${options[@]}" --why "regression: $4, seed $5" >"$file" 2>&1 || true
}
export -f play
days=$(sed -n '/^\[\[day\]\]/{n;s/^name = "\(.*\)"$/\1/p}' "$site")
for seed in $seeds; do
	for day in $days; do echo "$day $seed"; done
done | xargs -P "$jobs" -L 1 bash -c 'play "$0" "$1" "$2" "$3" "$4"' "$out" "$bench" "$site"
bad=0
for file in "$out"/*.*; do
	name=$(basename "$file")
	row=$(grep -m 1 "^${name%.*} " "$file" || echo "${name%.*} - - - - not played")
	world=$(sed -n 's/.*took [0-9.]* s: \([0-9.]*\) s for the world.*/\1/p' "$file")
	short=$(grep -m 1 '^short of the gate' "$file" || true)
	case "$row$short" in *BROKEN* | *"short of the gate"* | *"not played"*) bad=$((bad + 1)) ;; esac
	printf '%-14s world %-6s %s %s\n' "$name" "${world:--}" "$row" "$short" | tee -a "$out/table" | cut -c1-230
done
awk '{ sum += $7; if (NR == 1 || $7 < low) low = $7; if (NR == 1 || $7 > high) high = $7
	split($1, name, "."); day[name[1]] += $7; count[name[1]]++ }
	END { printf "worth: mean %.3f, %.3f to %.3f, %d runs;", sum / NR, low, high, NR
	for (it in day) printf " %s %.3f", it, day[it] / count[it]; print "" }' "$out/table"
echo "$bad runs with a rule broken, a floor missed or not played"
[ "$bad" = 0 ]
