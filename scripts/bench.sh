#!/usr/bin/env bash
# Measures the scheduling policies in virtual time, and without arguments what
# entries decide by themselves; arguments go to `umberctl bench`. The tables go
# to the terminal, out/bench.txt and out/entries.txt, the figures and pages to
# out/bench.json, out/bench.html, out/entries.json and out/entries.html.
set -euo pipefail
cd "$(dirname "$0")/.."

mkdir -p out
go run ./cmd/umberctl bench "$@" | tee out/bench.txt
if [ $# -eq 0 ]; then
	go run ./cmd/umberctl bench entries | tee out/entries.txt
fi
