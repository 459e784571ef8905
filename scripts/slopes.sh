#!/usr/bin/env bash
# Prints the figures of docs/CAPACITY.md; the arguments give the numbers of VMs to measure, see scripts/slopes.
set -euo pipefail
cd "$(dirname "$0")/.."
go run ./scripts/measure planner
go test -run '^$' -bench 'RouteDecision|ControllerStep' -benchtime 2000x ./internal/route/router ./internal/measure/placement |
  grep -E '^Benchmark'
go run ./scripts/slopes "$@"
