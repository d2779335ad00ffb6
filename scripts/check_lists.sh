#!/usr/bin/env bash
# Lists that scripts read line by line have the form that they expect: a tool that rewrote one would hide its rows.
set -euo pipefail
cd "$(dirname "$0")/.."
# check FILE PATTERN LEAST: each line matches PATTERN, and there are LEAST lines at least that are no comment.
check() {
	if grep -vnE "$2" "$1"; then
		echo "$1: these lines don't have the form of a row"
		exit 1
	fi
	local rows
	rows=$(grep -cvE '^#' "$1" || true)
	if [ "$rows" -lt "$3" ]; then
		echo "$1: $rows rows, $3 wanted"
		exit 1
	fi
	echo "$1: $rows rows"
}
check scripts/mutations.txt "^(#.*|[^	]+	[^	]+	[^	]+	[^	]+)\$" 19
check KNOWN-RED.txt '^[^|]+ \| [^|]+ \| [0-9]+$' 0
# Seeds that the pages name as broken run in CI.
seeds=$(scripts/soak.sh seeds)
echo "tests/soak/seeds.txt: $(echo "$seeds" | wc -l) rows"
named=$(grep -ohiE 'soak seeds? [0-9]+(, [0-9]+)*' docs/findings.md docs/incidents/*.md KNOWN-RED.txt | grep -oE '[0-9]+' | sort -u)
missing=$(comm -23 <(echo "$named") <(echo "$seeds" | sort))
if [ -n "$missing" ]; then
	echo "tests/soak/seeds.txt: missing: $missing"
	exit 1
fi
