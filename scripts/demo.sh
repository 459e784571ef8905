#!/usr/bin/env bash
# Runs the demo with the binary that make build produces.
set -euo pipefail
cd "$(dirname "$0")/.."
exec go run ./scripts/demo
