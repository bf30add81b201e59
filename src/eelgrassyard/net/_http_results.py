"""Results of calls of the HTTP client."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field


class CallError(enum.StrEnum):
    """Reason for which a call has no complete response. Only ``REFUSED`` and ``OTHER_PEER`` ensure
    that the request was not sent."""

    REFUSED = "refused"
    """The connection was refused."""
    BROKEN = "broken"
    """The connection could not be opened for another reason, or was closed during the call, or the
    response was malformed."""
    SILENT = "silent"
    """The call timed out."""
    OTHER_PEER = "other_peer"
    """Another process than the one that the call is bound to has answered its introduction."""


@dataclass(slots=True, kw_only=True)
class Response:
    """A complete response.

    :param headers: values by name in lower case.
    :param peer: identity of the process on the connection, or None if it has not named itself.
    """

    status: int
    body: bytes
    headers: dict[str, str] = field(default_factory=dict)
    peer: int | None = None
