#!/usr/bin/env bash
# Runs the stateful fuzz tests with FUZZ_CHECKS runs each (default 5000) and the seed SEED (default 1), and each native fuzz
# target for 20 s.
set -euo pipefail
cd "$(dirname "$0")/.."
export SEED=${SEED:-1} FUZZ_CHECKS=${FUZZ_CHECKS:-5000}
echo "seed $SEED, checks $FUZZ_CHECKS"
go test -count=1 -timeout 60m -run Fuzz ./internal/... ./platform/...
grep -rlE '^func Fuzz[A-Z]' internal platform --include='*_test.go' | while read -r f; do
  for target in $(grep -oE '^func Fuzz[A-Za-z0-9]+' "$f" | awk '{print $2}'); do
    go test -run '^$' -fuzz "^$target\$" -fuzztime 20s "./$(dirname "$f")"
  done
done
