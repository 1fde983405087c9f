# Entry points; each works from a clean checkout.
SHELL := /bin/bash
LINT := go tool -modfile=tools/go.mod golangci-lint

.PHONY: build demo test lint generate bench proofs fmt

build:
	go build -o bin/radishpath .
	go build -o bin/standin ./standin

demo: build
	go run ./demo -bin bin

# The process-level tests run alone, because their bounds are in seconds of real time.
test: lint build
	go test -count=1 -timeout 4m $$(go list ./... | grep -v '/proof$$')
	go test -count=1 -timeout 8m -parallel 3 ./proof

lint:
	$(LINT) config verify
	$(LINT) run ./...

fmt:
	$(LINT) fmt ./...

generate:
	go tool -modfile=tools/go.mod buf generate

bench: build
	go run ./bench
