"""A host around a scripted core, for the tests of the daemon."""

from __future__ import annotations

import contextlib
import json
from collections.abc import AsyncIterator, Callable, Sequence
from dataclasses import dataclass, field

import anyio
import httpx

from eelgrassyard.config import hash_key
from eelgrassyard.daemon._host import Host
from eelgrassyard.daemon._settings import Settings
from eelgrassyard.policy import (
    Action,
    CallerEntry,
    DrainCalled,
    Drained,
    Event,
    HostEntry,
    IdsCalled,
    KindEntry,
    Reason,
    ReplyIds,
    SiteConfig,
    TeamEntry,
)
from eelgrassyard.policy._fair_queue import QueueRefusal

SALT = "01" * 16
KEY_BY_CALLER = {"clerk": "key-of-clerk", "till": "key-of-till", "operator": "key-of-operator"}
ID_KEY = "ab" * 32


def make_config(**changes) -> SiteConfig:
    callers = {
        name: CallerEntry(
            name=name,
            team="land",
            key_salt=SALT,
            key_hash=hash_key(key, SALT),
            operator=name == "operator",
            kinds=frozenset({"rule"}) if name == "till" else frozenset(),
        )
        for name, key in KEY_BY_CALLER.items()
    }
    values = {
        "site": "bagmati",
        "failure_domains": ("patan",),
        "hosts_by_name": {},
        "kinds_by_name": {
            "rule": KindEntry(name="rule", service="ruling", idempotent=True),
            "bind": KindEntry(name="bind"),
        },
        "callers_by_name": callers,
        "teams_by_name": {"land": TeamEntry(name="land")},
        **changes,
    }
    return SiteConfig(**values)


def make_settings(**changes) -> Settings:
    values = {
        "name": "patan-1",
        "failure_domain": "patan",
        "id_key": ID_KEY,
        "http": {"address": "127.0.0.1", "port": 0},
        "peer": {"address": "127.0.0.1", "port": 0},
        "store": {"url": "http://127.0.0.1:1", "key": "site"},
        "host_list": {"url": "http://127.0.0.1:1", "poll_s": 60.0},
        **changes,
    }
    return Settings.model_validate(values)


@dataclass
class FixedConfig:
    """A view of a configuration that does not change."""

    current: SiteConfig | None
    revision: int = 1


@dataclass
class NoMembership:
    def scheduler_for(self, pool: str, failure_domain: str | None = None) -> str:
        return ""


@dataclass
class NoSubmissions:
    known: set[str] = field(default_factory=set)

    def owns(self, submission_id: str) -> bool:
        return submission_id in self.known


@dataclass
class FixedAdmission:
    """Refuses flows with ``refusal``, and those whose wait is longer than their deadline."""

    refusal: QueueRefusal | None = None
    wait_s: float = 0.0

    def check_flow(self, now, flow, tasks, deadline_s, urgency) -> QueueRefusal | None:
        if self.wait_s > deadline_s:
            return QueueRefusal(reason=Reason.DEADLINE, message="late", retry_after_s=1.0)
        return self.refusal


@dataclass
class ScriptedCore:
    """Answers events by a script and remembers them.

    :param script: makes actions of an event.
    """

    script: Callable[[Event], list[Action]] = lambda event: []
    config: SiteConfig | None = field(default_factory=make_config)
    events: list[Event] = field(default_factory=list)
    batches: list[int] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.configsync = FixedConfig(self.config)
        self.membership = NoMembership()
        self.submissions = NoSubmissions()
        self.admission = FixedAdmission()
        self._changed = anyio.Event()

    def tick(self, now: float, inbox: Sequence[Event]) -> list[Action]:
        if inbox:
            self.batches.append(len(inbox))
        out: list[Action] = []
        for event in inbox:
            self.events.append(event)
            if isinstance(event, IdsCalled):
                ids = tuple(f"id-{number}" for number in range(event.count))
                out.append(ReplyIds(call=event.call, ids=ids))
            elif isinstance(event, DrainCalled):
                out.append(Drained())
            out.extend(self.script(event))
        if inbox:
            self._changed.set()
            self._changed = anyio.Event()
        return out

    def next_wake(self, now: float) -> float:
        return float("inf")

    def dump(self, table: str | None = None) -> dict[str, object]:
        tables = {"submissions": {f"id-{number}": "running" for number in range(100)}}
        return {table: tables[table]} if table is not None else tables

    def of_type(self, cls: type) -> list:
        return [event for event in self.events if isinstance(event, cls)]

    async def wait_for(self, cls: type, count: int = 1) -> list:
        """Wait until the core has had ``count`` events of a type."""
        with anyio.fail_after(10):
            while len(self.of_type(cls)) < count:
                await self._changed.wait()
        return self.of_type(cls)


@contextlib.asynccontextmanager
async def running_host(core: ScriptedCore, **changes) -> AsyncIterator[Host]:
    """A host that serves on loopback until the block ends."""
    host = Host(settings=make_settings(**changes), seed=1, make_core=lambda identity, seed: core)
    async with anyio.create_task_group() as group:
        group.start_soon(host.run)
        await host.started.wait()
        yield host
        group.cancel_scope.cancel()


async def connect(host: Host) -> anyio.abc.SocketStream:
    return await anyio.connect_tcp("127.0.0.1", host.http_port)


def headers_of(caller: str) -> dict[str, str]:
    return {"authorization": f"Bearer {KEY_BY_CALLER[caller]}"}


def client_of(host: Host, caller: str | None = "clerk") -> httpx.AsyncClient:
    return httpx.AsyncClient(
        base_url=f"http://127.0.0.1:{host.http_port}",
        headers=headers_of(caller) if caller else {},
        trust_env=False,
        timeout=20,
    )


def body_of(kind: str = "rule", tasks: int = 1, **fields) -> bytes:
    content = {"kind": kind, "tasks": [{"payload": {"n": n}} for n in range(tasks)], **fields}
    return json.dumps(content).encode()


def put_request(body: bytes, *, caller: str = "clerk", length: int | None = None) -> bytes:
    """A PUT as bytes for a raw connection."""
    return (
        f"PUT /v1/submissions/id-1 HTTP/1.1\r\nhost: x\r\n"
        f"authorization: Bearer {KEY_BY_CALLER[caller]}\r\n"
        f"content-length: {len(body) if length is None else length}\r\n\r\n"
    ).encode() + body


async def receive_all(stream: anyio.abc.ByteStream) -> bytes:
    """Read until the other side ends the connection."""
    received = b""
    with anyio.fail_after(20):
        while True:
            try:
                received += await stream.receive()
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                return received


def host_entry(host: Host, name: str) -> HostEntry:
    return HostEntry(name=name, address="127.0.0.1", port=host.peer_port, failure_domain="patan")
