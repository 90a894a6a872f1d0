#!/usr/bin/env bash
# Runs the tests in test/prove and prints one result line for each promise. SEED is
# the first seed and RUNS the number of runs, for example: make prove SEED=1000 RUNS=50
set -uo pipefail
cd "$(dirname "$0")/.."

export SEED="${SEED:-1}"
export RUNS="${RUNS:-20}"
mkdir -p out
export PROVE_OUT="$PWD/out/prove.txt"
: >"$PROVE_OUT"

promises="tiers floors answers not-run at-most-once leaving stop configuration"
go test -race -count=1 -timeout 10m ./test/prove/... >out/prove.log 2>&1
status=$?
sort "$PROVE_OUT"

failed=""
for promise in $promises; do
	if ! grep -q "^prove $promise runs=[1-9][0-9]* .* violations=0\$" "$PROVE_OUT"; then
		failed="$failed $promise"
	fi
done
if [ "$status" -ne 0 ] || [ -n "$failed" ]; then
	grep -E '^(---|\s+---|panic|FAIL)' out/prove.log | head -40
	echo "prove: FAILED${failed:+ (no clean line:$failed)}"
	exit 1
fi
echo "prove: ok"
