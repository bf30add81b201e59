"""Questionnaire, generation of the site configuration, and the configuration document."""

from ._document import (
    Document,
    Origin,
    config_values,
    new_change_id,
    parse_document,
    read_document,
    render_document,
)
from ._errors import ConfigError
from ._keys import hash_key, new_key, new_salt, verify_key
from ._model import DOCUMENT_BYTES

__all__ = [
    "DOCUMENT_BYTES",
    "ConfigError",
    "Document",
    "Origin",
    "config_values",
    "hash_key",
    "new_change_id",
    "new_key",
    "new_salt",
    "parse_document",
    "read_document",
    "render_document",
    "verify_key",
]
