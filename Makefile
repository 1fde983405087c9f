# Entry points; each works from a clean checkout.
SHELL := /bin/bash
LINT := go tool -modfile=tools/go.mod golangci-lint

.PHONY: build capacity demo test lint generate bench proofs fmt

build:
	go build -o bin/radishpath .
	go build -o bin/standin ./standin

capacity: build
	go run ./capacity -bin bin -markdown

demo: build
	go run ./demo -bin bin

test: lint build
	go test -count=1 -timeout 9m ./...

lint:
	$(LINT) config verify
	$(LINT) run ./...

fmt:
	$(LINT) fmt ./...

generate:
	go tool -modfile=tools/go.mod buf generate

bench: build
	go run ./bench
