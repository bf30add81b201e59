"""The configuration document: reading with all checks, and writing in a stable order."""

from __future__ import annotations

import json
import secrets
from collections.abc import Mapping
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
from ._model import DOCUMENT_BYTES, FORMAT, DocumentModel, SiteModel

CHANGE_ID_BYTES = 16


@dataclass(frozen=True, slots=True, kw_only=True)
class Origin:
    """The answer that a value of the configuration came from.

    :param answer: JSON path in the questionnaire; empty if the value follows from no answer.
    :param line: line of the answer, from 1; 0 if there is none.
    :param rule: how the answer became the value; empty if it was copied.
    """

    answer: str
    line: int
    rule: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class Document:
    """A configuration with its authorship.

    :param change_id: random, so that a writer recognizes its own write.
    :param origins_by_key: origin by path of the value, such as ``kinds.rule-layout.share``; the
        origin of an entity counts for those of its fields that have none of their own.
    """

    change_id: str
    author: str
    config: SiteConfig
    questionnaire: str = ""
    origins_by_key: Mapping[str, Origin] = field(default_factory=dict)


def new_change_id() -> str:
    """Return a random change id."""
    return secrets.token_hex(CHANGE_ID_BYTES)


def parse_document(document: bytes) -> Result[SiteConfig, ConfigError]:
    """Validate a stored document and return the configuration in it.

    Unknown keys, duplicate keys, values out of bounds and references that lead nowhere are errors.
    """
    return read_document(document).map(lambda read: read.config)


def read_document(document: bytes) -> Result[Document, ConfigError]:
    """Validate a stored document and return all of it."""
    if len(document) > DOCUMENT_BYTES:
        return Err(
            ConfigError(message=f"{len(document)} bytes; at most {DOCUMENT_BYTES} are allowed")
        )
    try:
        json.loads(document, object_pairs_hook=_refuse_duplicates)
        model = DocumentModel.model_validate_json(document)
    except ValidationError as error:
        return Err(_first_error(error))
    except (ValueError, RecursionError) as error:
        return Err(ConfigError(message=f"not a JSON document: {error}"))
    for problem in find_problems(model.config):
        return Err(ConfigError(key=f"config.{problem.key}", message=problem.message))
    origins = {
        key: Origin(answer=item.a, line=item.n, rule=item.r) for key, item in model.origins.items()
    }
    return Ok(
        Document(
            change_id=model.change_id,
            author=model.author,
            questionnaire=model.questionnaire,
            config=_to_config(model.config),
            origins_by_key=origins,
        )
    )


def render_document(
    config: SiteConfig,
    *,
    author: str,
    origins_by_key: Mapping[str, Origin] | None = None,
    change_id: str | None = None,
    questionnaire: str = "",
) -> bytes:
    """Write a configuration as a document, in the same order for the same content.

    :param change_id: 32 hexadecimal digits; a new random one if left out.
    :param questionnaire: name of the file that the configuration was generated from.
    """
    body = {
        "format": FORMAT,
        "change_id": change_id or new_change_id(),
        "author": author,
        "questionnaire": questionnaire,
        "config": config_values(config),
        "origins": {
            key: _origin_values(origin) for key, origin in sorted((origins_by_key or {}).items())
        },
    }
    return _to_json(body).encode()


def config_values(config: SiteConfig) -> dict[str, object]:
    """The configuration as JSON values; fields equal to their default are left out."""
    return _from_config(config).model_dump(mode="json", exclude_defaults=True)


def _origin_values(origin: Origin) -> dict[str, object]:
    values: dict[str, object] = {"a": origin.answer, "n": origin.line}
    if origin.rule:
        values["r"] = origin.rule
    return values


def _to_json(body: Mapping[str, object]) -> str:
    """One line for each entity, so that two documents can be compared by line."""
    parts = []
    for key, value in body.items():
        if key in ("config", "origins") and isinstance(value, Mapping):
            parts.append(f"{json.dumps(key)}:{_section(value, deep=key == 'config')}")
        else:
            parts.append(f"{json.dumps(key)}:{_compact(value)}")
    return "{" + ",\n".join(parts) + "}\n"


def _section(values: Mapping[str, object], *, deep: bool) -> str:
    lines = []
    for key, value in values.items():
        if deep and isinstance(value, Mapping):
            lines.append(f"{json.dumps(key)}:{_section(value, deep=False)}")
        else:
            lines.append(f"{json.dumps(key)}:{_compact(value)}")
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


def _from_config(config: SiteConfig) -> SiteModel:
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
