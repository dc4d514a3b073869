#!/usr/bin/env bash
# Builds what the scripts of the third review start, into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/reviewharness3 ./review/harness3/platform
