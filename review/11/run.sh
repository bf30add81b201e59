#!/bin/sh
# Shows: a task runs on two workers at once, after one has started again and is then cut off.
cd "$(dirname "$0")/../.." && exec python3 -B review/11/case.py
