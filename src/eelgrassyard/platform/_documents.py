"""Decoding of the configuration, worker entries and host entries in the platform's store."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta
from result import Err, Ok, Result

from .._addresses import parse_address
from .._decoding import decode, shorten
from ..dispatch._messages import HostRecord
from ..dispatch._routes import Kind, RouteTable
from ..dispatch._workers import WorkerRecord

OPERATOR_PREFIX = "op/"
"""Prefix of the keys that operators write."""

CONFIG_KEY = OPERATOR_PREFIX + "config"
EVACUATION_PREFIX = OPERATOR_PREFIX + "evacuate/"
"""Prefix of the keys that name the failure domains in which nothing may start."""

WORKER_PREFIX = "servers/"
HOST_PREFIX = "hosts/"
"""Prefix of the entries that the hosts write for each other."""

MAX_DURATION_MS = 86_400_000.0
"""Longest time limit that a configuration may set."""

MAX_NUMBER = 2**53
"""Largest whole number in a document: all JSON writers can represent it, and messages between hosts
hold integers of up to 64 bits."""

MAX_NAME_CHARACTERS = 1_000
MAX_LABELS = 100
MAX_HOST_WEIGHT = 100_000.0
MAX_STRETCH = 1_000_000.0

_Name = Annotated[str, Meta(max_length=MAX_NAME_CHARACTERS)]
_Milliseconds = Annotated[float, Meta(ge=0.0, le=MAX_DURATION_MS)]
_Bytes = Annotated[int, Meta(ge=0, le=2**31 - 1)]
_Amount = Annotated[int, Meta(ge=0, le=2**31 - 1)]
_Version = Annotated[int, Meta(ge=1, le=MAX_NUMBER)]


class _Advice(msgspec.Struct):
    decide_ms: _Milliseconds = 0.0


class _Route(msgspec.Struct):
    name: _Name
    host: _Name
    prefix: _Name
    service: _Name
    timeout_ms: _Milliseconds = 1500.0
    # Constant part of the latency objective beyond the stretched work, not the total objective.
    target_duration_ms: _Milliseconds = 100.0
    priority: Annotated[int, Meta(ge=-(2**31), le=2**31 - 1)] = 0
    max_attempts: _Amount = 1
    stretch: Annotated[float, Meta(ge=0.0, le=MAX_STRETCH)] = 1.0
    advice: _Advice | None = None


class _Service(msgspec.Struct):
    name: _Name
    enforces_capacity: bool = False


class _Limits(msgspec.Struct):
    max_header_bytes: _Bytes = 16_384
    max_body_bytes: _Bytes = 262_144
    header_timeout_ms: _Milliseconds = 3000.0
    idle_timeout_ms: _Milliseconds = 15_000.0


class _Config(msgspec.Struct):
    version: _Version
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)


class _Capacity(msgspec.Struct):
    cpu: _Amount
    mem_mb: _Amount
    gpu: _Amount = 0


class _Server(msgspec.Struct):
    service: _Name
    address: str
    zone: _Name
    state: str
    capacity: _Capacity
    # The first label is the worker's kind, the second its rack.
    labels: Annotated[list[_Name], Meta(max_length=MAX_LABELS)] = []
    # Start time of the runner's process.
    born: Annotated[int, Meta(ge=0, le=MAX_NUMBER)] | None = None


class _Host(msgspec.Struct, array_like=True):
    # In the order of the fields of HostRecord, which encodes an entry.
    name: Annotated[str, Meta(min_length=1, max_length=MAX_NAME_CHARACTERS)]
    address: str
    domain: _Name
    incarnation: Annotated[int, Meta(ge=0, le=MAX_NUMBER)]
    weight: Annotated[float, Meta(ge=0.0, le=MAX_HOST_WEIGHT)] = 1.0


_config_decoder = msgspec.json.Decoder(_Config)
_server_decoder = msgspec.json.Decoder(_Server)
_host_decoder = msgspec.json.Decoder(_Host)
_host_encoder = msgspec.json.Encoder()

_DRAINING_BY_STATE = {"ready": False, "draining": True}


def decode_config(document: bytes) -> Result[RouteTable, str]:
    """Decode a configuration document; the error is the reason if it is invalid."""
    return decode(_config_decoder, document).map(_make_routes)


def _make_routes(config: _Config) -> RouteTable:
    return RouteTable(
        version=config.version,
        kinds=tuple(
            Kind(
                name=route.name,
                host=route.host,
                prefix=route.prefix,
                service=route.service,
                priority=route.priority,
                max_attempts=max(1, route.max_attempts),
                stretch=route.stretch,
                target_s=route.target_duration_ms / 1000.0,
                timeout_s=route.timeout_ms / 1000.0,
                advised=route.advice is not None,
            )
            for route in config.routes
        ),
        capacity_checked_services=frozenset(s.name for s in config.services if s.enforces_capacity),
        header_bytes=config.limits.max_header_bytes,
        body_bytes=config.limits.max_body_bytes,
        header_s=config.limits.header_timeout_ms / 1000.0,
        idle_s=config.limits.idle_timeout_ms / 1000.0,
    )


def decode_worker(worker_id: str, value: bytes) -> Result[WorkerRecord, str]:
    """Decode a worker entry; the error is the reason if it is invalid.

    Other writers may use the prefix, so a value can have any form.
    """
    if not worker_id or not (worker_id.isascii() and worker_id.isprintable()):
        # The id is sent to the worker in a header.
        return Err("the id is empty or has characters other than printable ASCII")
    result = decode(_server_decoder, value)
    if result.is_err():
        return Err(result.unwrap_err())
    server = result.unwrap()
    if server.state not in _DRAINING_BY_STATE:
        return Err(shorten(f"unknown state {server.state!r}"))
    if parse_address(server.address).is_err():
        return Err(_address_reason(server.address))
    return Ok(
        WorkerRecord(
            id=worker_id,
            service=server.service,
            address=server.address,
            domain=server.zone,
            life=server.born,
            labels=frozenset(server.labels),
            rack=server.labels[1] if len(server.labels) > 1 else "",
            cpu=server.capacity.cpu,
            memory_mb=server.capacity.mem_mb,
            gpu=server.capacity.gpu,
            draining=_DRAINING_BY_STATE[server.state],
        )
    )


def encode_host(host: HostRecord) -> bytes:
    """Encode the entry of a host."""
    return _host_encoder.encode(host)


def decode_host(name: str, value: bytes) -> Result[HostRecord, str]:
    """Decode the entry of a host; the error is the reason if it is invalid.

    :param name: name of the host, from the key of the entry.
    """
    result = decode(_host_decoder, value)
    if result.is_err():
        return Err(result.unwrap_err())
    host = result.unwrap()
    if host.name != name:
        return Err(shorten(f"the entry names another host, {host.name!r}"))
    if parse_address(host.address).is_err():
        return Err(_address_reason(host.address))
    return Ok(
        HostRecord(
            name=host.name,
            address=host.address,
            domain=host.domain,
            incarnation=host.incarnation,
            weight=host.weight,
        )
    )


def _address_reason(address: str) -> str:
    return shorten(f"{address!r} is not an IPv4 address and port of the form HOST:PORT")
