"""The questionnaire, the configuration generated from it, and the configuration document."""

from ._compression import compress_document, decompress_document
from ._demo import SITES, DemoHost, demo_questionnaire
from ._diff import Change, diff_configs
from ._document import (
    CONFIG_KEY,
    Document,
    config_values,
    new_change_id,
    parse_document,
    read_document,
    render_document,
    render_successor,
)
from ._errors import ConfigError
from ._explain import ExplainedValue, explain
from ._generate import GeneratedConfig, generate
from ._keys import hash_key, new_key, new_salt, verify_key
from ._model import MAX_DOCUMENT_BYTES
from ._origins import Origin
from ._questionnaire import AnswerError, Questionnaire, load_questionnaire, parse_questionnaire
from ._warnings import find_warnings

__all__ = [
    "CONFIG_KEY",
    "MAX_DOCUMENT_BYTES",
    "SITES",
    "AnswerError",
    "Change",
    "ConfigError",
    "DemoHost",
    "Document",
    "ExplainedValue",
    "GeneratedConfig",
    "Origin",
    "Questionnaire",
    "compress_document",
    "config_values",
    "decompress_document",
    "demo_questionnaire",
    "diff_configs",
    "explain",
    "find_warnings",
    "generate",
    "hash_key",
    "load_questionnaire",
    "new_change_id",
    "new_key",
    "new_salt",
    "parse_document",
    "parse_questionnaire",
    "read_document",
    "render_document",
    "render_successor",
    "verify_key",
]
