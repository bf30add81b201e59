"""Bodies of calls to workers and of their answers, as the platform's protocol has them."""

from __future__ import annotations

import re
from typing import Annotated

import msgspec

from .._decoding import decode
from ..dispatch._jobs import TaskId
from ..net import Response

OCCURRENCE = 0
"""Occurrence number in task names; it is 0 for a job without a schedule."""

MAX_NUMBER = 2**53
"""Largest number that a worker may report: times in milliseconds and counts stay far below it, it
is exact in JSON, and messages between hosts hold integers of 64 bits."""

_TASK_NAME = re.compile(r"(.+)\.[0-9]{1,9}\.([0-9]{1,9})\.([0-9]{1,9})", re.DOTALL)

_Number = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
_Milliseconds = Annotated[float, msgspec.Meta(ge=0, le=MAX_NUMBER)]


class StartBody(msgspec.Struct):
    """Order to start a run."""

    task: str
    run: int
    spec: str
    # Deadline of the lease of all runs on the worker, by the worker's clock; not of the task.
    deadline_ms: int
    fence: int


class StopBody(msgspec.Struct):
    """Order to stop a run."""

    task: str
    run: int
    fence: int


class PollBody(msgspec.Struct, omit_defaults=True):
    """Poll, which may renew leases and acknowledge ends."""

    fence: int
    acked_up_to: int
    deadline_ms: int | None = None
    wait_ms: int = 0


class OrderAnswer(msgspec.Struct):
    """Answer to a start or a stop, or a refusal."""

    clock_ms: _Milliseconds | None = None
    reason: str = ""
    # Start time of the worker's process.
    born: _Number | None = None


class Process(msgspec.Struct):
    """What each answer may say of the process that sent it."""

    born: _Number | None = None


class Running(msgspec.Struct, array_like=True):
    """Row of a run in progress."""

    # Rows are checked one by one, so that an odd value affects its row only.
    task: object
    run: object
    checkpoint: object = ""
    percent: object = 0.0


class Ended(msgspec.Struct, array_like=True):
    """Row of a run that has ended."""

    # An end without a readable number could never be acknowledged.
    number: _Number
    task: object
    run: object
    how: object = ""


class PollAnswer(msgspec.Struct):
    """Answer to a poll."""

    clock_ms: _Milliseconds
    running: list[Running] = []
    finished: list[Ended] = []
    born: _Number | None = None


encoder = msgspec.json.Encoder()
order_decoder = msgspec.json.Decoder(OrderAnswer)
poll_decoder = msgspec.json.Decoder(PollAnswer)
_process_decoder = msgspec.json.Decoder(Process)


def task_name(task: TaskId) -> str:
    """Name of a task in the worker protocol."""
    return f"{task.job}.{OCCURRENCE}.{task.step}.{task.index}"


def parse_task_name(name: str) -> TaskId | None:
    """Parse a task name; None if it does not have the form of :func:`task_name`."""
    match = _TASK_NAME.fullmatch(name)
    return None if match is None else TaskId(match[1], int(match[2]), int(match[3]))


def process_of(response: Response) -> int | None:
    """Start time of the worker's process that has answered, or None if the answer does not say."""
    result = decode(_process_decoder, response.body) if response.body else None
    return result.unwrap().born if result is not None and result.is_ok() else None
