"""Reads kind, deadline and urgency of a submission from its bytes, before it is parsed.

These hints serve only to refuse submissions early. Where they are uncertain, they are too lenient:
the core decides again on a submission that is not refused.
"""

from __future__ import annotations

import json
import math
import re
from dataclasses import dataclass

from ..policy import KindEntry, SiteConfig, Urgency

LEADING_KIND_BYTES = 1_024
"""Part of a body that is searched for ``kind`` as the first key."""

MAX_SEARCHED_BODY_BYTES = 4_096
"""Complete bodies up to this size are parsed for their kind if it is not the first key."""

_LEADING_KIND = re.compile(rb'\s*\{\s*"kind"\s*:\s*"([^"\\]{1,64})"')
_DEADLINE = re.compile(rb'"deadline_s"\s*:\s*([0-9.eE+-]{1,30})')
_URGENCY = re.compile(rb'"urgency"\s*:\s*"(urgent|normal|background)"')


@dataclass(frozen=True, slots=True, kw_only=True)
class Hints:
    """Kind, deadline and urgency of a submission, where uncertain the most lenient ones.

    :param deadline_s: the deadline, or a longer one.
    :param urgency: the urgency, or a higher one.
    """

    kind: str
    deadline_s: float
    urgency: Urgency


def read_hints(config: SiteConfig, start: bytes, *, is_whole: bool) -> Hints | None:
    """Read hints from the start of a body; None if the kind cannot be read cheaply or is unknown.

    :param is_whole: whether ``start`` is the complete body.
    """
    kind = config.kinds_by_name.get(_kind_of(start, is_whole=is_whole))
    if kind is None:
        return None
    if not is_whole:
        return Hints(kind=kind.name, deadline_s=math.inf, urgency=Urgency.URGENT)
    return Hints(
        kind=kind.name,
        deadline_s=_longest_deadline(start, kind),
        urgency=_highest_urgency(start, kind),
    )


def _kind_of(start: bytes, *, is_whole: bool) -> str:
    match = _LEADING_KIND.match(start, 0, LEADING_KIND_BYTES)
    if match is not None:
        return match.group(1).decode(errors="replace")
    if not is_whole or len(start) > MAX_SEARCHED_BODY_BYTES:
        return ""
    try:
        kind = json.loads(start)["kind"]
    except (ValueError, KeyError, TypeError, RecursionError):
        return ""
    return kind if isinstance(kind, str) else ""


def _longest_deadline(content: bytes, kind: KindEntry) -> float:
    # A payload may contain the same key, so the longest value is used.
    longest_s = kind.deadline_s
    for text in _DEADLINE.findall(content):
        try:
            longest_s = max(longest_s, float(text))
        except ValueError:
            return math.inf
    return longest_s


def _highest_urgency(content: bytes, kind: KindEntry) -> Urgency:
    found = [Urgency[text.decode().upper()] for text in _URGENCY.findall(content)]
    return min([kind.urgency, *found])
