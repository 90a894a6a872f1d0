#!/usr/bin/env bash
# Runs a whole system on loopback under load and injects faults that demo.sh does
# not cover: a frozen instance, an unavailable configuration service, a slow engine
# and an engine that leaves. Then it publishes a new configuration and checks that
# every instance applies it. Prints "failures: ok" or "failures: FAILED …".
#
# FAILURES_SECONDS is the duration of the load, FAILURES_PORT the lowest port.
set -euo pipefail
cd "$(dirname "$0")/.."

scenario=failures
seconds=${FAILURES_SECONDS:-40}
port=${FAILURES_PORT:-18000}
frozen_instance=2
frozen_seconds=8
slow_engine=5
leaving_engine=6
service_down_seconds=10
# Limit for a new configuration to be in force on every instance.
in_force_seconds=18
source scripts/fleet.sh

# put_json URL JSON sets the faults of a stand-in or publishes a configuration.
put_json() {
	curl -fs -X PUT --data-binary "$2" -o /dev/null "$1" || fail "cannot put to $1"
}

# wait_revision REVISION waits until every instance has the revision in force.
wait_revision() {
	local i deadline=$((SECONDS + in_force_seconds))
	for i in 1 2 3 4 5 6 7 8; do
		until curl -fs --max-time 1 "http://127.0.0.1:$(admin_port "$i")/debug/status" | grep -q "\"revision\":$1,"; do
			[ "$SECONDS" -lt "$deadline" ] || fail "entry-$i does not have revision $1 after $in_force_seconds s"
			sleep 0.1
		done
	done
}

start_fleet
start_load
echo "load runs for $seconds s"
sleep 5

echo "freezing entry-$frozen_instance for $frozen_seconds s"
kill -STOP "${pid_of[entry-$frozen_instance]}"
sleep "$frozen_seconds"
kill -CONT "${pid_of[entry-$frozen_instance]}"

echo "configuration service down for $service_down_seconds s; engine-$slow_engine straggles, engine-$leaving_engine leaves"
put_json "$platform/v1/faults" '{"down":true}'
put_json "http://127.0.0.1:$(engine_port "$slow_engine")/faults" '{"straggle":4}'
put_json "http://127.0.0.1:$(engine_port "$leaving_engine")/faults" '{"leaving":true}'
sleep "$service_down_seconds"
put_json "$platform/v1/faults" '{}'

echo "publishing a new configuration"
put_json "$platform/v1/document" "$(document_json)"
wait_revision 2

wait_load
wait_revision 2
result=ok
