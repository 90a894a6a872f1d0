#!/usr/bin/env bash
# Compares the scheduling policies in a simulation in virtual time. Without
# arguments it also runs `umberctl bench entries`, which measures placement and
# refusal by independent entries. Arguments are passed to `umberctl bench`.
#
# Tables go to the terminal, out/bench.txt and out/entries.txt; JSON reports and
# HTML pages go to out/bench.{json,html} and out/entries.{json,html}.
set -euo pipefail
cd "$(dirname "$0")/.."

mkdir -p out
go run ./cmd/umberctl bench "$@" | tee out/bench.txt
if [ $# -eq 0 ]; then
	go run ./cmd/umberctl bench entries | tee out/entries.txt
fi
