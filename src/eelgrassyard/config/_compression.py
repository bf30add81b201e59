"""Compression of large configuration documents.

Every host fetches every revision. With 1,400 workers and 1,700 changes a day, uncompressed
documents would use 11.5 KB/s per host, above the budget of 5 KB/s for control traffic.
"""

from __future__ import annotations

import base64
import binascii
import zlib

from result import Err, Ok, Result

from ._errors import ConfigError
from ._model import MAX_DOCUMENT_BYTES

COMPRESSED_PREFIX = b"zlib,"
"""Marks a compressed document, since no JSON text begins like this. The rest is base64, because the
store holds text."""

COMPRESSION_THRESHOLD_BYTES = 65_536
"""Smaller documents are not compressed, so that they stay readable in the store."""

MAX_UNCOMPRESSED_BYTES = 8_000_000
"""Limit on the size of a decompressed document, against decompression bombs."""


def compress_document(document: bytes) -> bytes:
    """Return the stored form of a document, compressed if it is large."""
    if len(document) < COMPRESSION_THRESHOLD_BYTES:
        return document
    return COMPRESSED_PREFIX + base64.b64encode(zlib.compress(document, 9))


def decompress_document(stored: bytes) -> Result[bytes, ConfigError]:
    """Return the JSON text of a stored document; exceeding a size limit is an error."""
    if len(stored) > MAX_DOCUMENT_BYTES:
        message = f"{len(stored)} bytes; at most {MAX_DOCUMENT_BYTES} are allowed"
        return Err(ConfigError(message=message))
    if not stored.startswith(COMPRESSED_PREFIX):
        return Ok(stored)
    try:
        compressed = base64.b64decode(stored.removeprefix(COMPRESSED_PREFIX), validate=True)
        inflater = zlib.decompressobj()
        document = inflater.decompress(compressed, MAX_UNCOMPRESSED_BYTES)
    except (binascii.Error, zlib.error) as error:
        return Err(ConfigError(message=f"not a valid compressed document: {error}"))
    if not inflater.eof or inflater.unused_data:
        message = f"compressed document is damaged, or above {MAX_UNCOMPRESSED_BYTES} bytes"
        return Err(ConfigError(message=message))
    return Ok(document)
