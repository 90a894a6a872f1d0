#!/usr/bin/env bash
# Runs a whole system on loopback: a configuration stand-in, eight instances in
# four data centres, six engines and two plain services. Under load it kills one
# instance and one engine and stops another instance gracefully. Prints "demo: ok"
# and exits with 0, or prints "demo: FAILED" with the reason and exits with 1.
#
# DEMO_SECONDS is the duration of the load, DEMO_PORT the lowest port.
set -euo pipefail
cd "$(dirname "$0")/.."

scenario=demo
seconds=${DEMO_SECONDS:-20}
port=${DEMO_PORT:-17000}
killed_instance=3
killed_engine=3
stopped_instance=6
source scripts/fleet.sh

start_fleet
start_load
echo "load runs for $seconds s"
sleep $((seconds * 3 / 10))
echo "killing instance entry-$killed_instance"
kill_process "entry-$killed_instance"
sleep $((seconds * 2 / 10))
instances_json "$killed_instance" | curl -fs -X PUT --data-binary @- -o /dev/null "$platform/v1/instances" ||
	fail "cannot publish the instance list"
sleep $((seconds / 10))
echo "killing engine engine-$killed_engine"
kill_process "engine-$killed_engine"
sleep $((seconds / 10))
echo "stopping instance entry-$stopped_instance gracefully"
kill -TERM "${pid_of[entry-$stopped_instance]}"

wait_load
wait "${pid_of[entry-$stopped_instance]}" || fail "the graceful stop of entry-$stopped_instance ended with status $?"
remaining=()
for i in 1 2 3 4 5 6 7 8; do
	if [ "$i" = "$killed_instance" ] || [ "$i" = "$stopped_instance" ]; then
		continue
	fi
	remaining+=("127.0.0.1:$(admin_port $i)")
	wait_for "entry-$i" "http://127.0.0.1:$(admin_port $i)/healthz"
done
"$ctl" status --admin "$(join_by_comma "${remaining[@]}")" || fail "the status cannot be read"
"$ctl" timeline --admin "$(join_by_comma "${remaining[@]}")" --json "$work_dir/timeline.json" || fail "the time line cannot be read"
result=ok
