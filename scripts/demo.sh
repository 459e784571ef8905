#!/usr/bin/env bash
# Runs the demo against the binary that make build produced.
set -euo pipefail
cd "$(dirname "$0")/.."
exec go run ./scripts/demo
