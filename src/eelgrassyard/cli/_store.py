"""Client of the platform's key-value service; limits the duration and number of calls."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from urllib.parse import quote

import httpx
from result import Err, Ok, Result

CALL_TIMEOUT_S = 5.0
MAX_CALLS = 30
"""Limit per command, because the service has one rate limit for the calls of all sites."""


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredValue:
    """A value with its revision."""

    value: bytes
    revision: int


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreCallError:
    """Failure of a call to the key-value service.

    :param may_have_written: the call was a write whose answer was lost, so it may have taken
        effect.
    """

    step: str
    peer: str
    message: str
    may_have_written: bool = False

    def __str__(self) -> str:
        return f"{self.step}: {self.peer}: {self.message}"


@dataclass(frozen=True, slots=True, kw_only=True)
class Conflict:
    """The compare-and-swap failed: the key has another revision than the one expected."""


class StoreClient:
    """Reads and writes keys; writes use compare-and-swap.

    :param url: base URL of the service.
    :param transport: HTTP transport to use instead of the network, for tests.
    :param max_calls: number of calls after which further ones fail without being sent.
    """

    def __init__(
        self,
        *,
        url: str,
        transport: httpx.AsyncBaseTransport | None = None,
        max_calls: int = MAX_CALLS,
    ) -> None:
        self.url = url
        self.calls_by_name: Counter[str] = Counter()
        self._max_calls = max_calls
        self._client = httpx.AsyncClient(
            base_url=url, timeout=CALL_TIMEOUT_S, transport=transport, trust_env=False
        )

    async def close(self) -> None:
        """Close the connections."""
        await self._client.aclose()

    async def read(self, key: str) -> Result[StoredValue | None, StoreCallError]:
        """Read a key; the result is None if it does not exist."""
        match await self._call("GET", key, None):
            case Err(error):
                return Err(error)
            case Ok(response):
                pass
        if response.status_code == 404:
            return Ok(None)
        if response.status_code != 200:
            return Err(self._error("GET", f"status {response.status_code}"))
        try:
            content = response.json()
            return Ok(
                StoredValue(value=content["value"].encode(), revision=int(content["revision"]))
            )
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            return Err(self._error("GET", f"malformed answer: {error!r}"))

    async def write(
        self, key: str, value: bytes, *, expect: int
    ) -> Result[int | Conflict, StoreCallError]:
        """Write if the key has the revision ``expect`` (0: must not exist).

        :returns: the new revision, or :class:`Conflict`.
        """
        body = {"value": value.decode(), "expect": expect}
        match await self._call("PUT", key, body):
            case Err(error):
                return Err(error)
            case Ok(response):
                pass
        if response.status_code == 409:
            return Ok(Conflict())
        if response.status_code != 200:
            # The service may fail after the write, so only a status below 500 rules it out.
            lost = response.status_code >= 500
            message = f"status {response.status_code}"
            return Err(self._error("PUT", message, may_have_written=lost))
        try:
            return Ok(int(response.json()["revision"]))
        except (ValueError, KeyError, TypeError) as error:
            message = f"malformed answer: {error!r}"
            return Err(self._error("PUT", message, may_have_written=True))

    async def _call(
        self, method: str, key: str, body: object
    ) -> Result[httpx.Response, StoreCallError]:
        if self.calls_by_name.total() >= self._max_calls:
            message = f"not called: the limit of {self._max_calls} calls is reached"
            return Err(self._error(method, message))
        self.calls_by_name[method] += 1
        path = f"/kv/{quote(key)}"
        try:
            return Ok(await self._client.request(method, path, json=body))
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            return Err(self._error(method, f"cannot connect: {error}"))
        except httpx.HTTPError as error:
            written = method == "PUT"
            message = f"answer lost: {error!r}"
            return Err(self._error(method, message, may_have_written=written))

    def _error(
        self, method: str, message: str, *, may_have_written: bool = False
    ) -> StoreCallError:
        return StoreCallError(
            step=f"store {method}",
            peer=self.url,
            message=message,
            may_have_written=may_have_written,
        )
