#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review, and the program under review where the build of
# the deploy file has not been run.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
[[ -x target/thorntiller ]] || go build -ldflags=-linkmode=external -o target/ ./cmd/thorntiller
go build -o target/review-standin2 ./review/standin2
