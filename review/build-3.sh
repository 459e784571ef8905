#!/usr/bin/env bash
# Builds the stand-in that the scripts of review/11 to review/15 start.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
go build -o target/review-3/standin ./review/standin-3
