GO ?= go

.PHONY: build demo test lint generate bench bench-scale mutants soak

build:
	$(GO) build -o bin/ ./cmd/...

demo: build
	bin/lynxplank-demo -bin bin

test:
	@status=0; \
	$(GO) test -count=1 -run 'TestChangesReachAllNodesInTime|TestNodesWithAPathToTheStoreAreInTime|TestChangesAreInForce|TestWordAge' ./virtual || status=1; \
	$(GO) test -race -count=1 ./... || status=1; \
	exit $$status

# make soak SEEDS=50 SEED=1: fresh seeds without SEED.
SEEDS ?= 10
soak: build
	bin/lynxplank-soak -bin bin -seeds $(SEEDS) $(if $(SEED),-seed $(SEED))

mutants:
	proofs/run

lint:
	golangci-lint run ./...

generate:
	protoc -I idl --go_out=. --go_opt=module=github.com/lynxplank/lynxplank idl/peer.proto

bench: build
	bin/lynxplank-bench -bin bin

bench-scale: build
	bin/lynxplank-bench -bin bin -only scale
	$(GO) test -run '^$$' -bench 'Capacity' ./table ./balance ./eject ./director
