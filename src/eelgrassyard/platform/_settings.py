"""The settings file that the platform writes for each process."""

from __future__ import annotations

import math
import tomllib
from dataclasses import dataclass
from pathlib import Path

import msgspec
from result import Err, Ok, Result

BYTES_PER_MBIT = 125_000
BYTES_PER_MB = 1_048_576


class _Listen(msgspec.Struct):
    front: str = ""
    ready: str = ""
    control: str = ""
    # Not set by the platform: address to listen on if `control` is the address of a port mapping.
    control_bind: str = ""


class _Limits(msgspec.Struct):
    cpu_share: float = 1.0
    cores: float = 1.0
    memory_mb: int = 256
    max_fds: int = 1024
    link_mbps: float = 0.0


class _Bounds(msgspec.Struct):
    stop_ms: float = 50.0
    remote_slowdown: float = 1.5
    grace_s: float = 6.0


class _Platform(msgspec.Struct):
    address: str
    ttl_min_ms: int = 1000


class _SettingsFile(msgspec.Struct):
    node: str
    zone: str
    listen: _Listen
    platform: _Platform
    seeds: list[str] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)


@dataclass(frozen=True, slots=True, kw_only=True)
class HostSettingsError:
    """A settings file that cannot be read or is invalid.

    :param step: operation that failed.
    :param peer: path of the file.
    """

    step: str
    peer: str
    reason: str

    def __str__(self) -> str:
        return f"{self.peer}: {self.step}: {self.reason}"


@dataclass(frozen=True, slots=True, kw_only=True)
class HostSettings:
    """Settings of a host.

    :param domain: failure domain; the platform calls it a zone.
    :param front_address: address for callers.
    :param ready_address: address for readiness, metrics and state.
    :param peer_address: address at which other hosts open sessions; the platform calls it control.
    :param peer_bind_address: address to listen on for sessions; it differs from the peer address
        behind a port mapping.
    :param seeds: peer addresses of up to three hosts, which may be stale.
    :param weight: CPU share in cores.
    :param stop_s: longest time that a worker takes to stop a run.
    :param far_factor: factor on the run time of a task placed outside its rack.
    :param grace_s: grace period between SIGTERM and SIGKILL.
    :param lease_least_s: shortest lease that the store grants.
    :param link_bytes_per_s: capacity of the machine's link; infinite if the file names none.
    :param memory_limit_bytes: resident memory above which the process is killed.
    :param descriptor_limit: descriptors that the process may have open.
    """

    name: str
    domain: str
    front_address: str
    ready_address: str
    peer_address: str
    peer_bind_address: str
    seeds: tuple[str, ...]
    weight: float
    store_address: str
    stop_s: float
    far_factor: float
    grace_s: float
    lease_least_s: float
    link_bytes_per_s: float = math.inf
    memory_limit_bytes: int = 0
    descriptor_limit: int = 0


def read_settings(path: str) -> Result[HostSettings, HostSettingsError]:
    """Read and validate a settings file; seeds that are not addresses are dropped."""
    try:
        raw = tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        return Err(HostSettingsError(step="read", peer=path, reason=str(error)))
    try:
        file = msgspec.convert(raw, _SettingsFile)
    except msgspec.ValidationError as error:
        return Err(HostSettingsError(step="check", peer=path, reason=str(error)))
    for name, address in (
        ("front", file.listen.front),
        ("ready", file.listen.ready),
        ("control", file.listen.control),
        ("control_bind", file.listen.control_bind or file.listen.control),
        ("platform", file.platform.address),
    ):
        if not _is_address(address):
            reason = f"{name}: {address!r} is not an address of the form HOST:PORT"
            return Err(HostSettingsError(step="check", peer=path, reason=reason))
    return Ok(
        HostSettings(
            name=file.node,
            domain=file.zone,
            front_address=file.listen.front,
            ready_address=file.listen.ready,
            peer_address=file.listen.control,
            peer_bind_address=file.listen.control_bind or file.listen.control,
            seeds=tuple(seed for seed in file.seeds if _is_address(seed)),
            weight=file.limits.cpu_share * file.limits.cores,
            store_address=file.platform.address,
            stop_s=file.bounds.stop_ms / 1000.0,
            far_factor=file.bounds.remote_slowdown,
            grace_s=file.bounds.grace_s,
            lease_least_s=file.platform.ttl_min_ms / 1000.0,
            link_bytes_per_s=(max(0.0, file.limits.link_mbps) or math.inf) * BYTES_PER_MBIT,
            memory_limit_bytes=file.limits.memory_mb * BYTES_PER_MB,
            descriptor_limit=file.limits.max_fds,
        )
    )


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    return bool(host) and port.isdigit() and 0 < int(port) < 65536
