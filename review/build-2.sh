#!/bin/sh
# Checks that the stand-ins of cases 6 to 10 import with the dependencies that the build of the
# deploy file has put into target/deps. They need nothing else.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH="$PWD:$PWD/src:$PWD/target/deps" python3 -B -c "import review.lab2"
