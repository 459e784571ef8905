#!/usr/bin/env bash
# Runs the tests that docs/proof.md names, and the demo, the fault scenarios and the soak test; fails if a named test does not
# exist. With the argument "names" it only checks the names.
set -euo pipefail
cd "$(dirname "$0")/.."
names=$(grep -oE '`(Test|Fuzz)[A-Za-z0-9]+' docs/proof.md | tr -d '`' | sort -u)
missing=$(comm -23 <(echo "$names") <(grep -rhoE '^func (Test|Fuzz)[A-Za-z0-9]+' internal platform --include='*_test.go' | awk '{print $2}' | sort -u))
if [ -n "$missing" ]; then
  echo "docs/proof.md names tests that do not exist:" $missing
  exit 1
fi
if [ "${1:-}" = names ]; then
  echo "docs/proof.md names $(echo "$names" | wc -l) tests, which all exist"
  exit 0
fi
echo "proving $(echo "$names" | wc -l) tests, seed ${SEED:-1}"
go test -race -count=1 -run "^($(echo "$names" | paste -sd'|' -))\$" ./internal/... ./platform/...
make demo faults soak
