GO ?= go

.PHONY: build demo test lint generate bench bench-scale mutants

build:
	$(GO) build -o bin/ ./cmd/...

demo: build
	bin/lynxplank-demo -bin bin

test:
	$(GO) test -race -count=1 ./...

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
