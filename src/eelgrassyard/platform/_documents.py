"""Decoding of the configuration, worker entries and host entries in the platform's store."""

from __future__ import annotations

import msgspec
from result import Err, Ok, Result

from .._decoding import decode
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

MAX_PORT = 65_535


class _Advice(msgspec.Struct):
    decide_ms: float = 0.0


class _Route(msgspec.Struct):
    name: str
    host: str
    prefix: str
    service: str
    timeout_ms: float = 1500.0
    # Constant part of the latency objective beyond the stretched work, not the total objective.
    target_duration_ms: float = 100.0
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    advice: _Advice | None = None


class _Service(msgspec.Struct):
    name: str
    enforces_capacity: bool = False


class _Limits(msgspec.Struct):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15_000.0


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)


class _Capacity(msgspec.Struct):
    cpu: int
    mem_mb: int
    gpu: int = 0


class _Server(msgspec.Struct):
    service: str
    address: str
    zone: str
    state: str
    capacity: _Capacity
    # The first label is the worker's kind, the second its rack.
    labels: list[str] = []


_config_decoder = msgspec.json.Decoder(_Config)
_server_decoder = msgspec.json.Decoder(_Server)
_host_decoder = msgspec.json.Decoder(HostRecord)
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


def _is_port(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) <= 5 and 0 < int(text) <= MAX_PORT


def decode_worker(worker_id: str, value: bytes) -> Result[WorkerRecord, str]:
    """Decode a worker entry; the error is the reason if it is invalid.

    Other writers may use the prefix, so a value can have any form.
    """
    result = decode(_server_decoder, value)
    if result.is_err():
        return Err(result.unwrap_err())
    server = result.unwrap()
    if server.state not in _DRAINING_BY_STATE:
        return Err(f"unknown state {server.state!r}")
    host, _, port = server.address.rpartition(":")
    if not host or not _is_port(port):
        return Err(f"{server.address!r} is not an address of the form HOST:PORT")
    return Ok(
        WorkerRecord(
            id=worker_id,
            service=server.service,
            address=server.address,
            domain=server.zone,
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


def decode_host(value: bytes) -> Result[HostRecord, str]:
    """Decode the entry of a host; the error is the reason if it is invalid."""
    return decode(_host_decoder, value)
