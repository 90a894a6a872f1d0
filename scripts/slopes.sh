#!/usr/bin/env bash
# Measures the inputs of docs/CAPACITY.md: the cost of one message, and the CPU
# time, memory and traffic of an instance in fleets of several sizes. Everything
# runs on loopback with small stand-ins. Kills only processes that it started.
#
# SLOPES_SIZES are the fleet sizes, SLOPES_SECONDS the duration of each
# measurement, SLOPES_PORT the lowest port.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/rules.sh

sizes=${SLOPES_SIZES:-"8 24 72"}
seconds=${SLOPES_SECONDS:-20}
port=${SLOPES_PORT:-21000}
settle_seconds=15
change_count=10
account_count=2000
loaded_size=24
load_rate_factors="0.5 1"
ticks_per_second=$(getconf CLK_TCK)
ctl=bin/umberctl
router=bin/umbercrank
work_dir=$(mktemp -d)
pids=()

finish() {
	trap - EXIT INT TERM
	stop_all
	rm -rf "$work_dir"
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
data_centres=(lac charguia ariana ben-arous)

data_centre_of() { echo "${data_centres[$(($1 % 4))]}"; }

instances_json() {
	local i separator="["
	for i in $(seq "$1"); do
		printf '%s{"id":"entry-%d","data_centre":"%s","region":"tunis","caller_address":"127.0.0.1:%d","peer_address":"127.0.0.1:%d","state":"live"}\n' \
			"$separator" "$i" "$(data_centre_of "$i")" "$(caller_port "$i")" "$(peer_port "$i")"
		separator=","
	done
	echo "]"
}

# document_json LABEL prints a configuration in which one account has the label
# "change" with the value LABEL.
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
	cat "$work_dir/accounts.json"
	printf '{"id":"changing","key_sha256":["%s"],"labels":{"change":"%s"},"limits":{"weight":1}}]}\n' \
		"$(printf 'slopes-key-changing' | sha256sum | cut -d' ' -f1)" "$1"
}

# write_idle_accounts writes accounts that send no requests.
write_idle_accounts() {
	local i
	for i in $(seq "$account_count"); do
		printf '{"id":"account-%05d","key_sha256":["%s"],"limits":{"requests_per_second":10,"concurrent":20,"weight":1}},\n' \
			"$i" "$(printf 'slopes-key-%d' "$i" | sha256sum | cut -d' ' -f1)"
	done >"$work_dir/accounts.json"
}

wait_for() {
	for _ in $(seq 600); do
		curl -fs -o /dev/null --max-time 1 "$1" && return 0
		sleep 0.1
	done
	echo "slopes: $1 does not answer"
	tail -n 3 "$work_dir"/*.log | head -n 40
	exit 1
}

# sample NAME N records CPU ticks, resident memory in kB and peer traffic of
# instances 1 to N in $work_dir/NAME, and the call counters of the configuration
# stand-in in $work_dir/NAME.calls.
sample() {
	local i
	for i in $(seq "$2"); do
		read -r -a stat <"/proc/${instance_pids[$i]}/stat"
		resident=$(awk '/^VmRSS/ {print $2}' "/proc/${instance_pids[$i]}/status")
		traffic=$(curl -fs --max-time 5 "http://127.0.0.1:$(admin_port "$i")/debug/vars" |
			grep -o '"peer_traffic": *{[^}]*}' | grep -o '[0-9]\+' | tr '\n' ' ')
		echo "$i $((stat[13] + stat[14])) $resident $traffic"
	done >"$work_dir/$1"
	curl -fs "$platform/v1/calls" >"$work_dir/$1.calls"
}

# calls_of FILE prints the call counters in FILE, one name and count per line.
calls_of() {
	grep -o '"[a-z]*":[0-9]*' "$1" | awk -F'[":]+' '{print $2, $3}'
}

# compare LABEL FROM TO UNITS UNIT prints the difference between two samples,
# divided by UNITS: the mean over the instances, and the calls to the
# configuration stand-in. Resident memory and the dials since the start are those
# in sample TO. UNIT is the name of the unit.
compare() {
	join "$work_dir/$2" "$work_dir/$3" | awk -v label="$1" -v units="$4" -v unit="$5" -v ticks_per_second="$ticks_per_second" '
		{cpu += ($8 - $2) / ticks_per_second; rss += $9; if ($9 > max_rss) max_rss = $9
		 sent += $10 - $4; received += $11 - $5; writes += $12 - $6; dials += $13 - $7; total_dials += $13
		 if ($10 - $4 > max_sent) max_sent = $10 - $4; n++}
		END {printf "%-34s cpu %8.3f ms  sent %8.0f B (most %8.0f)  received %8.0f B  writes %6.2f  dials %5.3f  per instance and %s; resident %.1f MB (most %.1f), %.1f dials since the start\n",
			label, 1000 * cpu / n / units, sent / n / units, max_sent / units, received / n / units, writes / n / units, dials / n / units, unit, rss / n / 1024, max_rss / 1024, total_dials / n}'
	join <(calls_of "$work_dir/$2.calls" | sort) <(calls_of "$work_dir/$3.calls" | sort) |
		awk -v label="$1" -v units="$4" -v unit="$5" '{printf "%-34s platform %-10s %10.2f per %s\n", label, $1, ($3 - $2) / units, unit}'
}

start_fleet() {
	local n=$1 i
	instances_json "$n" >"$work_dir/instances.json"
	"$ctl" standin config --address "127.0.0.1:$port" --document "$work_dir/document.json" --instances "$work_dir/instances.json" >"$work_dir/config.log" 2>&1 &
	pids+=($!)
	wait_for "$platform/v1/instances"
	for i in 1 2; do
		"$ctl" standin engine --address "127.0.0.1:$((port + i))" --name "engine-$i" --model demo-model --seed "$i" --max-batch 64 --kv-tokens 65536 >"$work_dir/engine-$i.log" 2>&1 &
		pids+=($!)
	done
	"$ctl" standin service --address "127.0.0.1:$((port + 3))" --name queue-1 >"$work_dir/queue.log" 2>&1 &
	pids+=($!)
	instance_pids=()
	for i in $(seq "$n"); do
		"$router" serve --instance "entry-$i" --data-centre "$(data_centre_of "$i")" --region tunis \
			--caller-address "127.0.0.1:$(caller_port "$i")" --peer-address "127.0.0.1:$(peer_port "$i")" \
			--admin-address "127.0.0.1:$(admin_port "$i")" --platform-url "$platform" --log-level error \
			>"$work_dir/entry-$i.log" 2>&1 &
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

# measure_changes changes the label of one account once per second.
measure_changes() {
	local i
	sample change-from "$1"
	for i in $(seq "$change_count"); do
		document_json "$i" >"$work_dir/changed.json"
		curl -fs -X PUT --data-binary @"$work_dir/changed.json" -o /dev/null "$platform/v1/document"
		sleep 1
	done
	sleep 3
	sample change-to "$1"
	compare "with $change_count changes, $1 instances" change-from change-to $((change_count + 3)) second
}

# measure_load N FACTOR measures a fleet of N instances under load.
measure_load() {
	local n=$1 factor=$2 requests addresses
	addresses=$(seq "$n" | while read -r i; do echo "127.0.0.1:$(caller_port "$i")"; done | paste -sd,)
	rm -f "$work_dir/load.json"
	sample load-from "$n"
	"$ctl" load --profile demo --duration "${seconds}s" --rate-factor "$factor" --callers $((n * 4)) --address "$addresses" --json "$work_dir/load.json" >"$work_dir/load.log" 2>&1 || true
	sample load-to "$n"
	if ! [ -f "$work_dir/load.json" ]; then
		echo "load x$factor, $n instances: not run: $(tail -n 1 "$work_dir/load.log")"
		return 0
	fi
	requests=$(grep -m 1 -o '"offered": *[0-9]*' "$work_dir/load.json" | grep -o '[0-9]*')
	compare "load x$factor, $n instances" load-from load-to "$seconds" second
	echo "load x$factor, $n instances: $requests requests in $seconds s"
}

echo "== messages: one request at a remote and at the own dispatcher, and the codec"
go test -run '^$' -bench 'RemoteGrant|LocalGrant|Codec' -benchtime 3000x ./pkg/dispatch | grep '^Benchmark'
echo "== views: one exchange, one answer of the directory, one choice of a dispatcher"
go test -run '^$' -bench . -benchtime 1000x ./pkg/membership ./pkg/directory ./pkg/rendezvous | grep '^Benchmark'

UMBERCRANK_PEER_SECRET=$(head -c 24 /dev/urandom | base64)
export UMBERCRANK_PEER_SECRET
write_idle_accounts
document_json 0 >"$work_dir/document.json"
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
