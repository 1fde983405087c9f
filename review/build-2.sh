#!/bin/sh
# Builds the program that plays the cases 6 to 10, with the stand-ins inside it. Needs no network: it uses the modules
# that go.mod names.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/checks47 ./review/checks47
