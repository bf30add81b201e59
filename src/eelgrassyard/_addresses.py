"""Addresses of other processes, checked before they are used."""

from __future__ import annotations

import ipaddress

from result import Err, Ok, Result

MAX_ADDRESS_CHARS = 64
MAX_PORT = 65_535


def parse_address(text: str) -> Result[tuple[str, int], str]:
    """Split an address of the form ``HOST:PORT``; the error is the reason if it has another form.

    The host must be an IPv4 address: a name would be looked up in a thread at each connection,
    which may hang for as long as the resolver takes.
    """
    shown = text[:MAX_ADDRESS_CHARS]
    host, _, port = text.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return Err(f"{shown!a} does not begin with an IPv4 address")
    if not (port.isascii() and port.isdigit() and len(port) <= 5 and 0 < int(port) <= MAX_PORT):
        return Err(f"{shown!a} does not end in a port")
    return Ok((host, int(port)))
