"""Callers, which send jobs over keep-alive connections and retry as the platform's clients do."""

from __future__ import annotations

import asyncio
import json
import random
import time
from dataclasses import dataclass

import httpx

from ._hosts import Balancer, HostProcess
from ._ledger import CONFIG_S, CONTACT_S, JobEntry, Ledger

TIMEOUT_S = 1.5
"""Timeout of the routes, which is also the time that a caller waits (site files)."""

RESEND_S = 1.3
"""Delay before a job without a response is sent again (users' bounds)."""

ATTEMPTS = 3
CALLERS_BURST = 2.0
"""Factor on the rate of jobs in a burst (users' days have 1.7 to 2.4)."""

PROBE_S = 0.25
"""Interval of the probes of extra routes."""

HOST_HEADER = "desk.example"
MAX_ATTEMPTS = 3


@dataclass(frozen=True, slots=True, kw_only=True)
class Shape:
    """A kind of job.

    :param tasks: tasks of each step.
    :param work_s: mean run time of a task.
    :param weight: relative frequency.
    :param cores: range of the cores that a task requests.
    """

    prefix: str
    tasks: int
    work_s: float
    weight: float
    steps: int = 1
    cores: tuple[int, int] = (20, 34)


SHAPES = (
    Shape(prefix="/grid/", tasks=8, work_s=0.06, weight=0.24),
    Shape(prefix="/layout/", tasks=4, work_s=0.9, weight=0.05),
    Shape(prefix="/stamp/", tasks=2, work_s=0.2, weight=0.66),
    Shape(prefix="/stamp/", tasks=2, work_s=0.05, weight=0.05, steps=2),
)

LONG_SHAPES = (
    Shape(prefix="/stamp/", tasks=2, work_s=0.6, weight=0.8, cores=(10, 17)),
    Shape(prefix="/grid/", tasks=4, work_s=0.25, weight=0.2, cores=(10, 17)),
)
"""Shapes whose tasks share workers and are likely to run when a fault is injected."""


@dataclass(slots=True, kw_only=True, eq=False)
class _Caller:
    """One caller with one connection, which stays on its host until it is closed."""

    domain: str
    client: httpx.AsyncClient
    host: HostProcess | None = None


class Callers:
    """Open-loop load of all failure domains.

    :ivar rate: jobs per second of the whole site.
    :ivar shapes: kinds of jobs.
    :ivar leave_share: share of the callers that disconnect before their response.
    :ivar served: time and success of each job whose caller waited.
    """

    def __init__(
        self, *, domains: list[str], balancer: Balancer, ledger: Ledger, seed: int, rate: float
    ) -> None:
        self.rate = rate
        self.shapes: tuple[Shape, ...] = SHAPES
        self.leave_share = 0.0
        self.served: list[tuple[float, bool]] = []
        self._domains = domains
        self._balancer = balancer
        self._ledger = ledger
        self._random = random.Random(seed)
        self._free: list[_Caller] = []
        self._all: list[_Caller] = []
        self._jobs: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Send jobs until cancelled."""
        while True:
            await asyncio.sleep(self._random.expovariate(self.rate))
            job, shape = self._new_job()
            task = asyncio.ensure_future(self._serve(job, shape))
            self._jobs.add(task)
            task.add_done_callback(self._jobs.discard)

    async def finish(self) -> None:
        """Wait for the jobs in progress, then close the connections."""
        await asyncio.gather(*list(self._jobs))
        for caller in self._all:
            await caller.client.aclose()

    def _new_job(self) -> tuple[JobEntry, Shape]:
        rng = self._random
        shape = rng.choices(self.shapes, [shape.weight for shape in self.shapes])[0]
        job_id = f"{rng.getrandbits(64):016x}"
        work_s = tuple(shape.work_s * rng.uniform(0.7, 1.4) for _ in range(shape.steps))
        entry = JobEntry(
            id=job_id,
            spec=f"ledger {job_id}",
            counts=(shape.tasks,) * shape.steps,
            work_s=work_s,
            cpu=1000 * rng.randint(*shape.cores),
            max_attempts=MAX_ATTEMPTS,
            fails=f"{job_id}.0.0.0" if rng.random() < 0.005 else "",
        )
        self._ledger.job_by_id[job_id] = entry
        return entry, shape

    def _take_caller(self) -> _Caller:
        domain = self._random.choice(self._domains)
        for caller in self._free:
            if caller.domain == domain:
                self._free.remove(caller)
                return caller
        limits = httpx.Limits(max_connections=1, max_keepalive_connections=1)
        client = httpx.AsyncClient(trust_env=False, limits=limits, timeout=TIMEOUT_S + 0.2)
        caller = _Caller(domain=domain, client=client)
        self._all.append(caller)
        return caller

    async def _serve(self, job: JobEntry, shape: Shape) -> None:
        began = time.monotonic()
        outcome = ""
        leaves = self._random.random() < self.leave_share
        for _ in range(1 if leaves else ATTEMPTS):
            caller = self._take_caller()
            outcome = await self._attempt(caller, job, shape, leaves=leaves)
            self._free.append(caller)
            if outcome not in ("broken", "silent", "502"):
                break
            await asyncio.sleep(RESEND_S)
        if not leaves:
            self.served.append((began, outcome in ("completed", "failed")))

    async def _attempt(self, caller: _Caller, job: JobEntry, shape: Shape, *, leaves: bool) -> str:
        host = caller.host
        if host is None:
            host = caller.host = self._random.choice(self._balancer.candidates(caller.domain))
        number = len(job.attempts)
        was_up, starts_before = host.is_up, job.starts
        job.attempts.append("open")
        sent_at = time.monotonic()
        request = caller.client.post(
            f"http://{host.front}{shape.prefix}{job.id}",
            content=_body(job),
            headers={
                "Host": HOST_HEADER,
                "Content-Type": "application/json",
                "X-Request-Deadline": str(int(TIMEOUT_S * 1000)),
            },
        )
        try:
            if leaves:
                leave_after_s = self._random.uniform(0.01, shape.work_s)
                reply = await asyncio.wait_for(request, leave_after_s)
            else:
                reply = await request
        except TimeoutError:
            outcome = "left"
        except httpx.TimeoutException:
            outcome = "silent"
        except httpx.HTTPError:
            outcome = "broken"
            # A process that had exited before has read nothing (soak seed 4, job cc7ec11615964de2).
            if was_up:
                self._ledger.connection_lost(host.name, sent_at, job, starts_before=starts_before)
        else:
            outcome = self._read(job, reply)
            if reply.headers.get("connection", "").lower() == "close":
                caller.host = None
        if outcome in ("left", "silent", "broken"):
            caller.host = None
        self._ledger.attempt_ended(job, number, outcome)
        return outcome

    def _read(self, job: JobEntry, reply: httpx.Response) -> str:
        match reply.status_code:
            case 200:
                return str(reply.json()["state"])
            case 429 | 503:
                if "retry-after" not in reply.headers:
                    self._ledger.record_violation(
                        "HINT", f"{job.id} was refused without a Retry-After header"
                    )
                return "refused"
            case 502 | 504:
                return "502"
            case status:
                self._ledger.record_violation("STATUS", f"{job.id} was answered {status}")
                return str(status)

    def share_served(self, since: float) -> float:
        """Return the share of the jobs sent since a given time that were answered."""
        served = [answered for sent_at, answered in self.served if sent_at >= since]
        return sum(served) / len(served) if served else 0.0


def _body(job: JobEntry) -> bytes:
    phases = []
    for step, count in enumerate(job.counts):
        phase: dict[str, object] = {
            "count": count,
            "cpu": job.cpu,
            "mem_mb": 64,
            "estimate_ms": int(1000 * job.work_s[step]),
        }
        if step:
            phase["after"] = [step - 1]
        phases.append(phase)
    return json.dumps({"spec": job.spec, "phases": phases, "best_effort": True}).encode()


@dataclass(slots=True, kw_only=True)
class ExtraRoute:
    """A route that the operator adds and later removes.

    :param added_at: time at which the store acknowledged it.
    :param removal_sent: whether its removal may be in force.
    """

    prefix: str
    added_at: float
    removal_sent: bool = False
    removed_at: float | None = None


class Prober:
    """Requests the extra routes from each host, to check that configurations apply and stay."""

    def __init__(self, *, hosts: list[HostProcess], ledger: Ledger) -> None:
        self.routes: list[ExtraRoute] = []
        self._hosts = hosts
        self._ledger = ledger
        self._seen: dict[tuple[str, int, str], str] = {}

    async def run(self) -> None:
        """Probe until cancelled."""
        async with httpx.AsyncClient(trust_env=False, timeout=1.0) as client:
            while True:
                for route in self.routes[-3:]:
                    await asyncio.gather(*(self._probe(client, h, route) for h in self._hosts))
                await asyncio.sleep(PROBE_S)

    async def _probe(self, client: httpx.AsyncClient, host: HostProcess, route: ExtraRoute) -> None:
        incarnation = host.incarnation
        sent_at = time.monotonic()
        was_removed, may_be_removed = route.removed_at, route.removal_sent
        try:
            url = f"http://{host.front}{route.prefix}"
            reply = await client.get(url, headers={"Host": HOST_HEADER})
        except httpx.HTTPError:
            # Only responses are checked here; other checks cover hosts that do not respond.
            return
        if host.incarnation != incarnation or reply.status_code not in (200, 404):
            return
        present = reply.status_code == 200
        key = (host.name, incarnation, route.prefix)
        before = self._seen.get(key, "")
        text = f"{route.prefix} at {host.name}-{incarnation}"
        if present and before == "gone":
            self._ledger.record_violation("CONFIG", f"{text} came back")
        if not present and before == "present" and not route.removal_sent:
            self._ledger.record_violation("CONFIG", f"{text} went back to an older configuration")
        if present:
            self._seen[key] = "present"
        elif before == "present":
            self._seen[key] = "gone"
        is_fault_free = (
            self._ledger.fault_tracker.is_fault_free_since(sent_at)
            and sent_at - host.started_at > CONTACT_S
        )
        if not is_fault_free or host.expected:
            return
        if present and was_removed is not None and sent_at - was_removed > CONFIG_S:
            self._ledger.record_violation(
                "CONFIG", f"{text} {sent_at - was_removed:.1f} s after removal"
            )
        if not present and not may_be_removed and sent_at - route.added_at > CONFIG_S:
            self._ledger.record_violation(
                "CONFIG", f"{text} missing {sent_at - route.added_at:.1f} s"
            )
