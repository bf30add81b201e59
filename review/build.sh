#!/bin/sh
# Prepares the stand-ins that the scripts start. All are Python in this repository (review/standins
# and soak), so nothing is compiled; this checks that they import with the deploy file's packages.
here=$(cd "$(dirname "$0")" && pwd) || exit 1
cd "$here/.." || exit 1
PYTHONPATH=target/deps:src:. exec python3 -c "import review.standins.case, review.standins.site"
