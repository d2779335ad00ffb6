#!/usr/bin/env bash
# The tour behind ./quickstart: starts everything, publishes a table, sends requests, stops everything it started.
set -euo pipefail
cd "$(dirname "$0")/.."
base=${PORT_BASE:-7100}
bin=${GLADE_BIN:-build/bin}
dir=$(mktemp -d)
pids=()
stop_all() {
	for p in "${pids[@]}"; do kill -TERM "$p" 2>/dev/null || true; done
	for p in "${pids[@]}"; do wait "$p" 2>/dev/null || true; done
	rm -rf "$dir"
}
trap stop_all EXIT
fail() {
	[ -n "${TOUR_DEBUG:-}" ] && { set +e; glade boxes; glade pools; curl -s http://127.0.0.1:$((base+51))/dump; call $((base + 11)) token-of-oyo -i;  call $((base + 12)) token-of-oyo -i; }
	echo "FAILED: $*" >&2
	for f in "$dir"/*.out; do
		echo "--- $(basename "$f")" >&2
		tail -5 "$f" >&2
	done
	exit 1
}
start() { # name, program
	"$bin/$2" --settings "$dir/$1.yaml" >"$dir/$1.out" 2>&1 &
	pids+=($!)
}
until_true() { # seconds, what, command…
	local end=$((SECONDS + $1)) what=$2
	shift 2
	until "$@" >/dev/null 2>&1; do
		[ "$SECONDS" -lt "$end" ] || fail "$what"
		sleep 0.1
	done
}
glade() { "$bin/glade" "$@" --keeper "127.0.0.1:$((base + 1)),127.0.0.1:$((base + 2))"; }

{
	echo "listen: 127.0.0.1:$base"
	echo "reboot_time: 300ms"
	echo "boxes:"
	for i in 1 2 3 4 5 6; do
		zone=zone-a
		[ "$i" -gt 3 ] && zone=zone-b
		echo "  - {name: box-$i, zone: $zone, rack: rack-$i, address: '127.0.0.1:$((base + 20 + i))', slots: 8}"
		printf 'listen: 127.0.0.1:%s\nname: box-%s\n' $((base + 20 + i)) "$i" >"$dir/endpoint-$i.yaml"
	done
} >"$dir/platform.yaml"
token_hash() { printf '%s' "$1" | sha256sum | cut -d' ' -f1; }
for k in 1 2; do
	zone=zone-a
	[ $k = 2 ] && zone=zone-b
	cat >"$dir/keeper-$k.yaml" <<YAML
name: keeper-$k
zone: $zone
frames: 127.0.0.1:$((base + k))
status: 127.0.0.1:$((base + 40 + k))
platform: 127.0.0.1:$base
peers: [127.0.0.1:$((base + 3 - k))]
plan_tick: 100ms
list_tick: 200ms
YAML
	cat >"$dir/entry-$k.yaml" <<YAML
name: entry-$k
zone: $zone
callers: 127.0.0.1:$((base + 10 + k))
peers: 127.0.0.1:$((base + 12 + k))
frames: 127.0.0.1:$((base + 14 + k))
status: 127.0.0.1:$((base + 50 + k))
keepers: [127.0.0.1:$((base + k))]
settle: 1s
clock_skew: 200ms
credentials:
  - {tenant: oyo, token_sha256: $(token_hash token-of-oyo)}
  - {tenant: kaduna, token_sha256: $(token_hash token-of-kaduna), services: misting}
YAML
done
cat >"$dir/table.csv" <<'CSV'
service,pool,weight,floor,ceiling,class,guard
misting,control,3,8,48,urgent,box
ventilation,control,2,4,48,urgent,box
analytics,batch,1,4,48,batch,none
CSV

start platform standin_platform
for i in 1 2 3 4 5 6; do start "endpoint-$i" standin_endpoint; done
for k in 1 2; do start "keeper-$k" glade_keeper; done
for k in 1 2; do start "entry-$k" glade_entry; done
echo "started: platform and 6 endpoint stand-ins, 2 keepers, 2 entries"

until_true 20 "keepers answer" glade members
glade table check "$dir/table.csv" >/dev/null || fail "table check"
echo "publish: $(glade table publish "$dir/table.csv")" || fail "publish"
six_up() { [ "$(glade boxes --json | grep -o '"health":"up"' | wc -l)" = 6 ]; }
until_true 20 "six boxes are up" six_up
call() { # port, token, curl arguments…
	local port=$1 token=$2
	shift 2
	curl -s --max-time 5 -H "Authorization: Bearer $token" "$@" "http://127.0.0.1:$port$path"
}
path=/misting/status
answered() { call $((base + 11)) token-of-oyo | grep -q '"box"' && call $((base + 12)) token-of-oyo | grep -q '"box"'; }
until_true 20 "both entries answer" answered
echo "GET through entry-1:  $(call $((base + 11)) token-of-oyo)"
echo "GET through entry-2:  $(call $((base + 12)) token-of-oyo)"
path=/analytics/x
echo "another firm's service: $(call $((base + 11)) token-of-kaduna)"
path=/misting/on
sleep 2
key="$(date +%s%3N)-bench-7"
first=$(call $((base + 11)) token-of-oyo -X POST -H "Idempotency-Key: $key" -d '{"minutes":3}')
second=$(call $((base + 12)) token-of-oyo -X POST -H "Idempotency-Key: $key" -d '{"minutes":3}')
echo "POST with a key:      $first"
echo "again, other entry:   $second"
[ -n "$first" ] && [ "$first" = "$second" ] || fail "the second POST did not get the first's answer"
ran=0
for i in 1 2 3 4 5 6; do
	ran=$((ran + $(curl -s "http://127.0.0.1:$((base + 20 + i))/runs" | grep -o "\"$key\":[0-9]*" | cut -d: -f2 | head -1 || true) + 0))
done
[ "$ran" = 1 ] || fail "the POST ran $ran times"
echo "it ran $ran time"
until_true 30 "a box is maintained" sh -c "$bin/glade boxes --json --keeper 127.0.0.1:$((base + 1)) | grep -q '\"state\":\"\\(rebooting\\|verifying\\|draining\\)\"'"
echo "a maintenance wave is under way; pools:"
glade pools
echo "ok"
