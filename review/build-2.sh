#!/usr/bin/env bash
# Builds what the scripts of review/6 and later start, beside the entry program.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-cases ./review/cases/platform
