"""API keys of callers and operators.

A key is 32 random bytes, so its hash needs a salt but no work factor.
"""

from __future__ import annotations

import hashlib
import hmac
import secrets

KEY_BYTES = 32
SALT_BYTES = 16
KEY_HASH_PERSONALIZATION = b"eelgrassyard-key"
"""BLAKE2 personalization, which separates these hashes from those of other uses."""


def new_key() -> str:
    """Return a new random key as URL-safe text, the form used in the ``Authorization`` header."""
    return secrets.token_urlsafe(KEY_BYTES)


def new_salt() -> str:
    """Return a new random salt in hexadecimal."""
    return secrets.token_hex(SALT_BYTES)


def hash_key(key: str, salt: str) -> str:
    """Return the hexadecimal salted hash of a key.

    :param salt: hexadecimal, 1 to 16 bytes.
    :raises ValueError: if the salt is not hexadecimal or is too long.
    """
    digest = hashlib.blake2b(
        key.encode("utf-8", "surrogateescape"),
        digest_size=KEY_BYTES,
        salt=bytes.fromhex(salt),
        person=KEY_HASH_PERSONALIZATION,
    )
    return digest.hexdigest()


def verify_key(key: str, salt: str, key_hash: str) -> bool:
    """Return whether a key matches a hash, with a constant-time comparison.

    An empty or malformed salt or hash matches no key.
    """
    try:
        found = hash_key(key, salt)
    except ValueError:
        return False
    return bool(salt) and hmac.compare_digest(found.encode(), key_hash.encode())
