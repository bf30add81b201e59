"""Identity of a host process."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class HostIdentity:
    """Name, address and failure domain of the own host, fixed for the lifetime of the process.

    :param incarnation: start time in microseconds of the Unix epoch.
    :param id_key: secret key of the site for the MACs of submission ids.
    """

    name: str
    address: str
    port: int
    failure_domain: str
    incarnation: int
    id_key: bytes
    region: str = ""
    weight: float = 1.0
