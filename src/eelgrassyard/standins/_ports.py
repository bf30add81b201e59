"""Loopback ports that stay reserved until their process ends."""

import socket

_reserved_by_port: dict[int, socket.socket] = {}


def reserve_ports(count: int) -> list[int]:
    """Reserve unused ports of 127.0.0.1 for servers that start later, also in other processes.

    Each port stays bound by a socket that does not listen: the system assigns it to no other
    socket, and a server that sets ``SO_REUSEADDR`` can listen on it. Without a server connections
    are refused.

    :returns: ``count`` different ports.
    :raises OSError: if no port or descriptor is left.
    """
    ports = []
    for _ in range(count):
        reserved = socket.socket()
        try:
            reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            reserved.bind(("127.0.0.1", 0))
        except OSError:
            reserved.close()
            raise
        port = reserved.getsockname()[1]
        _reserved_by_port[port] = reserved
        ports.append(port)
    return ports
