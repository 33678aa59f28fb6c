#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: Python without dependencies.
set -e
cd "$(dirname "$0")"
python3 -m compileall -q world_2.py
