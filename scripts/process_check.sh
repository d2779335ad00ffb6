#!/usr/bin/env bash
# Real processes on loopback at a tenth of the boxes but all zones of letter 1: ZONES zones, each with PER_ZONE entries and
# keepers, a platform stand-in that lists BOXES boxes. Prints JSON lines: memory, processor and control bytes per process,
# quiet and under a change a second, and time from publishing to in force everywhere. Bounded in time; no part of CI.
# PORT_BASE (default 20000), ZONES (10), PER_ZONE (3), BOXES (120), SPAN seconds (15).
set -euo pipefail
cd "$(dirname "$0")/.."
base=${PORT_BASE:-20000} zones=${ZONES:-10} per=${PER_ZONE:-3} boxes=${BOXES:-120} span=${SPAN:-15}
bin=build/bin
dir=$(mktemp -d)
pids=()
stop_all() {
	for p in "${pids[@]}"; do kill -KILL "$p" 2>/dev/null || true; done
	wait 2>/dev/null || true
	rm -rf "$dir"
}
trap stop_all EXIT
start() {
	"$bin/$2" --settings "$dir/$1.yaml" --log-level warning >"$dir/$1.out" 2>&1 &
	pids+=($!)
	echo "$!" >"$dir/$1.pid"
}
{
	echo "listen: 127.0.0.1:$base"
	echo "reboot_time: 2s"
	echo "boxes:"
	for ((i = 0; i < boxes; i++)); do
		echo "  - {name: box-$i, zone: zone-$((i % zones)), rack: rack-$((i / zones % 4)), address: '127.0.0.1:9', slots: 8}"
	done
} >"$dir/platform.yaml"
start platform standin_platform
names=()
for ((z = 0; z < zones; z++)); do
	for ((k = 0; k < per; k++)); do
		n=$((z * per + k))
		peers=""
		for ((o = 0; o < per; o++)); do [ $o = $k ] || peers="$peers${peers:+, }127.0.0.1:$((base + 100 + z * per + o))"; done
		cat >"$dir/keeper-$n.yaml" <<YAML
name: keeper-$n
zone: zone-$z
frames: 127.0.0.1:$((base + 100 + n))
status: 127.0.0.1:$((base + 200 + n))
platform: 127.0.0.1:$base
peers: [$peers]
lead: 1s
YAML
		cat >"$dir/entry-$n.yaml" <<YAML
name: entry-$n
zone: zone-$z
callers: 127.0.0.1:$((base + 300 + n))
peers: 127.0.0.1:$((base + 400 + n))
frames: 127.0.0.1:$((base + 500 + n))
status: 127.0.0.1:$((base + 600 + n))
keepers: [127.0.0.1:$((base + 100 + n))]
credentials: [{tenant: t, token_sha256: '0'}]
YAML
		start "keeper-$n" glade_keeper
		start "entry-$n" glade_entry
		names+=("$n")
	done
done
echo "service,pool,weight,floor,ceiling,class,guard" >"$dir/table.csv"
for ((i = 0; i < 10; i++)); do echo "service-$i,pool-$i,1,24,1000,normal,zone" >>"$dir/table.csv"; done
keeper="127.0.0.1:$((base + 100))"
glade() { "$bin/glade" "$@" --keeper "$keeper"; }
end=$((SECONDS + 30))
until glade table publish "$dir/table.csv" >/dev/null 2>&1; do
	[ $SECONDS -lt $end ] || { echo "no keeper accepted the table" >&2; exit 1; }
	sleep 0.3
done
offsets() { for n in "${names[@]}"; do curl -s "http://127.0.0.1:$((base + 600 + n))/dump" | grep -o '"view_offset":[0-9]*' | cut -d: -f2; done; }
in_force() { # offset
	local low
	low=$(offsets | sort -n | head -1)
	[ "$(offsets | wc -l)" = "${#names[@]}" ] && [ "${low:-0}" -ge "$1" ]
}
until in_force 1; do sleep 0.3; done
sleep 8
ticks() { awk '{print $14 + $15}' "/proc/$(cat "$dir/$1.pid")/stat"; }
memory() { awk '/VmRSS/ {print $2 * 1024}' "/proc/$(cat "$dir/$1.pid")/status"; }
entry_bytes() { curl -s "http://127.0.0.1:$((base + 600 + $1))/dump" | grep -o '"keeper_bytes":[0-9]*' | cut -d: -f2; }
keeper_bytes() { curl -s "http://127.0.0.1:$((base + 200 + $1))/dump" | grep -oE '"(platform_bytes|frame_bytes)":[0-9]*' | cut -d: -f2 | awk '{s += $1} END {print s}'; }
planner() { for n in "${names[@]}"; do if curl -s "http://127.0.0.1:$((base + 200 + n))/dump" | grep -q '"plans":true'; then echo "$n"; return; fi; done; echo 0; }
p=$(planner || true)
measure() { # label, whether a change a second is published
	local e0 k0 p0 eb0 kb0
	e0=$(ticks entry-1) k0=$(ticks keeper-1) p0=$(ticks "keeper-$p") eb0=$(entry_bytes 1) kb0=$(keeper_bytes 1)
	local begin=$SECONDS i=0
	while [ $((SECONDS - begin)) -lt "$span" ]; do
		i=$((i + 1))
		if [ "$2" = yes ]; then
			sed -i "2s/,pool-0,[0-9]*/,pool-0,$((i % 9 + 1))/" "$dir/table.csv"
			glade table publish "$dir/table.csv" >/dev/null
		fi
		sleep 1
	done
	local s=$((SECONDS - begin)) hz
	hz=$(getconf CLK_TCK)
	say() { echo "{\"bench\":\"processes\",\"preset\":\"$1\",\"figure\":\"$2\",\"value\":$3,\"unit\":\"$4\"}"; }
	say "$1" entry_processor "$(echo "scale=3; ($(ticks entry-1) - $e0) * 100 / $hz / $s" | bc)" "% of a core"
	say "$1" keeper_processor "$(echo "scale=3; ($(ticks keeper-1) - $k0) * 100 / $hz / $s" | bc)" "% of a core"
	say "$1" planner_processor "$(echo "scale=3; ($(ticks "keeper-$p") - $p0) * 100 / $hz / $s" | bc)" "% of a core"
	say "$1" entry_control_bytes "$((($(entry_bytes 1) - eb0) / s))" "B/s"
	say "$1" keeper_control_bytes "$((($(keeper_bytes 1) - kb0) / s))" "B/s"
	say "$1" entry_memory "$(memory entry-1)" "B"
	say "$1" keeper_memory "$(memory keeper-1)" "B"
}
measure quiet no
measure change_a_second yes
worst=0
for i in 1 2 3 4 5; do
	sed -i "3s/,pool-1,[0-9]*/,pool-1,$((i + 1))/" "$dir/table.csv"
	begin=$(date +%s%3N)
	offset=$(glade table publish "$dir/table.csv" | grep -o 'offset [0-9]*' | cut -d' ' -f2)
	until in_force "$offset"; do :; done
	took=$(($(date +%s%3N) - begin))
	[ $took -gt $worst ] && worst=$took
done
say all in_force_worst_of_5 "$worst" "ms, with the polling of ${#names[@]} status pages"
say all processes "${#pids[@]}" "processes"
