"""Connections of a host: HTTP in both directions, and sessions between hosts.

Built on asyncio protocols inside anyio's loop; docs/decisions/lean-io.md has the figures.
"""

from ._http_client import CallError, HttpClient, Response
from ._http_server import Exchange, HttpRequest, HttpServer, ServerLimits
from ._sessions import SessionClient, SessionServer

__all__ = [
    "CallError",
    "Exchange",
    "HttpClient",
    "HttpRequest",
    "HttpServer",
    "Response",
    "ServerLimits",
    "SessionClient",
    "SessionServer",
]
