#!/bin/sh
# Builds the program that plays the cases 11 to 15, with the stand-ins that it uses. It needs no network.
set -eu
cd "$(dirname "$0")/.."
go build -o target/cases3 ./review/cases3
