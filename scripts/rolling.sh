#!/usr/bin/env bash
# Runs a whole system on loopback under load and restarts every instance, two at a
# time, with graceful shutdowns. Fails if any request of a caller is cut or fails.
# Prints "rolling: ok" or "rolling: FAILED …".
#
# ROLLING_SECONDS is the duration of the load, ROLLING_PORT the lowest port.
set -euo pipefail
cd "$(dirname "$0")/.."

scenario=rolling
seconds=${ROLLING_SECONDS:-40}
port=${ROLLING_PORT:-19000}
source scripts/fleet.sh

# restart_instances NUMBER… stops instances gracefully and starts them again.
restart_instances() {
	local i
	for i in "$@"; do
		kill -TERM "${pid_of[entry-$i]}"
	done
	for i in "$@"; do
		wait "${pid_of[entry-$i]}" || fail "the graceful stop of entry-$i ended with status $?"
	done
	for i in "$@"; do
		start_instance "$i"
	done
	for i in "$@"; do
		wait_instance "$i"
	done
}

# cut_requests prints the number of requests of the load that were cut or failed.
cut_requests() {
	{ grep -oE '"(broken|failed)": *[0-9]+' "$work_dir/report.json" || true; } | awk '{ total += $NF } END { print total + 0 }'
}

start_fleet
start_load
echo "load runs for $seconds s"
sleep 3
echo "replacing every instance, two at a time"
restart_instances 1 3
restart_instances 2 4
restart_instances 5 7
restart_instances 6 8

wait_load
cut=$(cut_requests)
[ "$cut" -eq 0 ] || fail "$cut requests were cut or failed"
result=ok
