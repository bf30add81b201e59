"""Parsing, validation and deterministic rendering of the configuration document."""

from __future__ import annotations

import json
import secrets
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from pydantic import ValidationError
from result import Err, Ok, Result

from ..policy import (
    CallerEntry,
    HostEntry,
    KindEntry,
    Limits,
    Scope,
    SiteConfig,
    TeamEntry,
    UpstreamEntry,
    UpstreamRole,
    Urgency,
)
from ._compression import compress_document, decompress_document
from ._consistency import find_inconsistencies
from ._errors import ConfigError
from ._model import FORMAT, HISTORY_LENGTH, DocumentModel, SiteModel
from ._origins import Origin, decode_origins, encode_origins, flatten

CHANGE_ID_BYTES = 16
"""Random bytes of a change id, which is written in hexadecimal."""

CONFIG_KEY = "eelgrassyard/config"
"""Key of the document in the platform's key-value service."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Document:
    """A configuration with its metadata.

    :param change_id: random id by which a writer recognizes its own write.
    :param questionnaire: name of the file that the configuration was generated from.
    :param history: change ids of the documents before this one in the store, newest first.
    :param origins_by_key: origin by key of the value, such as ``kinds.rule-layout.share``.
    """

    change_id: str
    author: str
    config: SiteConfig
    questionnaire: str = ""
    history: tuple[str, ...] = ()
    origins_by_key: Mapping[str, Origin] = field(default_factory=dict)


def new_change_id() -> str:
    """Return a random change id."""
    return secrets.token_hex(CHANGE_ID_BYTES)


def parse_document(document: bytes) -> Result[SiteConfig, ConfigError]:
    """Validate a stored document, plain or compressed, and return its configuration.

    Unknown and duplicate keys, out-of-range values and unresolved references are errors.
    """
    return read_document(document).map(lambda read: read.config)


def read_document(document: bytes) -> Result[Document, ConfigError]:
    """Validate a stored document, plain or compressed, and return it with its metadata."""
    match decompress_document(document):
        case Err(error):
            return Err(error)
        case Ok(text):
            return _parse_text(text)


def _parse_text(document: bytes) -> Result[Document, ConfigError]:
    try:
        json.loads(document, object_pairs_hook=_reject_duplicate_keys)
        model = DocumentModel.model_validate_json(document)
    except ValidationError as error:
        return Err(_to_config_error(error))
    except (ValueError, RecursionError) as error:
        return Err(ConfigError(message=f"not a JSON document: {error}"))
    for inconsistency in find_inconsistencies(model.config):
        return Err(ConfigError(key=f"config.{inconsistency.key}", message=inconsistency.message))
    try:
        origins_by_key = decode_origins(model.answers, model.origins)
    except ValueError as error:
        return Err(ConfigError(message=str(error)))
    return Ok(
        Document(
            change_id=model.change_id,
            author=model.author,
            questionnaire=model.questionnaire,
            history=model.history,
            config=_from_model(model.config),
            origins_by_key=origins_by_key,
        )
    )


def render_document(
    config: SiteConfig,
    *,
    author: str,
    origins_by_key: Mapping[str, Origin] | None = None,
    change_id: str | None = None,
    questionnaire: str = "",
    history: Sequence[str] = (),
) -> bytes:
    """Render a configuration as a document.

    The order depends only on the content, so the same content and change id give the same bytes.

    :param change_id: 32 hexadecimal digits; random if left out.
    :param questionnaire: name of the file that the configuration was generated from.
    :param history: change ids of the documents before this one, newest first.
    """
    site = to_model(config)
    answers, origins = encode_origins(site, origins_by_key or {})
    body = {
        "format": FORMAT,
        "change_id": change_id or new_change_id(),
        "author": author,
        "questionnaire": questionnaire,
        "history": list(history[:HISTORY_LENGTH]),
        "config": site.model_dump(mode="json", exclude_defaults=True),
        "answers": answers,
        "origins": origins,
    }
    return _render_json(body).encode()


def render_successor(document: Document, base: Document | None) -> bytes:
    """Render a document as the successor of the one in the store.

    :param base: document in the store; its change id and history become the history.
    :returns: the document, compressed if it is large.
    """
    text = render_document(
        document.config,
        author=document.author,
        origins_by_key=document.origins_by_key,
        change_id=document.change_id,
        questionnaire=document.questionnaire,
        history=(base.change_id, *base.history) if base else (),
    )
    return compress_document(text)


def config_values(config: SiteConfig) -> dict[str, object]:
    """Return the values of a configuration by key, such as ``kinds.rule-layout.share``."""
    return flatten(to_model(config))


def _render_json(body: Mapping[str, object]) -> str:
    """Render one entity or answer per line, so that line-based diffs of documents are useful."""
    parts = [f"{json.dumps(key)}:{_render_section(value, key)}" for key, value in body.items()]
    return "{" + ",\n".join(parts) + "}\n"


def _render_section(value: object, key: str) -> str:
    if key == "answers" and isinstance(value, list):
        return "[" + ",\n".join(_render_compact(item) for item in value) + "]"
    if not isinstance(value, Mapping) or key == "limits":
        return _render_compact(value)
    if key == "config":
        lines = [
            f"{json.dumps(name)}:{_render_section(item, name)}" for name, item in value.items()
        ]
    else:
        lines = [f"{json.dumps(name)}:{_render_compact(item)}" for name, item in value.items()]
    return "{\n" + ",\n".join(lines) + "}"


def _render_compact(value: object) -> str:
    return json.dumps(value, separators=(",", ":"), ensure_ascii=False)


def _reject_duplicate_keys(pairs: list[tuple[str, object]]) -> dict[str, object]:
    values = dict(pairs)
    if len(values) < len(pairs):
        seen: set[str] = set()
        for key, _ in pairs:
            if key in seen:
                raise ValueError(f"key {key!r} appears twice in one object")
            seen.add(key)
    return values


def _to_config_error(error: ValidationError) -> ConfigError:
    first = error.errors(include_url=False, include_context=False)[0]
    key = ".".join(str(part) for part in first["loc"])
    message = first["msg"].removeprefix("Value error, ")
    if isinstance(first["input"], str | int | float | bool):
        message = f"{first['input']!r}: {message}"
    return ConfigError(key=key, message=message)


def _from_model(model: SiteModel) -> SiteConfig:
    return SiteConfig(
        site=model.site,
        failure_domains=model.failure_domains,
        scope=Scope(model.scope),
        hosts_by_name={
            name: HostEntry(name=name, **item.model_dump()) for name, item in model.hosts.items()
        },
        upstreams_by_name={
            name: UpstreamEntry(
                name=name, **item.model_dump(exclude={"role"}), role=UpstreamRole(item.role)
            )
            for name, item in model.upstreams.items()
        },
        kinds_by_name={
            name: KindEntry(
                name=name,
                **item.model_dump(exclude={"urgency"}),
                urgency=Urgency[item.urgency.upper()],
            )
            for name, item in model.kinds.items()
        },
        callers_by_name={
            name: CallerEntry(
                name=name, **item.model_dump(exclude={"kinds"}), kinds=frozenset(item.kinds)
            )
            for name, item in model.callers.items()
        },
        teams_by_name={
            name: TeamEntry(name=name, **item.model_dump()) for name, item in model.teams.items()
        },
        limits=Limits(**model.limits.model_dump()),
    )


def to_model(config: SiteConfig) -> SiteModel:
    """Build the validated model of a configuration, with its entries sorted by name."""
    return SiteModel.model_validate(
        {
            "site": config.site,
            "failure_domains": config.failure_domains,
            "scope": config.scope.value,
            "hosts": {name: _fields(item) for name, item in sorted(config.hosts_by_name.items())},
            "upstreams": {
                name: _fields(item) | {"role": item.role.value}
                for name, item in sorted(config.upstreams_by_name.items())
            },
            "kinds": {
                name: _fields(item) | {"urgency": item.urgency.name.lower()}
                for name, item in sorted(config.kinds_by_name.items())
            },
            "callers": {
                name: _fields(item) | {"kinds": tuple(sorted(item.kinds))}
                for name, item in sorted(config.callers_by_name.items())
            },
            "teams": {name: _fields(item) for name, item in sorted(config.teams_by_name.items())},
            "limits": {key: getattr(config.limits, key) for key in Limits.__slots__},
        }
    )


def _fields(
    entry: HostEntry | UpstreamEntry | KindEntry | CallerEntry | TeamEntry,
) -> dict[str, object]:
    return {key: getattr(entry, key) for key in entry.__slots__ if key != "name"}
