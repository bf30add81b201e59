#!/bin/sh
# Shows that a task runs twice at the same time after machines of its zone were replaced.
cd "$(dirname "$0")/../.."
PYTHONPATH="$PWD:$PWD/src:$PWD/target/deps" exec python3 -B review/6/case.py
