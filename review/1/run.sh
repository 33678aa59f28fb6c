#!/bin/sh
# Exit 1: the rule was broken; 0: it held; 2: the case couldn't run.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
exec python3 "$here/case.py"
