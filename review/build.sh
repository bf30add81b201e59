#!/bin/sh
# Prepares the stand-ins that the scripts start. All are Python in this repository (review/ and
# soak/), so nothing is compiled; this checks that they import with the deploy file's packages.
here=$(cd "$(dirname "$0")" && pwd) || exit 1
cd "$here/.." || exit 1
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:src:. exec python3 -c "import review.frame, review.site"
