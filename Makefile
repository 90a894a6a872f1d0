# Entry points for building, testing and running the project; see README.md.
GO ?= go

.PHONY: all build lint test up demo failures rolling prove soak bench slopes clean

all: lint test build

build:
	$(GO) build -o bin/umbercrank ./cmd/umbercrank
	$(GO) build -o bin/umberctl ./cmd/umberctl

lint:
	./scripts/lint.sh

test:
	./scripts/test.sh

up: build
	./scripts/quickstart.sh

demo: build
	./scripts/demo.sh

failures: build
	./scripts/failures.sh

rolling: build
	./scripts/rolling.sh

prove:
	./scripts/prove.sh

soak:
	./scripts/soak.sh

bench:
	./scripts/bench.sh

slopes: build
	./scripts/slopes.sh

clean:
	rm -rf bin out
