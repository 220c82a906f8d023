#!/bin/sh
# Builds what the cases start beside the proxy: stand-ins in Python, standard library only, checked here to be whole.
# Runs after the build of the deploy file and needs no network.
here=$(cd "$(dirname "$0")" && pwd)
python="$here/../.venv/bin/python"
[ -x "$python" ] || { echo "the build of the deploy file has not run" >&2; exit 2; }
for file in "$here"/rig.py "$here"/[0-9]/case.py; do
    "$python" -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file" || exit 1
done
