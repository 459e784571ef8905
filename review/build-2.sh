#!/usr/bin/env bash
# Builds the stand-ins that the cases of the second review start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o review/bin/standin-2 ./review/standin-2
