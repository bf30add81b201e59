"""Validated model of the configuration document.

Field names and defaults match the data classes in :mod:`eelgrassyard.policy` that the decision core
reads. Values equal to the default may be left out of a document.
"""

from __future__ import annotations

import ipaddress
import re
from typing import Annotated, Literal, Self
from urllib.parse import urlsplit

from pydantic import AfterValidator, BaseModel, ConfigDict, Field, model_validator

FORMAT = 1
MAX_DOCUMENT_BYTES = 1_000_000
"""Largest value that the store accepts, 1 MB."""


def _check_ip(value: str) -> str:
    ipaddress.ip_address(value)
    return value


def _check_url(value: str) -> str:
    parts = urlsplit(value)
    if parts.scheme not in ("http", "https") or not parts.hostname or parts.port is None:
        raise ValueError("must be http://IP:PORT or https://IP:PORT")
    if parts.path or parts.query or parts.fragment or parts.username:
        raise ValueError("must be http://IP:PORT or https://IP:PORT without a path")
    ipaddress.ip_address(parts.hostname)
    return value


def _check_hex(value: str) -> str:
    if not re.fullmatch(r"(?:[0-9a-f]{2})*", value):
        raise ValueError("must be lower-case hexadecimal")
    return value


Name = Annotated[str, Field(pattern=r"^[a-z0-9](?:[a-z0-9_-]{0,62}[a-z0-9])?$")]
Ip = Annotated[str, AfterValidator(_check_ip)]
Url = Annotated[str, Field(max_length=200), AfterValidator(_check_url)]
Hex = Annotated[str, Field(max_length=64), AfterValidator(_check_hex)]
Port = Annotated[int, Field(ge=1, le=65535)]
Share = Annotated[float, Field(ge=0, le=1)]
Weight = Annotated[float, Field(gt=0, le=1000)]
Seconds = Annotated[float, Field(gt=0, le=86400)]


class Strict(BaseModel):
    """Base of the models: rejects unknown keys, wrong types and non-finite numbers."""

    model_config = ConfigDict(extra="forbid", strict=True, allow_inf_nan=False, frozen=True)


class HostModel(Strict):
    """An entry host."""

    address: Ip
    port: Port
    failure_domain: Name
    region: Name | Literal[""] = ""
    weight: Weight = 1.0
    callers_port: Annotated[int, Field(ge=0, le=65535)] = 0


class UpstreamModel(Strict):
    """A runner or guarded worker."""

    role: Literal["runner", "worker"]
    url: Url
    failure_domain: Name
    rack: Name | Literal[""] = ""
    service: Name | Literal[""] = ""
    slots: Annotated[int, Field(ge=0, le=10_000)] = 0
    connections: Annotated[int, Field(ge=1, le=100_000)] = 60
    cores: Annotated[float, Field(ge=0, le=10_000)] = 0.0
    memory_mb: Annotated[int, Field(ge=0, le=100_000_000)] = 0
    accelerators: Annotated[int, Field(ge=0, le=1000)] = 0

    @model_validator(mode="after")
    def _check_role(self) -> Self:
        if self.role == "runner":
            if not self.service or self.slots < 1:
                raise ValueError("a runner needs a service and at least 1 slot")
            if self.cores or self.memory_mb or self.accelerators:
                raise ValueError("a runner has slots, not cores, memory or accelerators")
            if self.connections < self.slots:
                raise ValueError("a runner needs at least as many connections as slots")
        elif self.service or self.slots:
            raise ValueError("a worker has neither a service nor slots")
        elif not self.cores or not self.memory_mb:
            raise ValueError("a worker needs cores and memory_mb above 0")
        return self


class KindModel(Strict):
    """A kind of work."""

    service: Name | Literal[""] = ""
    typical_s: Seconds = 0.3
    longest_s: Seconds = 5.0
    idempotent: bool = False
    urgency: Literal["urgent", "normal", "background"] = "normal"
    share: Share = 0.1
    deadline_s: Seconds = 30.0

    @model_validator(mode="after")
    def _check_times(self) -> Self:
        if self.longest_s < self.typical_s:
            raise ValueError("longest_s must be at least typical_s")
        if self.deadline_s < self.typical_s:
            raise ValueError("deadline_s must be at least typical_s")
        return self


class CallerModel(Strict):
    """A caller and the salted hash of its key; without a key it cannot call."""

    team: Name
    key_salt: Annotated[Hex, Field(max_length=32)] = ""
    key_hash: Hex = ""
    weight: Weight = 1.0
    operator: bool = False
    kinds: tuple[Name, ...] = ()

    @model_validator(mode="after")
    def _check_key(self) -> Self:
        if bool(self.key_salt) != bool(self.key_hash):
            raise ValueError("key_salt and key_hash go together")
        if self.key_hash and len(self.key_hash) != 64:
            raise ValueError("key_hash must be 64 hexadecimal digits")
        return self


class TeamModel(Strict):
    """A team and its quota."""

    starts_per_s: Annotated[float, Field(ge=0, le=10_000_000)] = 0.0


class LimitsModel(Strict):
    """Limits, intervals and timeouts; times in seconds."""

    tasks_per_job: Annotated[int, Field(ge=1, le=620)] = 620
    body_bytes: Annotated[int, Field(ge=1_000, le=2_000_000)] = 2_000_000
    queued_tasks_per_flow: Annotated[int, Field(ge=1, le=1_000_000)] = 5_000
    queued_tasks_total: Annotated[int, Field(ge=1, le=10_000_000)] = 50_000
    witness_records: Annotated[int, Field(ge=1, le=10_000_000)] = 200_000
    id_lifetime_s: Annotated[float, Field(ge=10, le=86400)] = 600.0
    lease_s: Annotated[float, Field(ge=0.5, le=600)] = 10.0
    ping_interval_s: Annotated[float, Field(ge=0.05, le=10)] = 0.5
    remote_ping_interval_s: Annotated[float, Field(ge=0.05, le=30)] = 1.0
    suspicion_periods: Annotated[int, Field(ge=1, le=20)] = 3
    retry_budget_ratio: Share = 0.1
    background_share: Share = 0.05
    max_ejected_ratio: Annotated[float, Field(ge=0, le=0.9)] = 0.5
    ask_timeout_s: Annotated[float, Field(ge=0.05, le=30)] = 1.0


class SiteModel(Strict):
    """Complete configuration of a site."""

    site: Name
    failure_domains: Annotated[tuple[Name, ...], Field(min_length=1, max_length=64)]
    scope: Literal["site", "failure_domain"] = "site"
    hosts: dict[Name, HostModel] = {}
    upstreams: dict[Name, UpstreamModel] = {}
    kinds: dict[Name, KindModel] = {}
    callers: dict[Name, CallerModel] = {}
    teams: dict[Name, TeamModel] = {}
    limits: LimitsModel = LimitsModel()


AnswerModel = tuple[
    Annotated[str, Field(max_length=300)],
    Annotated[int, Field(ge=0)],
    Annotated[str, Field(max_length=500)],
]
"""Origin of values: JSON path of the answer, its line (0 if there is none), and the rule."""


ChangeId = Annotated[str, Field(pattern=r"^[0-9a-f]{32}$")]
HISTORY_LENGTH = 16
"""Change ids kept. A writer that got no response to its write looks for its change id among
them."""


class DocumentModel(Strict):
    """The configuration document as stored.

    :param history: change ids of the documents before this one in the store, newest first.
    :param answers: the distinct origins of the values.
    :param origins: for each entity, the index into ``answers`` of each of its fields in the order
        of the model; -1 where no origin is recorded.
    """

    format: Literal[1]
    change_id: ChangeId
    author: Annotated[str, Field(min_length=1, max_length=200)]
    questionnaire: Annotated[str, Field(max_length=300)] = ""
    history: Annotated[tuple[ChangeId, ...], Field(max_length=HISTORY_LENGTH)] = ()
    config: SiteModel
    answers: tuple[AnswerModel, ...] = ()
    origins: dict[str, tuple[int, ...]] = {}
