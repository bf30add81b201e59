"""Reading of JSON that other programs write."""

from __future__ import annotations

import json
import re
from typing import Any

from result import Err, Ok, Result

MAX_NESTING = 64
"""Levels of arrays and objects that are kept. No document of the platform services has ten."""

# Without backtracking, and with strings that the document does not end: reading these again from
# each of their quotes would take time that grows with the square of their length.
_TOKEN = re.compile(rb'"(?:[^"\\]++|\\.)*+(?:"|\\?\Z)|[\[{\]}]', re.DOTALL)


def read_json(body: bytes) -> Result[Any, str]:
    """Parse a document; the error is the reason if it is invalid.

    Values below :data:`MAX_NESTING` levels are read as null, so that one of them does not hide the
    rest of the document: the parser refuses the whole document at a depth that depends on the
    stack of the process.
    """
    try:
        return Ok(json.loads(_without_deep_values(body)))
    except (ValueError, RecursionError, OverflowError) as error:
        return Err(f"{type(error).__name__}: {error}"[:200])


def _without_deep_values(body: bytes) -> bytes:
    if body.count(b"[") + body.count(b"{") <= MAX_NESTING:
        return body
    kept = []
    kept_from = depth = 0
    for token in _TOKEN.finditer(body):
        if token[0] in b"[{":
            depth += 1
            if depth == MAX_NESTING + 1:
                kept += [body[kept_from : token.start()], b"null"]
                kept_from = len(body)
        elif token[0] in b"]}":
            if depth == MAX_NESTING + 1:
                kept_from = token.end()
            depth -= 1
    return b"".join([*kept, body[kept_from:]])
