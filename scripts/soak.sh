#!/usr/bin/env bash
# Runs the real program as processes on loopback, injects faults, and checks what
# callers and workers see. Prints "soak: ok" or the violations.
#
# SEED is the first seed, SEEDS the number of seeds, PROCESSES the number of processes,
# MINUTES the duration of each and PARALLEL the number that run concurrently. Even seeds have planned
# disturbances only, such as stops, reloads and configuration changes.
set -euo pipefail
cd "$(dirname "$0")/.."

export SEED=${SEED:-1} SEEDS=${SEEDS:-2} MINUTES=${MINUTES:-1}
parallel=${PARALLEL:-2}
go test -count=1 -timeout 0 -parallel "$parallel" -run 'TestSoak$' -v ./platform/soak
echo "soak: ok, $SEEDS seeds from $SEED on"
