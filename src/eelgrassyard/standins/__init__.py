"""Small stand-ins for the platform's services and for upstreams, for tests, demo and benchmarks.

Each is an ASGI application; ``python -m eelgrassyard.standins`` serves a list of them.
"""

from ._hostlist import HostListStandIn
from ._keyvalue import KeyValueStandIn
from ._ports import reserve_ports
from ._runner import RunnerStandIn
from ._work import digest
from ._worker import WorkerStandIn

__all__ = [
    "HostListStandIn",
    "KeyValueStandIn",
    "RunnerStandIn",
    "WorkerStandIn",
    "digest",
    "reserve_ports",
]
