#!/usr/bin/env bash
# Replaces every instance of the whole system on loopback, two at a time, by
# planned stops under load, and demands that no caller's request is cut or
# failed. Ends with "rolling: ok" or "rolling: FAILED …".
#
# ROLLING_SECONDS is the length of the load, ROLLING_PORT the first port.
set -euo pipefail
cd "$(dirname "$0")/.."

scenario=rolling
seconds=${ROLLING_SECONDS:-40}
port=${ROLLING_PORT:-19000}
source scripts/fleet.sh

# replace NUMBER… stops instances gracefully and starts them again.
replace() {
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

# cut_requests prints how many requests of the load were broken off or failed.
cut_requests() {
	{ grep -oE '"(broken|failed)": *[0-9]+' "$work/report.json" || true; } | awk '{ total += $NF } END { print total + 0 }'
}

start_fleet
start_load
echo "load runs for $seconds s"
sleep 3
echo "replacing every instance, two at a time"
replace 1 3
replace 2 4
replace 5 7
replace 6 8

wait_load
cut=$(cut_requests)
[ "$cut" -eq 0 ] || fail "$cut requests were cut or failed"
result=ok
