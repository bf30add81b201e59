"""Description of unforeseen errors, which are contained to the item that caused them."""

from __future__ import annotations

import traceback

UNFORESEEN_ERROR = "unforeseen_error"
"""Event of the log line about a contained error."""

MAX_REASON_CHARS = 300
MAX_TRACE_CHARS = 4000
"""Longest texts in such a line. The last part of the traceback names the place of the error."""


def describe_error(error: BaseException) -> dict[str, object]:
    """Fields of the log line about a contained error: its type, message and traceback."""
    # An error without a readable message, such as one about a very large integer, is described too.
    lines = traceback.format_exception_only(error)
    trace = "".join(traceback.format_exception(error))
    return {
        "error": type(error).__name__,
        "reason": _encodable(lines[-1].strip()[:MAX_REASON_CHARS]),
        "trace": _encodable(trace[-MAX_TRACE_CHARS:]),
    }


def _encodable(text: str) -> str:
    return text.encode("ascii", "backslashreplace").decode("ascii")
