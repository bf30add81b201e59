"""The simulated work of a task, as its payload describes it."""

from __future__ import annotations

import hashlib
import json
from dataclasses import dataclass
from typing import Any

DEFAULT_WORK_S = 0.05
"""Nominal run time of a task whose payload has no ``work_s``."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Work:
    """Simulated work of one task.

    :param nominal_s: run time in seconds at speed 1.0.
    :param fail: end with an error instead of running.
    :param answer: digest of the payload, so that a caller can check that the answer is to its task.
    """

    nominal_s: float
    fail: bool
    answer: str


def parse_work(payload: Any) -> Work:
    """Read ``work_s`` and ``fail`` from a payload; everything else only enters the digest.

    :raises ValueError: if ``work_s`` is not a number from 0 to 60.
    """
    fields = payload if isinstance(payload, dict) else {}
    nominal_s = float(fields.get("work_s", DEFAULT_WORK_S))
    if not 0.0 <= nominal_s <= 60.0:
        raise ValueError(f"work_s must be from 0 to 60, not {nominal_s}")
    return Work(nominal_s=nominal_s, fail=bool(fields.get("fail")), answer=digest(payload))


def digest(payload: Any) -> str:
    """Hexadecimal digest of a JSON value that does not depend on the order of object members."""
    text = json.dumps(payload, sort_keys=True, separators=(",", ":"))
    return hashlib.blake2s(text.encode(), digest_size=8).hexdigest()
