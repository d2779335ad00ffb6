#!/usr/bin/env bash
# Breaks one promise after the other in a scratch copy of the sources and shows that a test notices. Prints a line a
# mutation; exits with an error when one survives.
set -euo pipefail
cd "$(dirname "$0")/.."
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
cp -r CMakeLists.txt src tests docs "$scratch/" 2>/dev/null || cp -r CMakeLists.txt src tests "$scratch/"
cmake -S "$scratch" -B "$scratch/build" -G Ninja >/dev/null
cmake --build "$scratch/build" --target glade_tests >/dev/null
survivors=0
while IFS=$'\t' read -r name file expression filter; do
	[ -z "$name" ] && continue
	case "$name" in \#*) continue ;; esac
	cp "$scratch/$file" "$scratch/saved"
	sed -i -E "$expression" "$scratch/$file"
	if cmp -s "$scratch/saved" "$scratch/$file"; then
		echo "NOT APPLIED  $name"
		survivors=$((survivors + 1))
	elif ! cmake --build "$scratch/build" --target glade_tests >"$scratch/log" 2>&1; then
		echo "NOT BUILT    $name"
		survivors=$((survivors + 1))
	elif timeout 300 "$scratch/build/bin/glade_tests" -tc="$filter" >"$scratch/log" 2>&1; then
		echo "SURVIVED     $name"
		survivors=$((survivors + 1))
	else
		echo "noticed      $name ($(grep -c 'ERROR:' "$scratch/log" || true) checks failed)"
	fi
	cp "$scratch/saved" "$scratch/$file"
done <scripts/mutations.txt
[ "$survivors" = 0 ]
