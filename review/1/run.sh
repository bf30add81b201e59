#!/bin/sh
# Shows TWICE: a lent task runs twice at the same time after a connection between leaders is reset.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:src:. exec python3 "$here/case.py" "$@"
