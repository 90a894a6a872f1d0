# Functions that start a whole system on loopback and end it again. A scenario
# sets scenario, seconds and port, sources this file, and sets result=ok at its
# end; the exit trap prints "$scenario: ok" or "$scenario: FAILED …".
# shellcheck shell=bash

source scripts/rules.sh

wait_seconds=30
router=bin/umbercrank
ctl=bin/umberctl
centres=(lac charguia ariana ben-arous)
engine_centres=(lac charguia ariana ben-arous lac charguia)
service_centres=(lac ariana)
accounts=(clinic-large clinic-small party-large party-small)

work=$(mktemp -d)
pids=()
declare -A pid_of
result="FAILED before the end"

finish() {
	trap - EXIT INT TERM
	for pid in "${pids[@]}"; do
		kill "$pid" 2>/dev/null || true
	done
	for pid in "${pids[@]}"; do
		wait_gone "$pid" || kill -KILL "$pid" 2>/dev/null || true
	done
	if [ "$result" = ok ]; then
		rm -rf "$work"
		echo "$scenario: ok"
		exit 0
	fi
	echo "logs are in $work"
	echo "$scenario: $result"
	exit 1
}
trap finish EXIT
trap 'result="FAILED: interrupted"; finish' INT TERM

fail() {
	result="FAILED: $1"
	exit 1
}

# wait_gone PID waits a bounded time for one of our processes to end.
wait_gone() {
	for _ in $(seq 150); do
		kill -0 "$1" 2>/dev/null || return 0
		sleep 0.1
	done
	return 1
}

# start NAME COMMAND… runs a process in the background and keeps its pid.
start() {
	local name=$1
	shift
	"$@" >"$work/$name.log" 2>&1 &
	pids+=($!)
	pid_of[$name]=$!
}

# wait_for NAME URL waits until the URL answers.
wait_for() {
	for _ in $(seq $((wait_seconds * 10))); do
		kill -0 "${pid_of[$1]}" 2>/dev/null || break
		if curl -fs -o /dev/null --max-time 1 "$2"; then
			return 0
		fi
		sleep 0.1
	done
	tail -n 5 "$work/$1.log" || true
	fail "$1 does not answer at $2"
}

# kill_one NAME ends one of our processes as a crash would.
kill_one() {
	kill -KILL "${pid_of[$1]}"
	wait "${pid_of[$1]}" 2>/dev/null || true
}

caller_port() { echo $((port + 100 + $1)); }
peer_port() { echo $((port + 200 + $1)); }
admin_port() { echo $((port + 300 + $1)); }
engine_port() { echo $((port + 400 + $1)); }
service_port() { echo $((port + 500 + $1)); }
platform="http://127.0.0.1:$port"

# instances_json [LEFT OUT] prints the published instance list.
instances_json() {
	local separator=""
	echo "["
	for i in 1 2 3 4 5 6 7 8; do
		[ "$i" = "${1:-none}" ] && continue
		printf '%s{"id":"entry-%d","data_centre":"%s","caller_address":"127.0.0.1:%d","peer_address":"127.0.0.1:%d","state":"live"}\n' \
			"$separator" "$i" "${centres[$(((i - 1) % 4))]}" "$(caller_port "$i")" "$(peer_port "$i")"
		separator=","
	done
	echo "]"
}

upstreams_json() {
	local separator="" i
	for i in "${!engine_centres[@]}"; do
		printf '%s{"id":"engine-%d","target":"engines","data_centre":"%s","url":"http://127.0.0.1:%d","max_concurrent":24,"kv_tokens":32768}\n' \
			"$separator" $((i + 1)) "${engine_centres[$i]}" "$(engine_port $((i + 1)))"
		separator=","
	done
	for i in "${!service_centres[@]}"; do
		printf ',{"id":"queue-%d","target":"queue","data_centre":"%s","url":"http://127.0.0.1:%d","max_concurrent":32}\n' \
			$((i + 1)) "${service_centres[$i]}" "$(service_port $((i + 1)))"
	done
}

accounts_json() {
	local separator="" account digest
	for account in "${accounts[@]}"; do
		digest=$(printf 'demo-key-%s' "$account" | sha256sum | cut -d' ' -f1)
		printf '%s{"id":"%s","key_sha256":["%s"],"limits":{"weight":1}}\n' "$separator" "$account" "$digest"
		separator=","
	done
}

document_json() {
	cat <<-JSON
		$(rules_json)
		"upstreams":[$(upstreams_json)],
		"accounts":[$(accounts_json)]}
	JSON
}

join() {
	local IFS=,
	echo "$*"
}

# start_instance NUMBER starts an instance, also in the place of a former one.
start_instance() {
	start "entry-$1" "$router" serve --instance "entry-$1" --data-centre "${centres[$((($1 - 1) % 4))]}" \
		--caller-address "127.0.0.1:$(caller_port "$1")" --peer-address "127.0.0.1:$(peer_port "$1")" \
		--admin-address "127.0.0.1:$(admin_port "$1")" --platform-url "$platform" --log-level warn \
		--address-lifetime 2s --directory-overlap 1s
}

# wait_instance NUMBER waits until the instance serves callers.
wait_instance() {
	wait_for "entry-$1" "http://127.0.0.1:$(admin_port "$1")/healthz"
	wait_for "entry-$1" "http://127.0.0.1:$(caller_port "$1")/v1/addresses"
}

# start_fleet starts the stand-ins and the instances and waits until they serve.
start_fleet() {
	document_json >"$work/document.json"
	instances_json >"$work/instances.json"
	UMBERCRANK_PEER_SECRET=$(head -c 24 /dev/urandom | base64)
	export UMBERCRANK_PEER_SECRET

	echo "starting 1 configuration stand-in, ${#engine_centres[@]} engines, ${#service_centres[@]} services and 8 instances; logs in $work"
	start config "$ctl" standin config --address "127.0.0.1:$port" --document "$work/document.json" --instances "$work/instances.json"
	wait_for config "$platform/v1/instances"

	engines=()
	for i in "${!engine_centres[@]}"; do
		number=$((i + 1))
		start "engine-$number" "$ctl" standin engine --address "127.0.0.1:$(engine_port $number)" --name "engine-$number" \
			--model demo-model --seed "$number" --max-batch 24
		engines+=("http://127.0.0.1:$(engine_port $number)")
	done
	services=()
	for i in "${!service_centres[@]}"; do
		number=$((i + 1))
		start "queue-$number" "$ctl" standin service --address "127.0.0.1:$(service_port $number)" --name "queue-$number"
		services+=("http://127.0.0.1:$(service_port $number)")
	done
	callers=()
	for i in 1 2 3 4 5 6 7 8; do
		start_instance "$i"
		callers+=("127.0.0.1:$(caller_port $i)")
	done
	for i in "${!engines[@]}"; do
		wait_for "engine-$((i + 1))" "${engines[$i]}/load"
	done
	for i in "${!services[@]}"; do
		wait_for "queue-$((i + 1))" "${services[$i]}/load"
	done
	for i in 1 2 3 4 5 6 7 8; do
		wait_instance "$i"
	done
}

# start_load drives the traffic of the demo profile in the background.
start_load() {
	start load "$ctl" load --profile demo --duration "${seconds}s" --address "$(join "${callers[@]}")" \
		--engine "$(join "${engines[@]}")" --service "$(join "${services[@]}")" --json "$work/report.json" --min-answered 0.9
}

# wait_load ends with the load and prints its table.
wait_load() {
	local status=0
	wait "${pid_of[load]}" || status=$?
	cat "$work/load.log"
	[ "$status" -eq 0 ] || fail "the load ended with status $status"
}
