# Entry points; each works from a clean checkout.
SHELL := /bin/bash
LINT := go tool -modfile=tools/go.mod golangci-lint

# Tests that are red because of a known fault; they are passed over and printed.
RED := $(shell sed -n 's/^test: //p' KNOWN-RED.txt 2>/dev/null | paste -sd '|')
SKIP := $(if $(RED),-skip '$(RED)')

# Names of the platform's wire, which only its adapter and the stand-ins may use.
PLATFORM := 'lastSeen|endedRuns|runningRuns|jobSpec|heartbeatAddr|remainingMs|log-(append|read|newest)|run-(start|stop)|"keyed\.(op|status|servers)|clockMs|RADISHPATH_BOOT'

# Fuzz targets of what clients send, and how many inputs of each are tried.
FUZZ := ./platform:FuzzDecodeJob ./platform:FuzzDecodeHeartbeat ./peer:FuzzReadRequest
FUZZTIME := 20000x

.PHONY: build demo test lint generate bench fmt

build:
	go build -o bin/radishpath .
	go build -o bin/standin ./standin
	go build -o bin/soak ./soak

demo: build
	go run ./demo -bin bin/radishpath

# The process-level tests run alone, because their bounds are in seconds of real time or in bytes of a process.
test: lint build
	go test -count=1 -timeout 4m $(SKIP) $$(go list ./... | grep -v -e '/proof$$' -e '/untrusted$$')
	go test -count=1 -timeout 8m -parallel 4 $(SKIP) ./proof
	go test -count=1 -timeout 8m $(SKIP) ./untrusted
	@for target in $(FUZZ); do \
		go test -run XXX -fuzz "^$${target#*:}$$" -fuzztime $(FUZZTIME) $${target%%:*} || exit 1; done
	bin/soak -bin bin/radishpath -seed 1 -seconds 12
	bin/soak -bin bin/radishpath -seed 3 -seconds 12
	bin/soak -bin bin/radishpath -seed 36 -seconds 12
	@if [ -n "$(RED)" ]; then echo 'known red, passed over:'; cat KNOWN-RED.txt; fi

lint:
	$(LINT) config verify
	$(LINT) run ./...
	@if git grep -nE $(PLATFORM) -- '*.go' ':!platform' ':!standin'; then \
		echo 'names of the platform outside platform/'; exit 1; fi

fmt:
	$(LINT) fmt ./...

generate:
	go tool -modfile=tools/go.mod buf generate

bench: build
	go run ./bench
