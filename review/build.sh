#!/bin/sh
# Builds what the scripts start beside the product: the project's stand-in of
# the store, review/lab.py and the cases. All are Python without dependencies
# of their own; they are compiled to show that they can be read and imported.
set -e
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root"
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
export PYTHONPATH="$root/target/deps:$root" PYTHONPYCACHEPREFIX="$out"
python3 -c "import sedgetide.platform.__main__ as _, sedgetide.testing.platformstore"
python3 -m compileall -q review
