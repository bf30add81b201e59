"""Settings of a host, read from a JSON5 file.

An error message names the file, the key, the value and the allowed values; secrets are hidden.
"""

from __future__ import annotations

import ipaddress
import pathlib
from dataclasses import dataclass
from typing import Annotated, Any, Literal
from urllib.parse import urlsplit

import json5
import result
from pydantic import AfterValidator, BaseModel, ConfigDict, Field, ValidationError

MAX_SETTINGS_BYTES = 100_000
SECRET_KEYS = frozenset({"id_key"})
"""Keys whose values never appear in an error message."""

MAX_SHOWN_VALUE_CHARS = 80


def _check_ip(value: str) -> str:
    try:
        ipaddress.ip_address(value)
    except ValueError:
        raise ValueError("must be an IP address such as 10.0.0.1") from None
    return value


def _check_url(value: str) -> str:
    parts = urlsplit(value)
    allowed = "must be http://IP:PORT or https://IP:PORT without a path"
    try:
        ipaddress.ip_address(parts.hostname or "")
        port = parts.port
    except ValueError:
        raise ValueError(allowed) from None
    if parts.scheme not in ("http", "https") or port is None or parts.path or parts.query:
        raise ValueError(allowed)
    return value


Name = Annotated[str, Field(pattern=r"^[a-z0-9](?:[a-z0-9._-]{0,62}[a-z0-9])?$")]
Ip = Annotated[str, AfterValidator(_check_ip)]
Url = Annotated[str, AfterValidator(_check_url)]
Port = Annotated[int, Field(ge=0, le=65535)]
"""With port 0 the operating system chooses a free port; useful for tests only."""

Seconds = Annotated[float, Field(gt=0, le=3600)]


class _Strict(BaseModel):
    model_config = ConfigDict(extra="forbid", strict=True, allow_inf_nan=False, frozen=True)


class TlsSettings(_Strict):
    """Paths of files in PEM format.

    :param authorities: certificate authorities for client certificates; without them no client
        certificate is requested.
    """

    certificate: str
    key: str
    authorities: str | None = None


class PeerTlsSettings(_Strict):
    """Mutual TLS between hosts; a certificate has the host name as common name or DNS name."""

    certificate: str
    key: str
    authorities: str


class HttpSettings(_Strict):
    """Listener for callers and operators."""

    address: Ip
    port: Port
    tls: TlsSettings | None = None


class PeerSettings(_Strict):
    """Listener for other hosts."""

    address: Ip
    port: Port
    tls: PeerTlsSettings | None = None


class StoreSettings(_Strict):
    """The key-value store of the platform and the key of the site configuration.

    :param watch_s: longest duration of a long poll.
    """

    url: Url
    key: Annotated[str, Field(pattern=r"^[A-Za-z0-9._/-]{1,200}$")]
    watch_s: Annotated[float, Field(ge=1, le=60)] = 30.0


class HostListSettings(_Strict):
    """The host list of the platform.

    :param poll_s: mean interval of polls.
    """

    url: Url
    poll_s: Annotated[float, Field(ge=0.1, le=60)] = 1.0


class StatsdSettings(_Strict):
    """Address of the statsd server, which gets metrics over UDP."""

    address: Ip
    port: Annotated[int, Field(ge=1, le=65535)]
    prefix: Annotated[str, Field(pattern=r"^[A-Za-z0-9._-]{1,100}$")] = "eelgrassyard"


class LimitSettings(_Strict):
    """Limits of the host; times in seconds, sizes in bytes.

    :param request_s: time limit for a client to send a request.
    :param keep_alive_s: time after which a connection without a request is closed.
    :param connection_share: largest share of the connections on which one caller may have calls.
    :param idle_connections: number of idle connections kept open to each upstream.
    :param idle_s: time for which they are kept; must be shorter than the keep-alive time of the
        upstream.
    """

    connections: Annotated[int, Field(ge=4, le=100_000)] = 512
    connection_share: Annotated[float, Field(gt=0, le=1)] = 0.5
    request_s: Seconds = 10.0
    keep_alive_s: Seconds = 75.0
    header_bytes: Annotated[int, Field(ge=1_000, le=1_000_000)] = 16_384
    connect_s: Seconds = 2.0
    answer_bytes: Annotated[int, Field(ge=1_000, le=100_000_000)] = 2_000_000
    idle_connections: Annotated[int, Field(ge=0, le=1_000)] = 4
    idle_s: Seconds = 2.0
    peer_queue_messages: Annotated[int, Field(ge=10, le=1_000_000)] = 10_000
    peer_connections: Annotated[int, Field(ge=1, le=100_000)] = 256
    drain_s: Seconds = 120.0


class Settings(_Strict):
    """All settings of a host."""

    name: Name
    failure_domain: Name
    region: Name | Literal[""] = ""
    weight: Annotated[float, Field(gt=0, le=1000)] = 1.0
    id_key: Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]
    http: HttpSettings
    peer: PeerSettings
    store: StoreSettings
    host_list: HostListSettings
    statsd: StatsdSettings | None = None
    log_level: Literal["debug", "info", "warning", "error"] = "info"
    usage_poll_s: Seconds = 2.0
    limits: LimitSettings = LimitSettings()


@dataclass(frozen=True, slots=True, kw_only=True)
class SettingsError:
    """Why settings were refused.

    :param peer: path of the settings file.
    """

    message: str
    peer: str
    step: str = "settings"

    def __str__(self) -> str:
        return f"{self.peer}: {self.message}"


def read_settings(path: str) -> result.Result[Settings, SettingsError]:
    """Read and validate a settings file."""
    try:
        content = pathlib.Path(path).read_bytes()
    except OSError as error:
        return _settings_error(path, f"cannot be read: {error.strerror}")
    if len(content) > MAX_SETTINGS_BYTES:
        return _settings_error(
            path, f"{len(content)} bytes exceed the limit of {MAX_SETTINGS_BYTES} bytes"
        )
    return parse_settings(content, path)


def parse_settings(content: bytes, path: str) -> result.Result[Settings, SettingsError]:
    """Validate the content of a settings file.

    :param path: path of the file for error messages.
    """
    try:
        values = json5.loads(content.decode(), allow_duplicate_keys=False)
    except (ValueError, RecursionError) as error:
        return _settings_error(path, f"not JSON with comments: {_one_line(str(error))}")
    if not isinstance(values, dict):
        return _settings_error(path, "must be a JSON object of settings")
    try:
        return result.Ok(Settings.model_validate(values))
    except ValidationError as error:
        problems = [_describe(problem) for problem in error.errors(include_url=False)]
        return _settings_error(path, "; ".join(problems))


def _settings_error(path: str, message: str) -> result.Err[SettingsError]:
    return result.Err(SettingsError(peer=path, message=message))


def _describe(problem: Any) -> str:
    key = ".".join(str(part) for part in problem["loc"])
    if problem["type"] == "missing":
        return f"{key}: is missing"
    if problem["type"] == "extra_forbidden":
        return f"{key}: is not a known setting"
    allowed = problem["msg"].removeprefix("Value error, ")
    return f"{key}: {_format_value(key, problem['input'])}: {_one_line(allowed)}"


def _format_value(key: str, value: Any) -> str:
    if key in SECRET_KEYS:
        return "(value hidden)"
    text = repr(value)
    return text if len(text) <= MAX_SHOWN_VALUE_CHARS else text[:MAX_SHOWN_VALUE_CHARS] + "..."


def _one_line(text: str) -> str:
    return " ".join(text.split())
