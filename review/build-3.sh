#!/bin/sh
# The stand-ins of cases 11 to 15 are plain Python: check that they compile.
cd "$(dirname "$0")" && exec python3 -m py_compile world_3.py
