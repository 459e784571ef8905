#!/usr/bin/env bash
# Plays the case. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
exec review/bin/standin late-copy review/1/record.txt
