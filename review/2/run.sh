#!/bin/sh
# Shows Fault: one entry of another writer ends all processes again and again.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:src:. exec python3 "$here/case.py"
