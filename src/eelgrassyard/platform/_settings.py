"""The settings file that the platform writes for each process."""

from __future__ import annotations

import math
import time
import tomllib
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import msgspec
from result import Err, Ok, Result

from .._addresses import parse_address

BYTES_PER_MBIT = 125_000
BYTES_PER_MB = 1_048_576

MAX_FILE_BYTES = 1_000_000
"""Size of the largest file that is read; the platform's are a few kilobytes."""

MAX_LIMIT = 2**40
"""Largest limit of memory in MB, or of descriptors."""

DEFAULT_DESCRIPTORS = 1024
"""Limit of descriptors if the file names none, as usual for a process."""

SETTINGS_WAIT_S = 3.0
"""Time for which the start waits for usable settings. The platform writes the file at each start
and whenever the settings change, so it may be read while it is incomplete."""

SETTINGS_RETRY_INTERVAL_S = 0.05
"""Interval at which an unusable file is read again."""

MAX_NAME_BYTES = 128
"""Length of the longest host or domain name. Both are parts of keys, which have 200 bytes."""

MAX_REASON_LENGTH = 300
"""Length at which the reason for a refusal is cut off; it may quote the file."""

_Time = Annotated[float, msgspec.Meta(ge=0.0, le=86_400_000.0)]
_Factor = Annotated[float, msgspec.Meta(ge=0.0, le=1e6)]
_Share = Annotated[float, msgspec.Meta(gt=0.0, le=1e6)]


class _Listen(msgspec.Struct):
    front: str = ""
    ready: str = ""
    control: str = ""
    # Not set by the platform: address to listen on if `control` is the address of a port mapping.
    control_bind: str = ""


class _Limits(msgspec.Struct):
    cpu_share: _Share = 1.0
    cores: _Share = 1.0
    link_mbps: float = 0.0
    # Nothing that must start depends on these, so odd ones don't make the file unusable.
    memory_mb: Any = 0
    max_fds: Any = DEFAULT_DESCRIPTORS


class _Bounds(msgspec.Struct):
    stop_ms: _Time = 50.0
    remote_slowdown: _Factor = 1.5
    grace_s: _Time = 6.0


class _Platform(msgspec.Struct):
    address: str
    ttl_min_ms: _Time = 1000.0


class _SettingsFile(msgspec.Struct):
    node: str
    zone: str
    listen: _Listen
    platform: _Platform
    # Seeds are hints, so odd ones are dropped and don't make the file unusable.
    seeds: Any = None
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

    def dump(self) -> dict[str, object]:
        """Return the fields of a log line."""
        return {"step": self.step, "peer": self.peer, "reason": self.reason}


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
    descriptor_limit: int = DEFAULT_DESCRIPTORS


def load_toml(path: str) -> Result[dict[str, Any], str]:
    """Read a TOML file; any failure is returned as its reason, whatever the file contains."""
    try:
        with Path(path).open("rb") as file:
            content = file.read(MAX_FILE_BYTES + 1)
        if len(content) > MAX_FILE_BYTES:
            return Err(f"larger than {MAX_FILE_BYTES} bytes")
        return Ok(tomllib.loads(content.decode("utf-8")))
    except (OSError, ValueError) as error:
        return Err(str(error)[:MAX_REASON_LENGTH])
    except Exception as error:
        # The parser recurses, and doesn't say which errors it raises for invalid documents.
        return Err(f"{type(error).__name__}: {error}"[:MAX_REASON_LENGTH])


def read_settings(path: str) -> Result[HostSettings, HostSettingsError]:
    """Read and validate a settings file; seeds that are not addresses are dropped.

    :returns: the settings, or why the file cannot be used; no content of the file raises an error.
    """
    loaded = load_toml(path)
    if loaded.is_err():
        return Err(HostSettingsError(step="read", peer=path, reason=loaded.unwrap_err()))
    try:
        file = msgspec.convert(loaded.unwrap(), _SettingsFile)
    except Exception as error:
        reason = str(error) if isinstance(error, msgspec.ValidationError) else repr(error)
        return Err(HostSettingsError(step="check", peer=path, reason=reason[:MAX_REASON_LENGTH]))
    reason = _invalid_value(file)
    if reason:
        return Err(HostSettingsError(step="check", peer=path, reason=reason[:MAX_REASON_LENGTH]))
    seeds = file.seeds if isinstance(file.seeds, list) else []
    return Ok(
        HostSettings(
            name=file.node,
            domain=file.zone,
            front_address=file.listen.front,
            ready_address=file.listen.ready,
            peer_address=file.listen.control,
            peer_bind_address=file.listen.control_bind or file.listen.control,
            seeds=tuple(
                seed for seed in seeds if isinstance(seed, str) and parse_address(seed).is_ok()
            ),
            weight=file.limits.cpu_share * file.limits.cores,
            store_address=file.platform.address,
            stop_s=file.bounds.stop_ms / 1000.0,
            far_factor=file.bounds.remote_slowdown,
            grace_s=file.bounds.grace_s,
            lease_least_s=file.platform.ttl_min_ms / 1000.0,
            link_bytes_per_s=(max(0.0, file.limits.link_mbps) or math.inf) * BYTES_PER_MBIT,
            memory_limit_bytes=_limit(file.limits.memory_mb, default=0) * BYTES_PER_MB,
            descriptor_limit=_limit(file.limits.max_fds, default=DEFAULT_DESCRIPTORS),
        )
    )


def await_settings(
    path: str, *, on_unusable: Callable[[HostSettingsError], object]
) -> Result[HostSettings, HostSettingsError]:
    """Read a settings file, and wait for a while if it cannot be used.

    :param on_unusable: called with each reason that differs from the one before.
    """
    give_up_at = time.monotonic() + SETTINGS_WAIT_S
    reported: HostSettingsError | None = None
    while True:
        result = read_settings(path)
        if result.is_ok() or time.monotonic() >= give_up_at:
            return result
        if result.unwrap_err() != reported:
            reported = result.unwrap_err()
            on_unusable(reported)
        time.sleep(SETTINGS_RETRY_INTERVAL_S)


def _invalid_value(file: _SettingsFile) -> str:
    """Return what is wrong with a name or an address, or nothing."""
    for name, text in (("node", file.node), ("zone", file.zone)):
        if not (text.isprintable() and 0 < len(text.encode()) <= MAX_NAME_BYTES):
            return f"{name}: {text!r} is not a name of 1 to {MAX_NAME_BYTES} printable bytes"
    for name, address in (
        ("front", file.listen.front),
        ("ready", file.listen.ready),
        ("control", file.listen.control),
        ("control_bind", file.listen.control_bind or file.listen.control),
        ("platform", file.platform.address),
    ):
        if parse_address(address).is_err():
            return f"{name}: {address!r} is not an address of the form IP:PORT"
    return ""


def _limit(value: object, *, default: int) -> int:
    return value if isinstance(value, int) and 0 <= value <= MAX_LIMIT else default
