#!/usr/bin/env bash
# Checks that docs/CAPACITY.md has the tables that `glade_bench capacity` would write: the same rows and words, whatever
# the numbers. Argument: the folder of the binaries.
set -euo pipefail
cd "$(dirname "$0")/.."
page=$(mktemp)
trap 'rm -f "$page"' EXIT
cp docs/CAPACITY.md "$page"
"$1/glade_bench" capacity --page "$page" >/dev/null
shape() { sed -E 's/-?[0-9]+(\.[0-9]+)?(e[-+]?[0-9]+)?/#/g' "$1"; }
diff <(shape docs/CAPACITY.md) <(shape "$page")
