"""Odd messages of other hosts and odd answers of workers, fed into a host at random."""

from __future__ import annotations

import enum
import random
import types
import typing
from typing import Any

import msgspec
import pytest

from eelgrassyard.dispatch._actions import (
    Answered,
    CallFailure,
    EndedEntry,
    PollReport,
    PollWorker,
    Refusal,
    RunningEntry,
    StartRun,
    StopRun,
)
from eelgrassyard.dispatch._host import DispatchHost
from eelgrassyard.dispatch._jobs import Job, Step, TaskEnd, TaskId
from eelgrassyard.dispatch._message_checks import check_host, check_message
from eelgrassyard.dispatch._messages import (
    Hello,
    HostRecord,
    KnownHosts,
    Lend,
    Message,
    Pong,
    Resigned,
    Submit,
    ToClient,
    ToServer,
)
from eelgrassyard.dispatch._workers import WorkerRecord

INTEGERS = (-(2**63), -1, 0, 0, 1, 1, 2, 3, 101, 2**31, 2**53, 2**53 + 1, 2**63, 2**64 - 1)
FLOATS = (-1.0, 0.0, 0.0, 0.05, 0.2, 1.0, 1.5, 60.0, 1e9, 1e300, float("nan"), float("inf"))
TEXTS = ("", "a", "b", "s", "w0", "w1", "d0", "d1", "10.0.0.1:1", "10.0.0.2:1", "\0", "x" * 300)
IDS = tuple(f"{number:016x}" for number in range(6))

OWN = HostRecord(name="a", address="10.0.0.1:1", domain="d0", incarnation=1)
DECODER_BY_SIDE = {
    "session": msgspec.msgpack.Decoder(ToServer),
    "link": msgspec.msgpack.Decoder(ToClient),
}


class OddValues:
    """Values of any type that a message has, most of them usual and some at a limit."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.odd_share = self.random.choice([0.0, 0.02, 0.1, 0.5])

    def integer(self) -> int:
        """A small number, or one at a limit."""
        if self.random.random() < self.odd_share:
            return self.random.choice(INTEGERS)
        return self.random.randint(0, 3)

    def value(self, kind: Any) -> Any:
        """A value of a type."""
        rng = self.random
        origin, parts = typing.get_origin(kind), typing.get_args(kind)
        if origin is typing.Annotated:
            return self.value(parts[0])
        if origin in (types.UnionType, typing.Union):
            return self.value(rng.choice(parts))
        if origin is tuple:
            if len(parts) == 2 and parts[1] is Ellipsis:
                return tuple(self.value(parts[0]) for _ in range(rng.randint(0, 3)))
            return tuple(self.value(part) for part in parts)
        if origin is dict:
            return {self.value(parts[0]): self.value(parts[1]) for _ in range(rng.randint(0, 2))}
        if kind is type(None):
            return None
        if issubclass(kind, enum.Enum):
            return rng.choice(list(kind))
        if issubclass(kind, msgspec.Struct):
            hints = typing.get_type_hints(kind, include_extras=True)
            fields = {name: self.value(hints[name]) for name in kind.__struct_fields__}
            for name in ("id", "job_id"):
                if name in fields:
                    fields[name] = rng.choice(IDS)
            return kind(**fields)
        if kind is bool:
            return rng.random() < 0.5
        if kind is int:
            return self.integer()
        if kind is float:
            odd = rng.random() < self.odd_share
            return rng.choice(FLOATS) if odd else rng.uniform(0.0, 2.0)
        return rng.choice(TEXTS) if kind is str else b"\0" * rng.randint(0, 3)

    def message(self, side: str) -> Message | None:
        """A message as the border of sessions passes it on, or None if it refuses it."""
        kinds = typing.get_args(ToServer if side == "session" else ToClient)
        raw = msgspec.msgpack.encode(self.value(self.random.choice(kinds)))
        try:
            decoded: Message = DECODER_BY_SIDE[side].decode(raw)
        except msgspec.ValidationError:
            return None
        result = check_message(decoded)
        return result.unwrap() if result.is_ok() else None

    def task(self) -> TaskId:
        """A task that may exist."""
        return TaskId(self.random.choice(IDS), self.integer(), self.integer())

    def report(self, now: float) -> PollReport:
        """A poll report with runs that the host may know."""
        rng = self.random
        return PollReport(
            clock_s=rng.choice([now, now, now, -1.0, 1e12]),
            life=rng.choice([1, 1, 1, 2, None, -(2**70)]),
            running=tuple(
                RunningEntry(task=self.task(), run=self.integer(), percent=self.integer() % 101)
                for _ in range(rng.randint(0, 3))
            ),
            ended=tuple(
                EndedEntry(
                    number=self.integer(),
                    task=self.task(),
                    run=self.integer(),
                    end=rng.choice(list(TaskEnd)),
                )
                for _ in range(rng.randint(0, 3))
            ),
        )


@pytest.mark.parametrize("seed", range(60))
def test_no_odd_message_or_answer_raises(seed: int) -> None:
    """Guards against values of another host or a worker that the core has no answer to: a step
    that the job does not have, the end of an unknown job, a number that breaks its arithmetic."""
    odd = OddValues(seed)
    rng = odd.random
    core = DispatchHost(own=OWN, now=0.0, stop_s=0.05, far_factor=1.5)
    core.set_hosts(0.0, [OWN], read_at=0.0)
    core.set_config(1, b"{}")
    workers = {
        name: WorkerRecord(
            id=name, service="s", address="10.0.0.9:1", domain="d0", cpu=4000, memory_mb=1000
        )
        for name in ("w0", "w1")
    }
    core.set_workers(0.0, workers, read_at=0.0)
    now = 0.0
    orders: list[StartRun | StopRun | PollWorker] = []
    handled = 0
    for _ in range(800):
        now += rng.choice([0.0, 0.001, 0.02])
        match rng.randint(0, 5):
            case 0:
                core.advance(now)
            case 1 | 2:
                message = odd.message("session")
                if message is not None:
                    handled += 1
                    core.session_received(now, rng.choice(["s1", "s2"]), message)
            case 3:
                message = odd.message("link")
                name = rng.choice(list(core.links.link_by_name) or ["b"])
                if message is not None:
                    handled += 1
                    core.link_connected(now, name)
                    core.link_received(now, name, message)
            case _ if orders:
                order = orders.pop(rng.randrange(len(orders)))
                failed: Answered | CallFailure = rng.choice(
                    [
                        Answered(clock_s=now),
                        Answered(clock_s=now),
                        Answered(refusal=rng.choice(list(Refusal))),
                        rng.choice(list(CallFailure)),
                    ]
                )
                match order:
                    case StartRun():
                        core.start_answered(now, order, failed)
                    case StopRun():
                        core.stop_answered(now, order, failed)
                    case PollWorker():
                        report = odd.report(now) if rng.random() < 0.8 else failed
                        core.poll_answered(now, order, report)
        for action in core.take_actions(now):
            if isinstance(action, (StartRun, StopRun, PollWorker)):
                orders.append(action)
        assert core.unforeseen_errors == {}
    assert handled > 0


USABLE = HostRecord(name="b", address="10.0.0.2:1", domain="d0", incarnation=1)


@pytest.mark.parametrize(
    "change",
    [
        {"name": ""},
        {"name": "x" * 300},
        {"domain": "x" * 300},
        {"address": "b"},
        {"address": "10.0.0.2"},
        {"address": "10.0.0.2:70000"},
        {"address": "host.example:1"},
        {"address": "\0:1"},
        {"incarnation": -1},
        {"incarnation": 2**64 - 1},
        {"weight": float("nan")},
        {"weight": float("inf")},
        {"weight": -1.0},
    ],
    ids=lambda change: next(f"{key} {str(value)[:12]!a}" for key, value in change.items()),
)
def test_an_unusable_host_hides_no_other(change: dict[str, Any]) -> None:
    """Guards against one odd record among the known hosts: an address that cannot be connected to,
    a start time that no later process exceeds, a weight that breaks the choice of the leader."""
    odd = msgspec.structs.replace(USABLE, **change)
    assert check_host(odd).is_err()
    assert check_message(KnownHosts(hosts=(odd, USABLE))).unwrap() == KnownHosts(hosts=(USABLE,))
    assert check_message(Hello(host=odd)).is_err()
    assert check_message(Pong(number=1, leader=odd)).is_err()
    assert check_message(Resigned(epoch=1, successor=odd)).unwrap() == Resigned(epoch=1)


JOB = Job(
    id=IDS[0],
    kind="k",
    service="s",
    payload="p",
    steps=(Step(count=2, cpu=1000), Step(count=1, cpu=1000, after=(0,))),
)


def test_usual_requests_pass_the_checks() -> None:
    """Guards against checks that refuse what hosts send."""
    for message in (
        Submit(job=JOB, waited_s=0.0, caller_waits_s=1.5),
        Lend(job=JOB, step=1, tasks=((0, 1),), waited_s=0.1, caller_waits_s=-0.01),
        Hello(host=USABLE),
        Pong(number=1),
    ):
        decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)
        decoded = decoder.decode(msgspec.msgpack.encode(message))
        assert check_message(decoded).unwrap() == message


@pytest.mark.parametrize(
    "message",
    [
        Lend(job=JOB, step=2, tasks=((0, 1),), waited_s=0.0, caller_waits_s=1.0),
        Lend(job=JOB, step=1, tasks=((1, 1),), waited_s=0.0, caller_waits_s=1.0),
        Lend(job=JOB, step=0, tasks=(), waited_s=0.0, caller_waits_s=1.0),
        *(
            Submit(job=msgspec.structs.replace(JOB, steps=steps), waited_s=0.0, caller_waits_s=1.0)
            for steps in (
                (),
                (Step(count=10_001, cpu=1),),
                (Step(count=1, cpu=1, after=(0,)),),
                (Step(count=1, cpu=1), Step(count=1, cpu=1, after=(7,))),
            )
        ),
    ],
    ids=["step", "index", "no tasks", "no steps", "many tasks", "own step", "unknown step"],
)
def test_a_request_that_contradicts_itself_is_refused(message: Message) -> None:
    """Guards against a lent task of a step that its job does not have, which raised in the pool, a
    job that waits for a step that never ends, and one with tasks beyond the host's memory."""
    assert check_message(message).is_err()
