#!/usr/bin/env bash
# Runs the tests under the race detector, shuffled with the seed SEED (default 1), except those listed in KNOWN-RED.txt.
set -euo pipefail
cd "$(dirname "$0")/.."
seed=${SEED:-1}
echo "shuffle seed $seed"
skip=$({ grep -vE "^[[:space:]]*(#|$)" KNOWN-RED.txt || true; } | awk "{print \$1}" | paste -sd"|" -)
args=(-race -count=1 "-shuffle=$seed" -timeout 8m)
if [ -n "$skip" ]; then
  args+=(-skip "^($skip)\$")
fi
go test "${args[@]}" ./...
