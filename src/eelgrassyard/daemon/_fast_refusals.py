"""Refuses submissions of overloaded flows without the HTTP library.

Under overload most requests are refused, and parsing with the HTTP library alone costs more than a
tenth of a served task. While flows are being refused, a complete request in a simple form is
therefore checked here; any other request goes through the HTTP library and gets the same answer.
"""

from __future__ import annotations

import re
from collections.abc import Callable

from ..policy import CallerEntry
from ._answers import HttpAnswer

REQUEST_LINE_PREFIX = b"PUT /v1/submissions/"
HEAD_END = b"\r\n\r\n"

_REQUEST_LINE = re.compile(
    rb"PUT /v1/submissions/([A-Za-z0-9._~:@=+-]{1,256})(?:\?wait=[0-9.]{1,9})? HTTP/1\.1"
)
_HEADER = re.compile(rb"([A-Za-z0-9-]+):[ \t]*([\x21-\x7e](?:[\x20-\x7e]*[\x21-\x7e])?)?[ \t]*")
_DIGITS = re.compile(rb"[0-9]{1,9}")

UNSUPPORTED_HEADERS = frozenset({b"transfer-encoding", b"expect", b"upgrade", b"trailer"})
"""Headers that change how a request is parsed; requests with one go to the HTTP library."""

PHRASE_BY_STATUS = {429: b"Too Many Requests", 503: b"Service Unavailable"}


class FastRefusals:
    """Finds complete requests to refuse and builds the answers.

    :param max_head_bytes: longest request line and headers that are checked here.
    :param caller_of: returns the caller for the value of the ``Authorization`` header.
    :param refuse: takes caller, id and body; returns the answer if the flow is refused.
    """

    def __init__(
        self,
        *,
        max_head_bytes: int,
        caller_of: Callable[[bytes], CallerEntry | None],
        refuse: Callable[[CallerEntry, str, bytes], HttpAnswer | None],
    ) -> None:
        self._max_head_bytes = max_head_bytes
        self._caller_of = caller_of
        self._refuse = refuse

    def refusal_for(self, data: bytes) -> bytes | None:
        """Return the bytes of a refusal, or None if the HTTP library has to handle the request.

        :param data: bytes received on an idle connection.
        """
        if not data.startswith(REQUEST_LINE_PREFIX):
            return None
        end = data.find(HEAD_END, 0, self._max_head_bytes)
        if end < 0:
            return None
        request_line, *lines = data[:end].split(b"\r\n")
        match = _REQUEST_LINE.fullmatch(request_line)
        headers = _read_headers(lines)
        if match is None or headers is None or b"host" not in headers:
            return None
        length = headers.get(b"content-length", b"")
        body = data[end + len(HEAD_END) :]
        if not _DIGITS.fullmatch(length) or int(length) != len(body):
            return None
        caller = self._caller_of(headers.get(b"authorization", b""))
        if caller is None:
            return None
        answer = self._refuse(caller, match.group(1).decode(), body)
        return None if answer is None else _render(answer)


def _read_headers(lines: list[bytes]) -> dict[bytes, bytes] | None:
    headers: dict[bytes, bytes] = {}
    for line in lines:
        match = _HEADER.fullmatch(line)
        if match is None:
            return None
        name = match.group(1).lower()
        value = match.group(2) or b""
        if name in headers or name in UNSUPPORTED_HEADERS:
            return None
        if name == b"connection" and value.lower() != b"keep-alive":
            return None
        headers[name] = value
    return headers


def _render(answer: HttpAnswer) -> bytes | None:
    phrase = PHRASE_BY_STATUS.get(answer.status)
    if phrase is None:
        return None
    lines = [
        b"HTTP/1.1 %d %s" % (answer.status, phrase),
        b"content-type: application/json",
        b"content-length: %d" % len(answer.body),
        *(name + b": " + value for name, value in answer.headers),
    ]
    return b"\r\n".join(lines) + HEAD_END + answer.body
