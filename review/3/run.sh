#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
export PYTHONPATH="$root/target/deps:$root" PYTHONDONTWRITEBYTECODE=1
timeout -k 4 112 python3 "$here/case.py"
result=$?
[ "$result" -le 2 ] || result=2
exit "$result"
