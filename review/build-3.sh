#!/usr/bin/env bash
# Builds the stand-ins of the third review. The router comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-3 ./review/harness-3
