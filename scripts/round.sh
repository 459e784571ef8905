#!/usr/bin/env bash
# Runs the users' benchmark, which plays days of load and keeps a journal: FLEETBENCH names the program, SITES the folder of
# site files.
# Usage: scripts/round.sh run kiw-deck quiet-1 | score kiw-deck --why "..." | hunt kiw-deck --days 40
set -euo pipefail
cd "$(dirname "$0")/.."
: "${FLEETBENCH:?set FLEETBENCH to the program}" "${SITES:?set SITES to the folder of site files}"
verb=$1
site=$2
shift 2
exec "$FLEETBENCH" "$verb" "$SITES/$site.toml" "$@"
