#!/usr/bin/env bash
# Measures the scheduling policies in virtual time; arguments go to
# `umberctl bench`. The tables go to the terminal and to out/bench.txt, the
# figures to out/bench.json, the page to out/bench.html.
set -euo pipefail
cd "$(dirname "$0")/.."

mkdir -p out
go run ./cmd/umberctl bench "$@" | tee out/bench.txt
