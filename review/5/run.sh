#!/usr/bin/env bash
# Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case couldn't run.
# TROUBLE=0 plays the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/stand ] && [ -x target/gypsumlanding ] || { echo "build first" >&2; exit 2; }
exec review/bin/stand fraction review/5/record.txt
