#!/usr/bin/env bash
# Builds the stand-ins that the cases start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o review/bin/standin ./review/standin
