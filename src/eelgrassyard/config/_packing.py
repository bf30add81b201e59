"""Compact form of large documents.

Every host fetches every revision. At 1,400 workers and 1,700 changes a day, plain documents would
take 11.5 KB/s of each host's control traffic, above the 5 KB/s that control may use.
"""

from __future__ import annotations

import base64
import binascii
import zlib

from result import Err, Ok, Result

from ._errors import ConfigError
from ._model import DOCUMENT_BYTES

PACKED_PREFIX = b"zlib,"
"""No JSON text begins like this; the rest is base64, because the store keeps text."""

PACKED_FROM_BYTES = 65_536
"""Smaller documents stay readable in the store."""

UNPACKED_BYTES = 8_000_000


def pack_document(document: bytes) -> bytes:
    """Return the form of a document that is stored and sent."""
    if len(document) < PACKED_FROM_BYTES:
        return document
    return PACKED_PREFIX + base64.b64encode(zlib.compress(document, 9))


def unpack_document(stored: bytes) -> Result[bytes, ConfigError]:
    """Return the JSON text of a document in either form, within the bounds of size."""
    if len(stored) > DOCUMENT_BYTES:
        message = f"{len(stored)} bytes; at most {DOCUMENT_BYTES} are allowed"
        return Err(ConfigError(message=message))
    if not stored.startswith(PACKED_PREFIX):
        return Ok(stored)
    try:
        packed = base64.b64decode(stored.removeprefix(PACKED_PREFIX), validate=True)
        inflater = zlib.decompressobj()
        document = inflater.decompress(packed, UNPACKED_BYTES)
    except (binascii.Error, zlib.error) as error:
        return Err(ConfigError(message=f"not a packed document: {error}"))
    if not inflater.eof or inflater.unused_data:
        message = f"the packed document is cut off, or above {UNPACKED_BYTES} bytes"
        return Err(ConfigError(message=message))
    return Ok(document)
