#!/usr/bin/env bash
# Prints the figures of docs/CAPACITY.md.
set -euo pipefail
cd "$(dirname "$0")/.."
go run ./scripts/slopes "$@"
