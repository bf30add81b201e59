"""Network layer of a host: HTTP client and server, and sessions between hosts.

It uses asyncio protocols directly, in anyio's event loop; docs/decisions/lean-io.md has the figures
behind that.
"""

from ._http_client import HttpClient
from ._http_exchange import Exchange
from ._http_messages import HttpRequest, ServerLimits
from ._http_results import CallError, Response
from ._http_server import HttpServer
from ._peer_binding import PeerBinding
from ._sessions import SessionClient, SessionServer
from ._traffic import Traffic, TrafficByPurpose

__all__ = [
    "CallError",
    "Exchange",
    "HttpClient",
    "HttpRequest",
    "HttpServer",
    "PeerBinding",
    "Response",
    "ServerLimits",
    "SessionClient",
    "SessionServer",
    "Traffic",
    "TrafficByPurpose",
]
