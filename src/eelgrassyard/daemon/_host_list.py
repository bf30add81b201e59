"""The entries of the platform's host list."""

from __future__ import annotations

from typing import Annotated, Any, Literal, Self
from urllib.parse import urlsplit

from pydantic import (
    BaseModel,
    ConfigDict,
    Field,
    TypeAdapter,
    ValidationError,
    model_validator,
)

from ..policy import (
    HostEntry,
    HostListRead,
    ListedHost,
    ListedUpstream,
    UpstreamEntry,
    UpstreamRole,
)
from ._json import read_json
from ._logs import log_change
from ._metrics import Metrics

Text = Annotated[str, Field(min_length=1, max_length=255, pattern=r"^[^\x00-\x20\x7f]+$")]
Port = Annotated[int, Field(ge=1, le=65_535)]


class _Entry(BaseModel):
    model_config = ConfigDict(coerce_numbers_to_str=True, allow_inf_nan=False)

    name: Text
    state: str
    failure_domain: Annotated[str, Field(max_length=255)]


class _Host(_Entry):
    role: Literal["entry"]
    address: Text
    port: Port
    region: Annotated[str, Field(max_length=255)] = ""
    weight: Annotated[float, Field(gt=0, le=1_000_000)] = 1.0

    def listed(self) -> ListedHost:
        """The entry as the core knows it."""
        host = HostEntry(
            name=self.name,
            address=self.address,
            port=self.port,
            failure_domain=self.failure_domain,
            region=self.region,
            weight=self.weight,
        )
        return ListedHost(host=host, leaving=self.state == "leaving")


class _Upstream(_Entry):
    role: Literal[UpstreamRole.RUNNER, UpstreamRole.WORKER]
    url: Annotated[str, Field(max_length=2_000)] = ""
    address: Text | None = None
    port: Port | None = None
    rack: Annotated[str, Field(max_length=255)] = ""
    service: Annotated[str, Field(max_length=255)] = ""
    slots: Annotated[int, Field(ge=0, le=1_000_000)] = 0
    connections: Annotated[int, Field(ge=0, le=1_000_000)] = 60
    cores: Annotated[float, Field(ge=0, le=1_000_000)] = 0.0
    memory_mb: Annotated[int, Field(ge=0, le=10**12)] = 0
    accelerators: Annotated[int, Field(ge=0, le=1_000_000)] = 0

    @model_validator(mode="after")
    def _set_url(self) -> Self:
        """Check the base URL, or make one from the address and the port.

        :raises ValueError: if there is neither a usable URL nor an address with a port.
        """
        if not self.url:
            if self.address is None or self.port is None:
                raise ValueError("neither a URL nor an address with a port")
            self.url = f"http://{self.address}:{self.port}"
        parts = urlsplit(self.url)
        if parts.scheme not in ("http", "https") or not parts.hostname or parts.port == 0:
            raise ValueError(f"{self.url!r} is not the URL of an upstream")
        return self

    def listed(self) -> ListedUpstream:
        """The entry as the core knows it."""
        upstream = UpstreamEntry(
            name=self.name,
            role=UpstreamRole(self.role),
            url=self.url,
            failure_domain=self.failure_domain,
            rack=self.rack,
            service=self.service,
            slots=self.slots,
            connections=self.connections,
            cores=self.cores,
            memory_mb=self.memory_mb,
            accelerators=self.accelerators,
        )
        return ListedUpstream(upstream=upstream, leaving=self.state == "leaving")


_entry_adapter: TypeAdapter[_Host | _Upstream] = TypeAdapter(
    Annotated[_Host | _Upstream, Field(discriminator="role")]
)


def parse_host_list(body: bytes, metrics: Metrics) -> HostListRead | None:
    """Parse the host list; an invalid entry is counted and skipped, an invalid list gives None."""
    document = read_json(body).unwrap_or(None)
    items = document.get("hosts") if isinstance(document, dict) else None
    if not isinstance(items, list):
        metrics.count("host_list.bad_answer")
        return None
    hosts: list[ListedHost] = []
    upstreams: list[ListedUpstream] = []
    for item in items:
        try:
            listed = _entry_adapter.validate_python(item).listed()
        except ValidationError as error:
            metrics.count("host_list.bad_entry")
            log_change("host_list", f"entry ignored: {_reason(error)}", peer=_name(item))
            continue
        match listed:
            case ListedHost():
                hosts.append(listed)
            case ListedUpstream():
                upstreams.append(listed)
    return HostListRead(hosts=tuple(hosts), upstreams=tuple(upstreams))


def _reason(error: ValidationError) -> str:
    first = error.errors(include_url=False, include_context=False, include_input=False)[0]
    place = ".".join(str(part) for part in first["loc"])
    return f"{place}: {first['msg']}"[:200]


def _name(item: Any) -> str:
    name = item.get("name") if isinstance(item, dict) else None
    return repr(name)[:100]
