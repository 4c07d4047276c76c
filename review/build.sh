#!/usr/bin/env bash
# Builds the stand-ins that the review's scripts start. Run the build of the deploy file first.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-cases ./review/cases
