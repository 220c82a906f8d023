#!/bin/sh
# Lays the files that the operators' bench wants beside a site file here, from the pages' own folder. They are not kept
# in the repository. Usage, from the root: sh deploy/sites/companions.sh [FOLDER]
set -eu
from="${1:-../given/kit/more/mass/other}"
cd "$(dirname "$0")/../.."
for name in real.json wire.json unlock.txt; do
    if [ ! -r "$from/$name" ]; then
        echo "companions: $from/$name is not there; name the folder that holds it" >&2
        exit 2
    fi
done
for name in real.json wire.json unlock.txt; do
    cp "$from/$name" deploy/sites/
    chmod u+w "deploy/sites/$name"
done
