#!/usr/bin/env bash
# Builds what the scripts of cases 6 to 10 start beside the router: one program that holds the stand-ins, the clients and the checks.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/harness-2 ./review/harness-2
