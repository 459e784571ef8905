#!/usr/bin/env bash
# Prints one line for each measured figure.
set -euo pipefail
cd "$(dirname "$0")/.."
go run ./scripts/measure "$@"
