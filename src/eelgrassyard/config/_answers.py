"""Answers of a questionnaire, in the terms of the team that fills it in.

The descriptions of the fields are shown when an answer is missing or is not allowed.
"""

from __future__ import annotations

from typing import Annotated, Literal

from pydantic import Field

from ._model import Hex, Ip, Name, Port, Strict

MattersMost = Literal["response_time", "other_work_in_flood"]
Percent = Annotated[float, Field(ge=0, le=100)]


class FailureDomainAnswer(Strict):
    """A zone with its own hosts and upstreams."""

    name: Name
    region: Name


class LatencyAnswer(Strict):
    """One-way latencies in milliseconds."""

    between_failure_domains: Annotated[float, Field(ge=0, le=1000)]
    to_clients: Annotated[float, Field(ge=0, le=1000)]


class HostAnswer(Strict):
    """An entry host; peers use one port, callers and operators the other."""

    name: Name
    failure_domain: Name
    address: Ip
    peer_port: Port
    callers_port: Port
    size: Literal["small", "usual", "large"] = "usual"


class RunnerAnswer(Strict):
    """A runner; what it leaves out is as the service says."""

    name: Name
    failure_domain: Name
    address: Ip
    port: Port
    rack: Name | Literal[""] = ""
    slots: Annotated[int, Field(ge=1, le=10_000)] | None = None
    connections: Annotated[int, Field(ge=1, le=100_000)] | None = None


class ServiceAnswer(Strict):
    """A service that answers requests on runners."""

    name: Name
    slots: Annotated[int, Field(ge=1, le=10_000)] = 8
    connections: Annotated[int, Field(ge=1, le=100_000)] = 60
    runners: Annotated[list[RunnerAnswer], Field(min_length=1)]


class WorkerAnswer(Strict):
    """A guarded worker of a rack."""

    name: Name
    address: Ip
    port: Port


class RackAnswer(Strict):
    """A rack of equal guarded workers."""

    name: Name
    failure_domain: Name
    cores: Annotated[float, Field(gt=0, le=10_000)]
    memory_gb: Annotated[float, Field(gt=0, le=10_000)]
    accelerators: Annotated[int, Field(ge=0, le=1000)] = 0
    connections: Annotated[int, Field(ge=1, le=100_000)] = 60
    workers: Annotated[list[WorkerAnswer], Field(min_length=1)]


class KindAnswer(Strict):
    """A kind of work; the sizes are those of one task."""

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
    """A team; without a quota it starts as many tasks as it is served."""

    name: Name
    most_starts_per_s: Annotated[float, Field(gt=0, le=10_000_000)] | None = None


class SendsAnswer(Strict):
    """What a caller sends of one kind in its busiest hour, in submissions per second."""

    per_s: Annotated[float, Field(gt=0, le=1_000_000)]


class KeyAnswer(Strict):
    """Hash of a key, as ``eelgrassyard key new`` prints it."""

    salt: Annotated[Hex, Field(min_length=2, max_length=32)]
    hash: Annotated[Hex, Field(min_length=64, max_length=64)]


class CallerAnswer(Strict):
    """A caller: its team, the kinds it sends and how much of each."""

    name: Name
    team: Name
    sends: Annotated[dict[Name, SendsAnswer], Field(min_length=1)]
    key: KeyAnswer | None = None


class OperatorAnswer(Strict):
    """A person or program that may read the state and stop hosts."""

    name: Name
    key: KeyAnswer | None = None


class Answers(Strict):
    """A whole questionnaire."""

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
