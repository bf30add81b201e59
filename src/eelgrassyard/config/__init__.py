"""Questionnaire, generation of the site configuration, and the configuration document."""

from ._demo import SITES, DemoHost, demo_questionnaire
from ._diff import Change, diff_configs
from ._document import (
    CONFIG_KEY,
    Document,
    config_values,
    follow,
    new_change_id,
    parse_document,
    read_document,
    render_document,
)
from ._errors import ConfigError
from ._explain import Explained, explain
from ._generate import Generated, generate
from ._keys import hash_key, new_key, new_salt, verify_key
from ._model import DOCUMENT_BYTES
from ._notes import find_notes
from ._origins import Origin
from ._packing import pack_document, unpack_document
from ._questionnaire import AnswerError, Questionnaire, load_questionnaire, parse_questionnaire

__all__ = [
    "CONFIG_KEY",
    "DOCUMENT_BYTES",
    "SITES",
    "AnswerError",
    "Change",
    "ConfigError",
    "DemoHost",
    "Document",
    "Explained",
    "Generated",
    "Origin",
    "Questionnaire",
    "config_values",
    "demo_questionnaire",
    "diff_configs",
    "explain",
    "find_notes",
    "follow",
    "generate",
    "hash_key",
    "load_questionnaire",
    "new_change_id",
    "new_key",
    "new_salt",
    "pack_document",
    "parse_document",
    "parse_questionnaire",
    "read_document",
    "render_document",
    "unpack_document",
    "verify_key",
]
