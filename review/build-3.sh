#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start. It needs nothing beyond
# the Go toolchain: they use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-3/standin ./review/.standin3
