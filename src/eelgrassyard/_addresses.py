"""Addresses of other processes."""

from __future__ import annotations

import ipaddress

from result import Err, Ok, Result

MAX_ADDRESS_CHARS = 64
MAX_PORT = 65_535


def parse_address(text: str) -> Result[tuple[str, int], str]:
    """Split an address of the form ``IP:PORT``; the error is the reason if it has another form.

    Names are refused: the platform has no name lookups, and one would occupy a thread for seconds.
    """
    host, _, port = text[:MAX_ADDRESS_CHARS].rpartition(":")
    try:
        ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        return Err(f"{text[:MAX_ADDRESS_CHARS]!a} does not begin with an IP address")
    if not (port.isascii() and port.isdigit() and len(port) <= 5 and 0 < int(port) <= MAX_PORT):
        return Err(f"{text[:MAX_ADDRESS_CHARS]!a} does not end in a port")
    return Ok((host.removeprefix("[").removesuffix("]"), int(port)))
