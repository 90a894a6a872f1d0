#!/usr/bin/env bash
# Measures the raw numbers behind docs/CAPACITY.md: the cost of one message, and
# what an instance spends in fleets of several sizes. All on loopback, with small
# stand-ins; ends only the processes that it started.
#
# SLOPES_SIZES are the sizes of the fleets, SLOPES_SECONDS the length of each
# measurement, SLOPES_PORT the first of the ports.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/rules.sh

sizes=${SLOPES_SIZES:-"8 24 72"}
seconds=${SLOPES_SECONDS:-20}
port=${SLOPES_PORT:-21000}
settle_seconds=15
changes=10
accounts=2000
loaded_size=24
load_rate_factors="0.5 1"
ticks=$(getconf CLK_TCK)
ctl=bin/umberctl
router=bin/umbercrank
work=$(mktemp -d)
pids=()

finish() {
	trap - EXIT INT TERM
	stop_all
	rm -rf "$work"
}
trap finish EXIT
trap 'exit 1' INT TERM

stop_all() {
	local pid
	for pid in "${pids[@]}"; do
		kill -KILL "$pid" 2>/dev/null || true
	done
	for pid in "${pids[@]}"; do
		wait "$pid" 2>/dev/null || true
	done
	pids=()
}

caller_port() { echo $((port + 1000 + $1)); }
peer_port() { echo $((port + 2000 + $1)); }
admin_port() { echo $((port + 3000 + $1)); }
platform="http://127.0.0.1:$port"
centres=(lac charguia ariana ben-arous)

centre_of() { echo "${centres[$(($1 % 4))]}"; }

instances_json() {
	local i separator="["
	for i in $(seq "$1"); do
		printf '%s{"id":"entry-%d","data_centre":"%s","region":"tunis","caller_address":"127.0.0.1:%d","peer_address":"127.0.0.1:%d","state":"live"}\n' \
			"$separator" "$i" "$(centre_of "$i")" "$(caller_port "$i")" "$(peer_port "$i")"
		separator=","
	done
	echo "]"
}

# document_json LABEL prints a configuration; LABEL is an attribute of one account.
document_json() {
	local i
	cat <<-JSON
		$(rules_json)
		"upstreams":[
		{"id":"engine-1","target":"engines","data_centre":"lac","url":"http://127.0.0.1:$((port + 1))","max_concurrent":64,"kv_tokens":65536},
		{"id":"engine-2","target":"engines","data_centre":"ariana","url":"http://127.0.0.1:$((port + 2))","max_concurrent":64,"kv_tokens":65536},
		{"id":"queue-1","target":"queue","data_centre":"lac","url":"http://127.0.0.1:$((port + 3))","max_concurrent":64}],
		"accounts":[
	JSON
	for i in clinic-large clinic-small party-large party-small; do
		printf '{"id":"%s","key_sha256":["%s"],"limits":{"weight":1}},\n' "$i" "$(printf 'demo-key-%s' "$i" | sha256sum | cut -d' ' -f1)"
	done
	cat "$work/accounts.json"
	printf '{"id":"changing","key_sha256":["%s"],"labels":{"change":"%s"},"limits":{"weight":1}}]}\n' \
		"$(printf 'slopes-key-changing' | sha256sum | cut -d' ' -f1)" "$1"
}

# filler_accounts writes accounts that nobody uses.
filler_accounts() {
	local i
	for i in $(seq "$accounts"); do
		printf '{"id":"account-%05d","key_sha256":["%s"],"limits":{"requests_per_second":10,"concurrent":20,"weight":1}},\n' \
			"$i" "$(printf 'slopes-key-%d' "$i" | sha256sum | cut -d' ' -f1)"
	done >"$work/accounts.json"
}

wait_for() {
	for _ in $(seq 600); do
		curl -fs -o /dev/null --max-time 1 "$1" && return 0
		sleep 0.1
	done
	echo "slopes: $1 does not answer"
	tail -n 3 "$work"/*.log | head -n 40
	exit 1
}

# sample NAME N keeps processor ticks, resident kB and peer traffic of each
# instance, and the platform's count of calls.
sample() {
	local i
	for i in $(seq "$2"); do
		read -r -a stat <"/proc/${instance_pids[$i]}/stat"
		resident=$(awk '/^VmRSS/ {print $2}' "/proc/${instance_pids[$i]}/status")
		traffic=$(curl -fs --max-time 5 "http://127.0.0.1:$(admin_port "$i")/debug/vars" |
			grep -o '"peer_traffic": *{[^}]*}' | grep -o '[0-9]\+' | tr '\n' ' ')
		echo "$i $((stat[13] + stat[14])) $resident $traffic"
	done >"$work/$1"
	curl -fs "$platform/v1/calls" >"$work/$1.calls"
}

calls_of() {
	grep -o '"[a-z]*":[0-9]*' "$1" | awk -F'[":]+' '{print $2, $3}'
}

# compare LABEL FROM TO UNITS WHAT prints the mean of each instance between two
# samples, for each of UNITS.
compare() {
	join "$work/$2" "$work/$3" | awk -v label="$1" -v units="$4" -v what="$5" -v ticks="$ticks" '
		{cpu += ($8 - $2) / ticks; rss += $9; if ($9 > top) top = $9
		 sent += $10 - $4; got += $11 - $5; writes += $12 - $6; dials += $13 - $7; opened += $13
		 if ($10 - $4 > most) most = $10 - $4; n++}
		END {printf "%-34s cpu %8.3f ms  sent %8.0f B (most %8.0f)  received %8.0f B  writes %6.2f  dials %5.3f  per instance and %s; resident %.1f MB (most %.1f), %.1f dials since the start\n",
			label, 1000 * cpu / n / units, sent / n / units, most / units, got / n / units, writes / n / units, dials / n / units, what, rss / n / 1024, top / 1024, opened / n}'
	join <(calls_of "$work/$2.calls" | sort) <(calls_of "$work/$3.calls" | sort) |
		awk -v label="$1" -v units="$4" -v what="$5" '{printf "%-34s platform %-10s %10.2f per %s\n", label, $1, ($3 - $2) / units, what}'
}

start_fleet() {
	local n=$1 i
	instances_json "$n" >"$work/instances.json"
	"$ctl" standin config --address "127.0.0.1:$port" --document "$work/document.json" --instances "$work/instances.json" >"$work/config.log" 2>&1 &
	pids+=($!)
	wait_for "$platform/v1/instances"
	for i in 1 2; do
		"$ctl" standin engine --address "127.0.0.1:$((port + i))" --name "engine-$i" --model demo-model --seed "$i" --max-batch 64 --kv-tokens 65536 >"$work/engine-$i.log" 2>&1 &
		pids+=($!)
	done
	"$ctl" standin service --address "127.0.0.1:$((port + 3))" --name queue-1 >"$work/queue.log" 2>&1 &
	pids+=($!)
	instance_pids=()
	for i in $(seq "$n"); do
		"$router" serve --instance "entry-$i" --data-centre "$(centre_of "$i")" --region tunis \
			--caller-address "127.0.0.1:$(caller_port "$i")" --peer-address "127.0.0.1:$(peer_port "$i")" \
			--admin-address "127.0.0.1:$(admin_port "$i")" --platform-url "$platform" --log-level error \
			>"$work/entry-$i.log" 2>&1 &
		pids+=($!)
		instance_pids[i]=$!
	done
	for i in $(seq "$n"); do
		wait_for "http://127.0.0.1:$(admin_port "$i")/healthz"
	done
	sleep "$settle_seconds"
}

measure_idle() {
	sample idle-from "$1"
	sleep "$seconds"
	sample idle-to "$1"
	compare "idle, $1 instances" idle-from idle-to "$seconds" second
}

# measure_changes publishes one changed account a second.
measure_changes() {
	local i
	sample change-from "$1"
	for i in $(seq "$changes"); do
		document_json "$i" >"$work/changed.json"
		curl -fs -X PUT --data-binary @"$work/changed.json" -o /dev/null "$platform/v1/document"
		sleep 1
	done
	sleep 3
	sample change-to "$1"
	compare "with $changes changes, $1 instances" change-from change-to $((changes + 3)) second
}

# measure_load drives requests and compares with the idle fleet.
measure_load() {
	local n=$1 factor=$2 requests addresses
	addresses=$(seq "$n" | while read -r i; do echo "127.0.0.1:$(caller_port "$i")"; done | paste -sd,)
	rm -f "$work/load.json"
	sample load-from "$n"
	"$ctl" load --profile demo --duration "${seconds}s" --rate-factor "$factor" --callers $((n * 4)) --address "$addresses" --json "$work/load.json" >"$work/load.log" 2>&1 || true
	sample load-to "$n"
	if ! [ -f "$work/load.json" ]; then
		echo "load x$factor, $n instances: not run: $(tail -n 1 "$work/load.log")"
		return 0
	fi
	requests=$(grep -m 1 -o '"offered": *[0-9]*' "$work/load.json" | grep -o '[0-9]*')
	compare "load x$factor, $n instances" load-from load-to "$seconds" second
	echo "load x$factor, $n instances: $requests requests in $seconds s"
}

echo "== messages: one request at a remote and at the own dispatcher, and the codec"
go test -run '^$' -bench 'RemoteGrant|LocalGrant|Codec' -benchtime 3000x ./pkg/dispatch | grep '^Benchmark'
echo "== views: one exchange, one answer of the directory, one choice of a dispatcher"
go test -run '^$' -bench . -benchtime 1000x ./pkg/membership ./pkg/directory ./pkg/rendezvous | grep '^Benchmark'

UMBERCRANK_PEER_SECRET=$(head -c 24 /dev/urandom | base64)
export UMBERCRANK_PEER_SECRET
filler_accounts
document_json 0 >"$work/document.json"
for n in $sizes; do
	echo "== fleet of $n instances on loopback"
	start_fleet "$n"
	measure_idle "$n"
	measure_changes "$n"
	if [ "$n" = "$loaded_size" ]; then
		for factor in $load_rate_factors; do
			measure_load "$n" "$factor"
		done
	fi
	stop_all
done
echo "slopes: ok"
