"""Discrete-event simulation of a site: several cores in one process on virtual time.

Simulates the network between hosts (delay, loss, duplicates, partitions), upstreams with a limit on
slots or cores, and crashes, restarts and pauses of hosts. All scheduling decisions are made by the
cores.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from eelgrassyard.policy import (
    Action,
    ConfigLoaded,
    ControlTask,
    Core,
    Event,
    HostEntry,
    HostIdentity,
    HostListRead,
    IdsCalled,
    ListedHost,
    ListedUpstream,
    LoadConfig,
    PeerReceived,
    ReplyIds,
    ReplyRefusal,
    ReplyState,
    Send,
    SiteConfig,
    StartFinished,
    StartResult,
    StartTask,
    SubmissionBody,
    SubmitCalled,
    UpstreamEntry,
)

EPOCH = 1_800_000_000.0
"""Virtual time at which a simulation starts, in seconds since the Unix epoch."""

ID_KEY = b"virtual site id key, 32 bytes long"[:32]

Reply = ReplyIds | ReplyState | ReplyRefusal
RunTime = Callable[[StartTask, UpstreamEntry], tuple[float, StartResult]]


def loopback_hosts(names: Sequence[str]) -> dict[str, HostEntry]:
    """Host entries on 127.0.0.1, each with its own port.

    :param names: host names of the form ``<failure domain>-<number>``.
    """
    return {
        name: HostEntry(
            name=name, address="127.0.0.1", port=port, failure_domain=name.partition("-")[0]
        )
        for port, name in enumerate(names, start=1)
    }


def identity_of(entry: HostEntry, incarnation: int) -> HostIdentity:
    """Build the identity of a configured host for one incarnation."""
    return HostIdentity(
        name=entry.name,
        address=entry.address,
        port=entry.port,
        failure_domain=entry.failure_domain,
        region=entry.region,
        weight=entry.weight,
        incarnation=incarnation,
        id_key=ID_KEY,
    )


@dataclass(kw_only=True)
class VirtualHost:
    """State of a simulated host.

    :param core: None while the host is down.
    :param generation: incremented at every start and kill; tells processes of a host apart.
    :param frozen_until: virtual time until which the process is paused.
    :param wake_at: virtual time of the next scheduled tick.
    :param backlog: events that arrived but were not handled yet.
    """

    entry: HostEntry
    core: Core | None = None
    generation: int = 0
    frozen_until: float = 0.0
    wake_at: float = float("inf")
    backlog: list[Event] = field(default_factory=list)


@dataclass(kw_only=True)
class VirtualUpstream:
    """A simulated upstream that enforces its own limit of slots (runner) or cores (worker).

    :param used: slots or cores in use.
    :param running_by_start: slots or cores of each running start, by host, generation and start.
    """

    entry: UpstreamEntry
    up: bool = True
    leaving: bool = False
    used: float = 0.0
    running_by_start: dict[tuple[str, int, int], float] = field(default_factory=dict)

    @property
    def capacity(self) -> float:
        return self.entry.slots or self.entry.cores


@dataclass(frozen=True, kw_only=True)
class VirtualStart:
    """A start request in transit to an upstream.

    :param generation: generation of the host at the time of the request.
    :param delay_s: one-way delay between host and upstream.
    """

    host: VirtualHost
    generation: int
    action: StartTask
    upstream: VirtualUpstream
    delay_s: float

    @property
    def key(self) -> tuple[str, int, int]:
        return (self.host.entry.name, self.generation, self.action.start)


class VirtualSite:
    """Runs the cores of a site on virtual time.

    :param run_time: returns run time in seconds and result of a start on an upstream.
    :param latency: one-way delay in seconds between two failure domains; for an upstream, its own
        failure domain counts.
    :param loss: probability that a message between hosts is lost.
    :param duplicates: probability that a message between hosts is sent twice.
    :param jitter_s: upper bound of a uniformly distributed delay added to each message.
    """

    def __init__(
        self,
        *,
        config: SiteConfig,
        seed: int,
        run_time: RunTime,
        latency: Callable[[str, str], float] = lambda a, b: 0.00025 if a == b else 0.0015,
        loss: float = 0.0,
        duplicates: float = 0.0,
        jitter_s: float = 0.0,
    ) -> None:
        self.config = config
        self.revision = 1
        self.now = EPOCH
        self.random = random.Random(seed)
        self.run_time = run_time
        self.latency = latency
        self.loss = loss
        self.duplicates = duplicates
        self.jitter_s = jitter_s
        self.cuts: set[frozenset[str]] = set()
        self.starts_by_task: Counter[tuple[str, int]] = Counter()
        self.messages_by_type: Counter[str] = Counter()
        self.frames = 0
        self.unhandled_actions: list[tuple[float, str, Action]] = []
        self.on_event: Callable[[VirtualHost, Sequence[Event]], None] | None = None
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._calls = itertools.count(1)
        self._on_reply: dict[tuple[str, int], Callable[[Reply], None]] = {}
        self.host_by_name = {n: VirtualHost(entry=h) for n, h in config.hosts_by_name.items()}
        self.upstream_by_name = {
            name: VirtualUpstream(entry=entry) for name, entry in config.upstreams_by_name.items()
        }

    # Time

    def at(self, time: float, action: Callable[[], None]) -> None:
        """Schedule ``action`` at a virtual time, or now if that has passed."""
        heapq.heappush(self._heap, (max(time, self.now), next(self._sequence), action))

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedule ``action`` after a delay on virtual time."""
        self.at(self.now + delay_s, action)

    def run_until(self, time: float) -> None:
        """Run all events due up to a virtual time, and advance the clock to it."""
        while self._heap and self._heap[0][0] <= time:
            self.now, _, action = heapq.heappop(self._heap)
            action()
        self.now = time

    # Hosts

    def start_all(self, *, with_config: bool = True) -> None:
        """Start every host with the host list and, by default, the configuration."""
        for name in self.host_by_name:
            self.start(name, with_config=with_config)

    def start(self, name: str, *, with_config: bool = True) -> Core:
        """Start a host process with a new incarnation."""
        host = self.host_by_name[name]
        host.generation += 1
        host.frozen_until = 0.0
        host.backlog.clear()
        host.wake_at = float("inf")
        identity = identity_of(host.entry, int(self.now * 1e6))
        host.core = Core(identity=identity, seed=self.random.randrange(2**32))
        self.deliver(name, self.host_list())
        if with_config:
            self.deliver(name, self.config_event())
        return host.core

    def config_event(self) -> ConfigLoaded:
        """Event that delivers the configuration of the site."""
        return ConfigLoaded(
            revision=self.revision, document=b"%d" % self.revision, config=self.config
        )

    def host_list(self) -> HostListRead:
        """Event that delivers the host list of the platform: all hosts and upstreams."""
        return HostListRead(
            hosts=tuple(
                ListedHost(host=h.entry, leaving=False) for h in self.host_by_name.values()
            ),
            upstreams=tuple(
                ListedUpstream(upstream=u.entry, leaving=u.leaving)
                for u in self.upstream_by_name.values()
            ),
        )

    def kill(self, name: str) -> None:
        """Crash a host; tasks that it started continue to run on the upstreams."""
        host = self.host_by_name[name]
        host.core = None
        host.generation += 1

    def freeze(self, name: str, seconds: float) -> None:
        """Pause a host process; events that arrive meanwhile are handled when it resumes."""
        host = self.host_by_name[name]
        host.frozen_until = self.now + seconds
        self.at(host.frozen_until, lambda: self._tick(host))

    def cut(self, first: str, second: str) -> None:
        """Partition the network between two failure domains, upstreams included."""
        self.cuts.add(frozenset((first, second)))

    def heal(self) -> None:
        """End all network partitions."""
        self.cuts.clear()

    def is_cut(self, first: str, second: str) -> bool:
        """Whether the network between two failure domains is partitioned."""
        return first != second and frozenset((first, second)) in self.cuts

    def deliver(self, name: str, *events: Event) -> None:
        """Deliver events to a host now; they are dropped if it is down."""
        host = self.host_by_name[name]
        if host.core is None:
            return
        host.backlog.extend(events)
        self._tick(host)

    # Callers

    def call(
        self, name: str, make_event: Callable[[int], Event], on_reply: Callable[[Reply], None]
    ) -> int:
        """Deliver the event of a caller to a host.

        :param make_event: builds the event from the number of the call.
        :param on_reply: called with each reply to the call.
        :returns: number of the call.
        """
        number = next(self._calls)
        self._on_reply[name, number] = on_reply
        self.deliver(name, make_event(number))
        return number

    def submit(
        self,
        name: str,
        caller: str,
        body: SubmissionBody,
        on_reply: Callable[[str, Reply], None],
        *,
        wait_s: float = 60.0,
        submit_to: str | None = None,
    ) -> None:
        """Request an id from a host and submit with it.

        :param on_reply: called with the id, empty if none was issued, and the reply.
        :param submit_to: host to submit to; the issuer of the id if None.
        """

        def with_id(reply: Reply) -> None:
            if not isinstance(reply, ReplyIds):
                on_reply("", reply)
                return
            submission_id = reply.ids[0]
            self.call(
                submit_to or name,
                lambda n: SubmitCalled(
                    call=n, caller=caller, submission_id=submission_id, body=body, wait_s=wait_s
                ),
                lambda final: on_reply(submission_id, final),
            )

        self.call(
            name, lambda n: IdsCalled(call=n, caller=caller, count=1, kind=body.kind), with_id
        )

    # Event loop

    def _tick(self, host: VirtualHost) -> None:
        if host.core is None or self.now < host.frozen_until:
            return
        events = host.backlog[:]
        host.backlog.clear()
        if self.on_event is not None:
            self.on_event(host, events)
        actions = host.core.tick(self.now, events)
        peers = set()
        for action in actions:
            if isinstance(action, Send):
                peers.add(action.to)
            self._carry_out(host, action)
        self.frames += len(peers)
        self._schedule_wake(host)

    def _schedule_wake(self, host: VirtualHost) -> None:
        assert host.core is not None
        wake = max(host.core.next_wake(self.now), self.now + 1e-6)
        if wake == float("inf") or (self.now < host.wake_at <= wake):
            return
        host.wake_at = wake
        generation = host.generation

        def fire() -> None:
            if host.generation == generation and host.wake_at == wake:
                host.wake_at = float("inf")
                self._tick(host)

        self.at(wake, fire)

    def _carry_out(self, host: VirtualHost, action: Action) -> None:
        match action:
            case Send():
                self._send(host, action)
            case StartTask():
                self._start_task(host, action)
            case ReplyIds() | ReplyState() | ReplyRefusal():
                callback = self._on_reply.get((host.entry.name, action.call))
                if callback is not None:
                    callback_reply = action
                    self.at(self.now, lambda: callback(callback_reply))
            case LoadConfig():
                self.at(self.now, lambda: self.deliver(host.entry.name, self.config_event()))
            case ControlTask():
                self._stop_task(host, action)
            case _:
                self.unhandled_actions.append((self.now, host.entry.name, action))

    def _send(self, host: VirtualHost, action: Send) -> None:
        self.messages_by_type[type(action.message).__name__] += 1
        target = self.host_by_name.get(action.to)
        if target is None:
            return
        source_domain = host.entry.failure_domain
        copies = 1 + (self.random.random() < self.duplicates)
        assert host.core is not None
        event = PeerReceived(
            sender=host.entry.name,
            incarnation=host.core.identity.incarnation,
            message=action.message,
        )
        for _ in range(copies):
            if self.random.random() < self.loss:
                continue
            if self.is_cut(source_domain, target.entry.failure_domain):
                continue
            delay_s = self.latency(source_domain, target.entry.failure_domain)
            delay_s += self.random.random() * self.jitter_s
            self.after(delay_s, lambda: self.deliver(target.entry.name, event))

    def _start_task(self, host: VirtualHost, action: StartTask) -> None:
        upstream = self.upstream_by_name[action.upstream]
        here, there = host.entry.failure_domain, upstream.entry.failure_domain
        start = VirtualStart(
            host=host,
            generation=host.generation,
            action=action,
            upstream=upstream,
            delay_s=self.latency(here, there),
        )
        if not upstream.up or self.is_cut(here, there):
            self._finish(start, StartResult.NOT_STARTED, 0.0, connect_refused=True)
            return
        self.after(start.delay_s, lambda: self._arrive(start))

    def _arrive(self, start: VirtualStart) -> None:
        action, upstream = start.action, start.upstream
        need = 1.0 if upstream.entry.slots else action.cores
        if upstream.leaving or upstream.used + need > upstream.capacity + 1e-9:
            self._finish(start, StartResult.NOT_STARTED, 0.0)
            return
        self.starts_by_task[action.submission_id, action.index] += 1
        upstream.used += need
        seconds, result = self.run_time(action, upstream.entry)
        upstream.running_by_start[start.key] = need
        self.after(seconds, lambda: self._end(start, result, seconds))
        self.after(action.timeout_s, lambda: self._end(start, StartResult.LOST, action.timeout_s))

    def _end(self, start: VirtualStart, result: StartResult, seconds: float) -> None:
        need = start.upstream.running_by_start.pop(start.key, None)
        if need is not None:
            start.upstream.used -= need
            self._finish(start, result, seconds)

    def _stop_task(self, host: VirtualHost, action: ControlTask) -> None:
        if action.control != "stop":
            self.unhandled_actions.append((self.now, host.entry.name, action))
            return
        upstream = self.upstream_by_name[action.upstream]
        generation = host.generation
        need = upstream.running_by_start.pop((host.entry.name, generation, action.start), None)
        if need is None:
            return
        upstream.used -= need
        event = StartFinished(
            start=action.start, upstream=action.upstream, result=StartResult.STOPPED, run_s=0.0
        )
        self.after(0.0005, lambda: self._report(host, generation, event))

    def _finish(
        self,
        start: VirtualStart,
        result: StartResult,
        seconds: float,
        *,
        connect_refused: bool = False,
    ) -> None:
        action = start.action
        event = StartFinished(
            start=action.start,
            upstream=action.upstream,
            result=result,
            run_s=seconds,
            payload=b'"%s/%d"' % (action.submission_id.encode(), action.index),
            leaving=start.upstream.leaving,
            refused_by_connect=connect_refused,
        )
        delay_s = 0.0 if result is StartResult.LOST else start.delay_s
        self.after(delay_s, lambda: self._report(start.host, start.generation, event))

    def _report(self, host: VirtualHost, generation: int, event: StartFinished) -> None:
        """Deliver the end of a start, unless the process that started it has ended."""
        if host.generation == generation:
            self.deliver(host.entry.name, event)
