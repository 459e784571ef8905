#!/usr/bin/env bash
# Prints one line for each figure; the arguments name the figures, by default all.
set -euo pipefail
cd "$(dirname "$0")/.."
go run ./scripts/measure "$@"
if [ $# -eq 0 ]; then
  # Control traffic of the VM with the most traffic in each role, in a deployment of 8 VMs with one process each.
  go run ./scripts/slopes 8 | awk '$1 == "slope" && $2 == "control" {
    for (i = 3; i <= NF; i++) { split($i, kv, "="); v[kv[1]] = kv[2] }
    printf "measure control-bytes-%s baseline=- policy=%s unit=B/s seed=1\n", v["role"], v["bytes-per-second-max"]
  }'
fi
