#!/usr/bin/env bash
# Builds the stand-ins of the review, and the project's program with the command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/ ./cmd/thorntiller
go build -o target/review-standin ./review/standin
