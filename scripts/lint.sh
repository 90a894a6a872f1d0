#!/usr/bin/env bash
# Runs gofmt, go vet and staticcheck at the version pinned in tools/go.mod.
set -euo pipefail
cd "$(dirname "$0")/.."

unformatted=$(gofmt -l cmd pkg platform test 2>/dev/null || true)
if [ -n "$unformatted" ]; then
	echo "gofmt would change:"
	echo "$unformatted"
	exit 1
fi
go vet ./...
go build -o bin/staticcheck honnef.co/go/tools/cmd/staticcheck
bin/staticcheck ./...
echo "lint: ok"
