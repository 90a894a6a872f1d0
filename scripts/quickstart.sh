#!/usr/bin/env bash
# Runs a small system on loopback until Ctrl-C: a configuration stand-in, two
# engines, one plain service and two instances. Callers connect to 127.0.0.1:7101
# or 127.0.0.1:7102 with the key "quickstart-key".
set -euo pipefail
cd "$(dirname "$0")/.."

pids=()
stop() {
	trap - EXIT INT TERM
	for pid in "${pids[@]}"; do
		kill "$pid" 2>/dev/null || true
	done
	wait
}
trap stop EXIT INT TERM

start() {
	"$@" >/dev/null &
	pids+=($!)
}

UMBERCRANK_PEER_SECRET=$(head -c 24 /dev/urandom | base64)
export UMBERCRANK_PEER_SECRET
export UMBERCRANK_ADDRESS_LIFETIME=2s UMBERCRANK_DIRECTORY_OVERLAP=1s

start bin/umberctl standin config --address 127.0.0.1:7000 \
	--document examples/quickstart.yaml --instances examples/quickstart-instances.yaml
start bin/umberctl standin engine --address 127.0.0.1:9001 --model demo-model
start bin/umberctl standin engine --address 127.0.0.1:9002 --model demo-model
start bin/umberctl standin service --address 127.0.0.1:9101
start bin/umbercrank serve --instance entry-1 --data-centre lac \
	--caller-address 127.0.0.1:7101 --peer-address 127.0.0.1:7201 --admin-address 127.0.0.1:7301
start bin/umbercrank serve --instance entry-2 --data-centre ariana \
	--caller-address 127.0.0.1:7102 --peer-address 127.0.0.1:7202 --admin-address 127.0.0.1:7302

for port in 7301 7302; do
	until curl -fs -o /dev/null --max-time 1 "http://127.0.0.1:$port/healthz"; do
		kill -0 "${pids[@]}" || exit 1
		sleep 0.1
	done
done
echo "ready: http://127.0.0.1:7101/v1 and http://127.0.0.1:7102/v1, key quickstart-key; Ctrl-C stops"
wait
