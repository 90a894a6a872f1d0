# Functions that start and stop a whole system on loopback. A script sets scenario,
# seconds and port, sources this file, and sets result=ok when it succeeds. The
# exit trap prints "$scenario: ok" or "$scenario: FAILED …".
# shellcheck shell=bash

source scripts/rules.sh

wait_seconds=30
router=bin/umbercrank
ctl=bin/umberctl
data_centres=(lac charguia ariana ben-arous)
engine_data_centres=(lac charguia ariana ben-arous lac charguia)
service_data_centres=(lac ariana)
accounts=(clinic-large clinic-small party-large party-small)

work_dir=$(mktemp -d)
pids=()
declare -A pid_of
result="FAILED before the end"

finish() {
	trap - EXIT INT TERM
	for pid in "${pids[@]}"; do
		kill "$pid" 2>/dev/null || true
	done
	for pid in "${pids[@]}"; do
		wait_exit "$pid" || kill -KILL "$pid" 2>/dev/null || true
	done
	if [ "$result" = ok ]; then
		rm -rf "$work_dir"
		echo "$scenario: ok"
		exit 0
	fi
	echo "logs are in $work_dir"
	echo "$scenario: $result"
	exit 1
}
trap finish EXIT
trap 'result="FAILED: interrupted"; finish' INT TERM

fail() {
	result="FAILED: $1"
	exit 1
}

# wait_exit PID waits up to 15 s for a process to exit.
wait_exit() {
	for _ in $(seq 150); do
		kill -0 "$1" 2>/dev/null || return 0
		sleep 0.1
	done
	return 1
}

# start_process NAME COMMAND… runs a process in the background and records its PID.
start_process() {
	local name=$1
	shift
	"$@" >"$work_dir/$name.log" 2>&1 &
	pids+=($!)
	pid_of[$name]=$!
}

# wait_for NAME URL waits until process NAME answers at URL, and fails if the
# process exits or does not answer within wait_seconds.
wait_for() {
	for _ in $(seq $((wait_seconds * 10))); do
		kill -0 "${pid_of[$1]}" 2>/dev/null || break
		if curl -fs -o /dev/null --max-time 1 "$2"; then
			return 0
		fi
		sleep 0.1
	done
	tail -n 5 "$work_dir/$1.log" || true
	fail "$1 does not answer at $2"
}

# kill_process NAME simulates a crash of a process with SIGKILL.
kill_process() {
	kill -KILL "${pid_of[$1]}"
	wait "${pid_of[$1]}" 2>/dev/null || true
}

caller_port() { echo $((port + 100 + $1)); }
peer_port() { echo $((port + 200 + $1)); }
admin_port() { echo $((port + 300 + $1)); }
engine_port() { echo $((port + 400 + $1)); }
service_port() { echo $((port + 500 + $1)); }
platform="http://127.0.0.1:$port"

# instances_json [NUMBER] prints the instance list, without instance NUMBER if given.
instances_json() {
	local separator=""
	echo "["
	for i in 1 2 3 4 5 6 7 8; do
		[ "$i" = "${1:-none}" ] && continue
		printf '%s{"id":"entry-%d","data_centre":"%s","caller_address":"127.0.0.1:%d","peer_address":"127.0.0.1:%d","state":"live"}\n' \
			"$separator" "$i" "${data_centres[$(((i - 1) % 4))]}" "$(caller_port "$i")" "$(peer_port "$i")"
		separator=","
	done
	echo "]"
}

upstreams_json() {
	local separator="" i
	for i in "${!engine_data_centres[@]}"; do
		printf '%s{"id":"engine-%d","target":"engines","data_centre":"%s","url":"http://127.0.0.1:%d","max_concurrent":24,"kv_tokens":32768}\n' \
			"$separator" $((i + 1)) "${engine_data_centres[$i]}" "$(engine_port $((i + 1)))"
		separator=","
	done
	for i in "${!service_data_centres[@]}"; do
		printf ',{"id":"queue-%d","target":"queue","data_centre":"%s","url":"http://127.0.0.1:%d","max_concurrent":32}\n' \
			$((i + 1)) "${service_data_centres[$i]}" "$(service_port $((i + 1)))"
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

# join_by_comma WORD… prints the words, separated by commas.
join_by_comma() {
	local IFS=,
	echo "$*"
}

# start_instance NUMBER starts an instance or restarts one that has exited.
start_instance() {
	start_process "entry-$1" "$router" serve --instance "entry-$1" --data-centre "${data_centres[$((($1 - 1) % 4))]}" \
		--caller-address "127.0.0.1:$(caller_port "$1")" --peer-address "127.0.0.1:$(peer_port "$1")" \
		--admin-address "127.0.0.1:$(admin_port "$1")" --platform-url "$platform" --log-level warn \
		--address-lifetime 2s --directory-overlap 1s
}

# wait_instance NUMBER waits until the instance is healthy and serves callers.
wait_instance() {
	wait_for "entry-$1" "http://127.0.0.1:$(admin_port "$1")/healthz"
	wait_for "entry-$1" "http://127.0.0.1:$(caller_port "$1")/v1/addresses"
}

# start_fleet starts the stand-ins and the instances and waits until all answer.
start_fleet() {
	document_json >"$work_dir/document.json"
	instances_json >"$work_dir/instances.json"
	UMBERCRANK_PEER_SECRET=$(head -c 24 /dev/urandom | base64)
	export UMBERCRANK_PEER_SECRET

	echo "starting 1 configuration stand-in, ${#engine_data_centres[@]} engines, ${#service_data_centres[@]} services and 8 instances; logs in $work_dir"
	start_process config "$ctl" standin config --address "127.0.0.1:$port" --document "$work_dir/document.json" --instances "$work_dir/instances.json"
	wait_for config "$platform/v1/instances"

	engines=()
	for i in "${!engine_data_centres[@]}"; do
		number=$((i + 1))
		start_process "engine-$number" "$ctl" standin engine --address "127.0.0.1:$(engine_port $number)" --name "engine-$number" \
			--model demo-model --seed "$number" --max-batch 24
		engines+=("http://127.0.0.1:$(engine_port $number)")
	done
	services=()
	for i in "${!service_data_centres[@]}"; do
		number=$((i + 1))
		start_process "queue-$number" "$ctl" standin service --address "127.0.0.1:$(service_port $number)" --name "queue-$number"
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

# start_load starts a load generator with the demo profile in the background.
start_load() {
	start_process load "$ctl" load --profile demo --duration "${seconds}s" --address "$(join_by_comma "${callers[@]}")" \
		--engine "$(join_by_comma "${engines[@]}")" --service "$(join_by_comma "${services[@]}")" --json "$work_dir/report.json" --min-answered 0.9
}

# wait_load waits for the load generator to finish and prints its report.
wait_load() {
	local status=0
	wait "${pid_of[load]}" || status=$?
	cat "$work_dir/load.log"
	[ "$status" -eq 0 ] || fail "the load ended with status $status"
}
