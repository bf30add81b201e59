"""The configuration document: reading with all checks, and writing in a stable order."""

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
from ._crosscheck import find_problems
from ._errors import ConfigError
from ._model import FORMAT, HISTORY, DocumentModel, SiteModel
from ._origins import Origin, flatten, pack_origins, unpack_origins
from ._packing import pack_document, unpack_document

CHANGE_ID_BYTES = 16

CONFIG_KEY = "eelgrassyard/config"
"""Key of the document in the platform's key-value service."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Document:
    """A configuration with its authorship.

    :param change_id: random, so that a writer recognizes its own write.
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
    """Validate a stored document, plain or packed, and return the configuration in it.

    Unknown keys, duplicate keys, values out of bounds and references that lead nowhere are errors.
    """
    return read_document(document).map(lambda read: read.config)


def read_document(document: bytes) -> Result[Document, ConfigError]:
    """Validate a stored document and return all of it."""
    match unpack_document(document):
        case Err(error):
            return Err(error)
        case Ok(text):
            return _read_text(text)


def _read_text(document: bytes) -> Result[Document, ConfigError]:
    try:
        json.loads(document, object_pairs_hook=_refuse_duplicates)
        model = DocumentModel.model_validate_json(document)
    except ValidationError as error:
        return Err(_first_error(error))
    except (ValueError, RecursionError) as error:
        return Err(ConfigError(message=f"not a JSON document: {error}"))
    for problem in find_problems(model.config):
        return Err(ConfigError(key=f"config.{problem.key}", message=problem.message))
    try:
        origins_by_key = unpack_origins(model.answers, model.origins)
    except ValueError as error:
        return Err(ConfigError(message=str(error)))
    return Ok(
        Document(
            change_id=model.change_id,
            author=model.author,
            questionnaire=model.questionnaire,
            history=model.history,
            config=_to_config(model.config),
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
    """Write a configuration as a document, in the same order for the same content.

    :param change_id: 32 hexadecimal digits; a new random one if left out.
    :param questionnaire: name of the file that the configuration was generated from.
    :param history: change ids of the documents before this one, newest first.
    """
    site = from_config(config)
    answers, origins = pack_origins(site, origins_by_key or {})
    body = {
        "format": FORMAT,
        "change_id": change_id or new_change_id(),
        "author": author,
        "questionnaire": questionnaire,
        "history": list(history[:HISTORY]),
        "config": site.model_dump(mode="json", exclude_defaults=True),
        "answers": answers,
        "origins": origins,
    }
    return _to_json(body).encode()


def follow(document: Document, base: Document | None) -> bytes:
    """Write a document as the successor of the one in the store, packed if it is large."""
    text = render_document(
        document.config,
        author=document.author,
        origins_by_key=document.origins_by_key,
        change_id=document.change_id,
        questionnaire=document.questionnaire,
        history=(base.change_id, *base.history) if base else (),
    )
    return pack_document(text)


def config_values(config: SiteConfig) -> dict[str, object]:
    """Every value of a configuration by its key, such as ``kinds.rule-layout.share``."""
    return flatten(from_config(config))


def _to_json(body: Mapping[str, object]) -> str:
    """Write one entity or answer a line, so that documents can be compared by line."""
    parts = [f"{json.dumps(key)}:{_section(value, key)}" for key, value in body.items()]
    return "{" + ",\n".join(parts) + "}\n"


def _section(value: object, key: str) -> str:
    if key == "answers" and isinstance(value, list):
        return "[" + ",\n".join(_compact(item) for item in value) + "]"
    if not isinstance(value, Mapping) or key == "limits":
        return _compact(value)
    if key == "config":
        lines = [f"{json.dumps(name)}:{_section(item, name)}" for name, item in value.items()]
    else:
        lines = [f"{json.dumps(name)}:{_compact(item)}" for name, item in value.items()]
    return "{\n" + ",\n".join(lines) + "}"


def _compact(value: object) -> str:
    return json.dumps(value, separators=(",", ":"), ensure_ascii=False)


def _refuse_duplicates(pairs: list[tuple[str, object]]) -> dict[str, object]:
    values = dict(pairs)
    if len(values) < len(pairs):
        seen: set[str] = set()
        for key, _ in pairs:
            if key in seen:
                raise ValueError(f"key {key!r} appears twice in one object")
            seen.add(key)
    return values


def _first_error(error: ValidationError) -> ConfigError:
    first = error.errors(include_url=False, include_context=False)[0]
    key = ".".join(str(part) for part in first["loc"])
    message = first["msg"].removeprefix("Value error, ")
    if isinstance(first["input"], str | int | float | bool):
        message = f"{first['input']!r}: {message}"
    return ConfigError(key=key, message=message)


def _to_config(model: SiteModel) -> SiteConfig:
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


def from_config(config: SiteConfig) -> SiteModel:
    """Build the validated model of a configuration, with its entries in the order of names."""
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
