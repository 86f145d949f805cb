#!/usr/bin/env bash
# Measures entry hosts as real processes on loopback: docs/nodes.sh N [SECONDS]
# starts the stand-ins and N hosts in eight data centres, submits the
# configuration, and prints what a host costs at rest and how soon things are
# known everywhere. Everything it starts ends with it.
set -euo pipefail
n="${1:-4}"
rest="${2:-20}"
cd "$(dirname "$0")/.."
dir="$(mktemp -d)"
pids=()
finish() {
	kill "${pids[@]}" 2>/dev/null || true
	wait 2>/dev/null || true
	rm -rf "$dir"
}
trap finish EXIT

go build -o "$dir/sardineward" ./cmd/sardineward
go build -o "$dir/standin" ./cmd/standin
go run ./examples/bensalah >"$dir/configuration.jsonc"
"$dir/standin" -c "$dir/configuration.jsonc" >"$dir/standin.log" 2>&1 &
pids+=($!)

centres=(sfax-north sousse-port monastir-road d4 d5 d6 d7 d8)
for i in $(seq 0 $((n - 1))); do
	cat >"$dir/h$i.jsonc" <<S
{
  "host": "h$i", "dataCentre": "${centres[$((i % 8))]}", "platform": "127.0.0.1:20000", "hostList": "127.0.0.1:20001",
  "callers": {"listen": "127.0.0.1:$((30000 + i))"}, "peer": {"listen": "127.0.0.1:$((31000 + i))"}, "admin": {"listen": "127.0.0.1:$((32000 + i))"},
  "adminKeyHash": "$(printf admin | sha256sum | cut -d' ' -f1)",
  "peers": ["127.0.0.1:31000", "127.0.0.1:31001", "127.0.0.1:31002"], "timing": {"balancerMs": 100}, "log": {"level": "warn"}
}
S
	"$dir/sardineward" run -c "$dir/h$i.jsonc" 2>"$dir/h$i.log" &
	pids+=($!)
done

metric() { curl -s "http://127.0.0.1:$((32000 + $1))/metrics" | awk -v m="$2" '$1 == m {printf "%.3f", $2}'; }
# all METRIC VALUE waits until every host has the value, and prints the seconds.
all() {
	local start now left
	start="$(date +%s.%N)"
	for _ in $(seq 600); do
		left=0
		for i in $(seq 0 $((n - 1))); do
			[ "$(metric "$i" "$1")" = "$2" ] || { left=1; break; }
		done
		[ "$left" = 0 ] && break
		sleep 0.1
	done
	now="$(date +%s.%N)"
	awk "BEGIN{printf \"%.1f\", $now - $start}"
}
sleep 3
known="$(all sardineward_live_hosts "$n.000")"
export SARDINEWARD_ADMIN=127.0.0.1:32000 SARDINEWARD_ADMIN_KEY=admin
"$dir/sardineward" submit --base 0 --yes --by nodes "$dir/configuration.jsonc" >/dev/null
force="$(all sardineward_revision 1.000)"
sleep 5
sum() {
	local t=0 v
	for i in $(seq 0 $((n - 1))); do
		v="$(metric "$i" "$1")"
		t="$(awk "BEGIN{print $t + ${v:-0}}")"
	done
	echo "$t"
}
bytes="$(sum sardineward_control_bytes_total)" cpu="$(sum process_cpu_seconds_total)" calls="$(sum sardineward_platform_calls_total)"
sleep "$rest"
bytes2="$(sum sardineward_control_bytes_total)" cpu2="$(sum process_cpu_seconds_total)" calls2="$(sum sardineward_platform_calls_total)"
memory="$(sum process_resident_memory_bytes)"
awk "BEGIN{printf \"| %d | %s s | %s s | %.0f B/s | %.2f%% | %.1f MB | %.1f |\n\", $n, \"$known\", \"$force\",
	($bytes2 - $bytes) / $rest / $n / 2, 100 * ($cpu2 - $cpu) / $rest / $n, $memory / $n / 1e6, ($calls2 - $calls) / $rest}"
