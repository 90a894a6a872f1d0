#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review into out/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p out/review-2
for main in review/*/main.go; do
  n=$(basename "$(dirname "$main")")
  if [[ $n =~ ^(6|7|8|9|10)$ ]]; then
    go build -tags review -o "out/review-2/case$n" "./review/$n"
  fi
done
