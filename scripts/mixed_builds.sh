#!/usr/bin/env bash
# Runs processes of two builds side by side on loopback: nodes of both in one group under the soak's faults (jobs handed in
# through each, owners taken over in both directions, records of each read by the other), then the tour with keepers of one
# build and entries of the other, in both directions, and with a keeper and an entry of each. Exits with an error when a
# promise is broken.
#   scripts/mixed_builds.sh OLD NEW [SEEDS] [SECONDS]
# OLD, NEW: folders of binaries; SEEDS (default "7 8 9 10"): of the soak; SECONDS (default 15): with faults.
set -euo pipefail
cd "$(dirname "$0")/.."
[ $# -ge 2 ] || { sed -n '2,7p' "$0"; exit 2; }
old=$(cd "$1" && pwd) new=$(cd "$2" && pwd) seeds=${3:-7 8 9 10} seconds=${4:-15}
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
# Stands in for a program: processes whose settings file has an even number are of the first build, the others of the second.
of_both() { # FILE PROGRAM EVEN ODD
	printf '#!/usr/bin/env bash\ncase "$2" in *[02468].yaml) exec %s/%s "$@" ;; esac\nexec %s/%s "$@"\n' \
		"$3" "$2" "$4" "$2" >"$1"
	chmod +x "$1"
}
of_both "$dir/old_even" glade_node "$old" "$new"
of_both "$dir/new_even" glade_node "$new" "$old"
failed=0
port=19000
for order in old_even new_even; do
	for seed in $seeds; do
		port=$((port + 40))
		if "$new/glade_soak" --node "$dir/$order" --folder "$dir/$order-$seed" --seed "$seed" --seconds "$seconds" \
			--port "$port" >"$dir/out" 2>&1; then
			echo "$order seed $seed: $(tail -n 1 "$dir/out")"
		else
			echo "$order seed $seed FAILED: $(grep -E '^broken' "$dir/out" | head -n 3; tail -n 1 "$dir/out")"
			failed=$((failed + 1))
		fi
	done
done
for keepers in old new both; do
	mkdir "$dir/$keepers-keepers"
	for it in "$new"/*; do ln -s "$it" "$dir/$keepers-keepers/"; done
	case $keepers in
	old) ln -sf "$old/glade_keeper" "$dir/$keepers-keepers/" ;;
	new) ln -sf "$old/glade_entry" "$dir/$keepers-keepers/" ;;
	both)
		rm "$dir/$keepers-keepers/glade_keeper" "$dir/$keepers-keepers/glade_entry"
		of_both "$dir/$keepers-keepers/glade_keeper" glade_keeper "$old" "$new"
		of_both "$dir/$keepers-keepers/glade_entry" glade_entry "$new" "$old"
		;;
	esac
	port=$((port + 100))
	if GLADE_BIN="$dir/$keepers-keepers" PORT_BASE=$port scripts/tour.sh >"$dir/out" 2>&1; then
		echo "tour with keepers of $keepers build: $(tail -n 1 "$dir/out")"
	else
		echo "tour with keepers of $keepers build FAILED"
		grep -A 12 '^FAILED' "$dir/out" || tail -n 5 "$dir/out"
		failed=$((failed + 1))
	fi
done
echo "$failed failed"
[ "$failed" = 0 ]
