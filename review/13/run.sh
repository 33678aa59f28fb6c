#!/bin/sh
# Exit 1: the rule was broken; 0: it held; 2: the case could not run.
# TROUBLE=0 runs the same without the disruption.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")" || exit 2
exec python3 case.py
