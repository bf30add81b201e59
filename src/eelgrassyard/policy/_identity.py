"""Who a host is."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class HostIdentity:
    """Name and place of the own host; fixed for the life of the process.

    :param incarnation: start time in microseconds of the Unix epoch.
    :param id_key: secret key of the site for the codes in submission ids.
    """

    name: str
    address: str
    port: int
    failure_domain: str
    incarnation: int
    id_key: bytes
    region: str = ""
    weight: float = 1.0
