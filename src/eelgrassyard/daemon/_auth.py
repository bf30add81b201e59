"""Authenticates callers: checks keys against the salted hashes in the configuration."""

from __future__ import annotations

import hashlib
import secrets
from collections import OrderedDict

from ..config import verify_key
from ..policy import CallerEntry, SiteConfig

MAX_KEY_BYTES = 256
MAX_CACHED_KEYS = 4_096
"""Presented keys, known and unknown, whose caller is cached; the oldest is evicted."""


class Authenticator:
    """Finds the caller of a key.

    Every caller has its own salt, so a key is hashed once for each caller. The result is cached
    under a keyed digest of the presented key; the keys themselves are not kept.
    """

    def __init__(self) -> None:
        self._digest_key = secrets.token_bytes(32)
        self._caller_by_digest: OrderedDict[bytes, str | None] = OrderedDict()
        self._config: SiteConfig | None = None

    def caller_of(self, config: SiteConfig, authorization: bytes) -> CallerEntry | None:
        """Return the caller, or None if the header is not ``Bearer`` with a known key.

        :param authorization: value of the ``Authorization`` header.
        """
        scheme, _, key = authorization.partition(b" ")
        if scheme.lower() != b"bearer" or not key or len(key) > MAX_KEY_BYTES:
            return None
        if config is not self._config:
            self._config = config
            self._caller_by_digest.clear()
        digest = hashlib.blake2b(key, key=self._digest_key, digest_size=32).digest()
        if digest in self._caller_by_digest:
            name = self._caller_by_digest[digest]
        else:
            name = self._find_caller_name(config, key)
            self._cache_name(digest, name)
        return None if name is None else config.callers_by_name[name]

    def _find_caller_name(self, config: SiteConfig, key: bytes) -> str | None:
        text = key.decode("utf-8", "surrogateescape")
        found = None
        # Compares all callers, so that the time taken does not reveal the position of a match.
        for caller in config.callers_by_name.values():
            if verify_key(text, caller.key_salt, caller.key_hash):
                found = caller.name
        return found

    def _cache_name(self, digest: bytes, name: str | None) -> None:
        self._caller_by_digest[digest] = name
        if len(self._caller_by_digest) > MAX_CACHED_KEYS:
            self._caller_by_digest.popitem(last=False)
