GO ?= go

.PHONY: build demo test lint generate bench

build:
	$(GO) build -o bin/ ./cmd/...

demo: build
	bin/lynxplank-demo -bin bin

test:
	$(GO) test -race ./...

lint:
	golangci-lint run ./...

generate:
	protoc -I idl --go_out=. --go_opt=module=github.com/lynxplank/lynxplank idl/peer.proto

bench: build
	$(GO) run ./cmd/lynxplank-bench -bin bin
