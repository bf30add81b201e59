"""Harness for tests of a single system: fake configuration and membership, and a manual clock."""

from __future__ import annotations

import dataclasses
from collections.abc import Sequence

from eelgrassyard.policy import (
    Action,
    CallerEntry,
    Event,
    HostIdentity,
    KindEntry,
    Limits,
    PeerMessage,
    PeerReceived,
    SiteConfig,
    SubmissionBody,
    TaskSpec,
)
from eelgrassyard.policy._ids import SubmissionId, issue_id

KEY = b"k" * 32
START_TIME = 1_800_000_000.0
OWNER = ("patan-1", 11)
WITNESS = ("patan-2", 22)
SCHEDULER = ("thamel-1", 33)

CONFIG = SiteConfig(
    site="bagmati",
    failure_domains=("patan", "thamel"),
    kinds_by_name={
        "check": KindEntry(name="check", service="checker", idempotent=True),
        "stamp": KindEntry(name="stamp", service="stamper"),
        "rule": KindEntry(name="rule"),
    },
    callers_by_name={"till": CallerEntry(name="till", team="shop")},
)


def identity_of(host: tuple[str, int]) -> HostIdentity:
    name, incarnation = host
    return HostIdentity(
        name=name,
        address="127.0.0.1",
        port=1,
        failure_domain=name.partition("-")[0],
        incarnation=incarnation,
        id_key=KEY,
    )


def config_with(**limits: float) -> SiteConfig:
    return dataclasses.replace(CONFIG, limits=dataclasses.replace(Limits(), **limits))


def body_of(kind: str = "check", tasks: int = 1, *, idempotent: bool = False) -> SubmissionBody:
    specs = tuple(TaskSpec(payload=b"%d" % index) for index in range(tasks))
    return SubmissionBody(kind=kind, tasks=specs, idempotent=idempotent)


class FakeConfig:
    """A configuration view whose values the tests set."""

    def __init__(self, current: SiteConfig | None = CONFIG) -> None:
        self.current = current
        self.revision = 1


class FakeMembership:
    """A membership view whose values the tests set."""

    def __init__(self, own: tuple[str, int]) -> None:
        self.own = own
        self.incarnation_by_name = dict([own, OWNER, WITNESS, SCHEDULER])
        self.scheduler = SCHEDULER[0]
        self.witness: str | None = WITNESS[0]

    def is_alive(self, host: str, incarnation: int | None = None) -> bool:
        known = self.incarnation_by_name.get(host)
        return known is not None and incarnation in (None, known)

    def is_dead(self, host: str, incarnation: int) -> bool:
        return not self.is_alive(host, incarnation)

    def is_leaving(self, host: str) -> bool:
        return False

    def incarnation_of(self, host: str) -> int | None:
        return self.incarnation_by_name.get(host)

    def alive_hosts(self, failure_domain: str | None = None) -> Sequence[str]:
        return sorted(self.incarnation_by_name)

    def scheduler_for(self, pool: str, failure_domain: str | None = None) -> str:
        return self.scheduler

    def witness_for(self, sequence: int) -> str | None:
        return self.witness

    def is_domain_unreachable(self, failure_domain: str) -> bool:
        return False

    def is_responsive(self, host: str) -> bool:
        return self.is_alive(host)

    def probe_soon(self, host: str) -> None:
        pass

    def unreachable_domains(self) -> Sequence[str]:
        return ()


class SystemHarness:
    """Runs one system with a manual clock and returns the actions of each tick."""

    def __init__(self, system) -> None:
        self.system = system
        self.now = START_TIME

    def tick(self, *events: Event) -> list[Action]:
        out: list[Action] = []
        for event in events:
            self.system.handle(self.now, event, out)
        self.system.advance(self.now, out)
        return out

    def receive(self, sender: tuple[str, int], *messages: PeerMessage) -> list[Action]:
        name, incarnation = sender
        return self.tick(
            *(PeerReceived(sender=name, incarnation=incarnation, message=m) for m in messages)
        )

    def run(self, seconds: float) -> list[Action]:
        """Advance the clock, running each timer when it is due, and return all actions."""
        until = self.now + seconds
        out: list[Action] = []
        while self.system.next_wake(self.now) <= until:
            self.now = max(self.now, self.system.next_wake(self.now))
            out.extend(self.tick())
        self.now = until
        return out


def id_text(
    sequence: int,
    *,
    owner: tuple[str, int] = OWNER,
    witness: tuple[str, int] | None = WITNESS,
    caller: str = "till",
    lifetime_s: float = 600.0,
) -> str:
    name, incarnation = witness or (None, 0)
    fields = SubmissionId(
        owner=owner[0],
        incarnation=owner[1],
        sequence=sequence,
        expires_at=int(START_TIME + lifetime_s),
        witness=name,
        witness_incarnation=incarnation,
    )
    return issue_id(fields, caller=caller, key=KEY)


def of_type(actions: Sequence[Action], kind: type) -> list:
    """Return the actions of a type; if there are none, the sent messages of that type."""
    messages = [getattr(action, "message", None) for action in actions]
    found = [action for action in actions if isinstance(action, kind)]
    return found or [message for message in messages if isinstance(message, kind)]
