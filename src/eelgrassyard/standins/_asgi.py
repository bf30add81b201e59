"""Minimal ASGI framework for the stand-ins, with routes and JSON bodies."""

from __future__ import annotations

import json
import re
from collections.abc import Awaitable, Callable, Mapping, MutableMapping
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qsl

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]


@dataclass(frozen=True, slots=True, kw_only=True)
class StandInRequest:
    """An HTTP request to a stand-in, with its whole body.

    :param headers: values by name in lower case.
    :param groups: values of the named groups in the route's pattern.
    """

    headers: Mapping[str, str]
    groups: Mapping[str, str]
    query: Mapping[str, str]
    body: bytes

    def json(self) -> Any:
        """The body as JSON; None if it is empty.

        :raises ValueError: if the body is not JSON.
        """
        return json.loads(self.body) if self.body else None


@dataclass(frozen=True, slots=True, kw_only=True)
class StandInResponse:
    """An HTTP response; ``content`` is sent as a JSON body, and None as an empty one."""

    status: int = 200
    content: Any = None
    headers: Mapping[str, str] = field(default_factory=dict)


Handler = Callable[[StandInRequest], Awaitable[StandInResponse]]


class JsonApplication:
    """An ASGI application that serves the routes added by :meth:`route`.

    A handler that raises ``ValueError``, ``KeyError`` or ``TypeError`` is answered with status 400.
    """

    def __init__(self) -> None:
        self._routes: list[tuple[str, re.Pattern[str], Handler]] = []

    def route(self, method: str, pattern: str, handler: Handler) -> None:
        """Serve ``method`` on the paths that match the regular expression."""
        self._routes.append((method, re.compile(pattern), handler))

    async def respond(
        self, request_method: str, path: str, request: StandInRequest
    ) -> StandInResponse:
        """Run the handler of the first matching route; status 404 if there is none."""
        for method, pattern, handler in self._routes:
            match = pattern.fullmatch(path)
            if method == request_method and match:
                matched = StandInRequest(
                    headers=request.headers,
                    groups=match.groupdict(),
                    query=request.query,
                    body=request.body,
                )
                try:
                    return await handler(matched)
                except (ValueError, KeyError, TypeError) as error:
                    return StandInResponse(status=400, content={"error": repr(error)})
        return StandInResponse(status=404, content={"error": f"no {request_method} {path}"})

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] == "lifespan":
            await _run_lifespan(receive, send)
            return
        request = StandInRequest(
            headers={k.decode().lower(): v.decode() for k, v in scope["headers"]},
            groups={},
            query=dict(parse_qsl(scope["query_string"].decode())),
            body=await _read_body(receive),
        )
        response = await self.respond(scope["method"], scope["path"], request)
        body = b"" if response.content is None else json.dumps(response.content).encode()
        headers = [(k.lower().encode(), v.encode()) for k, v in response.headers.items()]
        headers.append((b"content-type", b"application/json"))
        headers.append((b"content-length", str(len(body)).encode()))
        await send({"type": "http.response.start", "status": response.status, "headers": headers})
        await send({"type": "http.response.body", "body": body})


async def _read_body(receive: Receive) -> bytes:
    chunks = []
    while True:
        message = await receive()
        chunks.append(message.get("body", b""))
        if message["type"] == "http.disconnect" or not message.get("more_body", False):
            return b"".join(chunks)


async def _run_lifespan(receive: Receive, send: Send) -> None:
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return
