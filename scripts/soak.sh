#!/usr/bin/env bash
# Runs the real programs as processes on loopback and disturbs them from outside,
# while it checks what callers and workers see. Ends with "soak: ok" or with the
# findings.
#
# SEED is the first seed, SEEDS their number, MINUTES the length of each and
# PARALLEL how many run at once. Even seeds have planned work only.
set -euo pipefail
cd "$(dirname "$0")/.."

export SEED=${SEED:-1} SEEDS=${SEEDS:-2} MINUTES=${MINUTES:-1}
parallel=${PARALLEL:-2}
go test -count=1 -timeout 0 -parallel "$parallel" -run 'TestSoak$' -v ./platform/soak
echo "soak: ok, $SEEDS seeds from $SEED on"
