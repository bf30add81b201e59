"""Validated model of the answers of a questionnaire.

Names and units are those of the team that fills it in, not those of the generated configuration.
"""

from __future__ import annotations

from typing import Annotated, Literal

from pydantic import Field

from ._model import Hex, Ip, Name, Port, Strict

MattersMost = Literal["response_time", "other_work_in_flood"]
Percent = Annotated[float, Field(ge=0, le=100)]


class FailureDomainAnswer(Strict):
    """A failure domain: a zone with hosts and upstreams of its own."""

    name: Name
    region: Name


class LatencyAnswer(Strict):
    """One-way latencies in milliseconds."""

    between_failure_domains: Annotated[float, Field(ge=0, le=1000)]
    to_clients: Annotated[float, Field(ge=0, le=1000)]


class HostAnswer(Strict):
    """An entry host, with separate ports for other hosts and for callers and operators."""

    name: Name
    failure_domain: Name
    address: Ip
    peer_port: Port
    callers_port: Port
    size: Literal["small", "usual", "large"] = "usual"


class RunnerAnswer(Strict):
    """A runner; slots and connections left out are those of its service."""

    name: Name
    failure_domain: Name
    address: Ip
    port: Port
    rack: Name | Literal[""] = ""
    slots: Annotated[int, Field(ge=1, le=10_000)] | None = None
    connections: Annotated[int, Field(ge=1, le=100_000)] | None = None


class ServiceAnswer(Strict):
    """A service whose runners execute requests, with defaults for its runners."""

    name: Name
    slots: Annotated[int, Field(ge=1, le=10_000)] = 8
    connections: Annotated[int, Field(ge=1, le=100_000)] = 60
    runners: Annotated[list[RunnerAnswer], Field(min_length=1)]


class WorkerAnswer(Strict):
    """A guarded worker in a rack, with the resources that the rack gives."""

    name: Name
    address: Ip
    port: Port


class RackAnswer(Strict):
    """A rack of guarded workers with equal resources."""

    name: Name
    failure_domain: Name
    cores: Annotated[float, Field(gt=0, le=10_000)]
    memory_gb: Annotated[float, Field(gt=0, le=10_000)]
    accelerators: Annotated[int, Field(ge=0, le=1000)] = 0
    connections: Annotated[int, Field(ge=1, le=100_000)] = 60
    workers: Annotated[list[WorkerAnswer], Field(min_length=1)]


class KindAnswer(Strict):
    """A kind of work; cores, memory and accelerators are those of one task."""

    name: Name
    runs_as: Literal["request", "job"]
    service: Name | None = None
    typical_s: Annotated[float, Field(gt=0, le=3600)]
    longest_s: Annotated[float, Field(gt=0, le=3600)]
    answer_within_s: Annotated[float, Field(gt=0, le=3600)]
    late_answer: Literal["someone_waits", "work_slows", "can_wait"]
    doubled_run: Literal["harm", "harmless"]
    keeps_percent: Annotated[float, Field(gt=0, le=100)] | None = None
    tasks_usual: Annotated[float, Field(ge=1, le=620)] = 1
    tasks_most: Annotated[int, Field(ge=1, le=620)] | None = None
    cores: Annotated[float, Field(gt=0, le=10_000)] = 1.0
    memory_mb: Annotated[int, Field(ge=1, le=10_000_000)] = 256
    accelerators: Annotated[int, Field(ge=0, le=1000)] = 0
    all_at_once: bool = False


class TeamAnswer(Strict):
    """A team and its quota; without one, its starts are not limited."""

    name: Name
    most_starts_per_s: Annotated[float, Field(gt=0, le=10_000_000)] | None = None


class SendsAnswer(Strict):
    """Submissions per second of one kind in the busiest hour of a caller."""

    per_s: Annotated[float, Field(gt=0, le=1_000_000)]


class KeyAnswer(Strict):
    """Salted hash of a key, as printed by ``eelgrassyard key new``."""

    salt: Annotated[Hex, Field(min_length=2, max_length=32)]
    hash: Annotated[Hex, Field(min_length=64, max_length=64)]


class CallerAnswer(Strict):
    """A caller: its team and its expected rate of each kind."""

    name: Name
    team: Name
    sends: Annotated[dict[Name, SendsAnswer], Field(min_length=1)]
    key: KeyAnswer | None = None


class OperatorAnswer(Strict):
    """A person or program that is allowed to read the state and to stop hosts."""

    name: Name
    key: KeyAnswer | None = None


class Answers(Strict):
    """All answers of a questionnaire."""

    site: Name
    about: Annotated[str, Field(max_length=2000)] = ""
    matters_most: MattersMost
    least_urgent_keeps_percent: Percent | None = None
    failure_domains: Annotated[list[FailureDomainAnswer], Field(min_length=1, max_length=64)]
    latency_ms: LatencyAnswer
    hosts: Annotated[list[HostAnswer], Field(min_length=1, max_length=1000)]
    services: list[ServiceAnswer] = []
    racks: list[RackAnswer] = []
    kinds: Annotated[list[KindAnswer], Field(min_length=1)]
    teams: Annotated[list[TeamAnswer], Field(min_length=1)]
    callers: Annotated[list[CallerAnswer], Field(min_length=1)]
    operators: list[OperatorAnswer] = []
