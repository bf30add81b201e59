"""Provenance of configuration values, and its compact encoding in a document."""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass

from pydantic import BaseModel

from ._model import (
    CallerModel,
    HostModel,
    KindModel,
    LimitsModel,
    SiteModel,
    TeamModel,
    UpstreamModel,
)

NO_ORIGIN = -1
"""Index that stands for a value without a recorded origin."""

TABLES: Mapping[str, type[BaseModel]] = {
    "hosts": HostModel,
    "upstreams": UpstreamModel,
    "kinds": KindModel,
    "callers": CallerModel,
    "teams": TeamModel,
}
TOP_LEVEL_FIELDS = ("site", "failure_domains", "scope")


@dataclass(frozen=True, slots=True, kw_only=True)
class Origin:
    """Provenance of a value of the configuration.

    :param answer: JSON path of the answer; empty if the value does not depend on one.
    :param line: line of the answer, from 1; 0 if there is none.
    :param rule: how the answer became the value; empty if it was copied.
    """

    answer: str
    line: int
    rule: str = ""

    def __str__(self) -> str:
        place = f"{self.answer} (line {self.line})" if self.answer else "no answer"
        return f"{place}: {self.rule}" if self.rule else place


def flatten(site: SiteModel) -> dict[str, object]:
    """Return the values of a configuration by key, such as ``kinds.rule-layout.share``."""
    values: dict[str, object] = {name: getattr(site, name) for name in TOP_LEVEL_FIELDS}
    for entity, fields in _entities(site):
        for name in fields:
            values[f"{entity}.{name}"] = _field_value(site, entity, name)
    return values


def encode_origins(
    site: SiteModel, origins_by_key: Mapping[str, Origin]
) -> tuple[list[list[object]], dict[str, list[int]]]:
    """Return the distinct origins, and for each entity the indexes of those of its fields."""
    index_by_origin: dict[Origin, int] = {}

    def index_of(key: str) -> int:
        origin = origins_by_key.get(key)
        if origin is None:
            return NO_ORIGIN
        return index_by_origin.setdefault(origin, len(index_by_origin))

    encoded = {name: [index_of(name)] for name in TOP_LEVEL_FIELDS}
    for entity, fields in _entities(site):
        encoded[entity] = [index_of(f"{entity}.{name}") for name in fields]
    if not index_by_origin:
        return [], {}
    return [[origin.answer, origin.line, origin.rule] for origin in index_by_origin], encoded


def decode_origins(
    answers: Sequence[tuple[str, int, str]], encoded: Mapping[str, Sequence[int]]
) -> dict[str, Origin]:
    """Return the origins by key of the value; the inverse of :func:`encode_origins`.

    :raises ValueError: if an entity or an index does not exist.
    """
    origins = [Origin(answer=answer, line=line, rule=rule) for answer, line, rule in answers]
    origins_by_key: dict[str, Origin] = {}
    for entity, indexes in encoded.items():
        keys = _keys_of(entity)
        if len(indexes) > len(keys):
            raise ValueError(f"origins.{entity}: at most {len(keys)} indexes are allowed")
        for key, index in zip(keys, indexes, strict=False):
            if not NO_ORIGIN <= index < len(origins):
                raise ValueError(f"origins.{entity}: there is no answer {index}")
            if index != NO_ORIGIN:
                origins_by_key[key] = origins[index]
    return origins_by_key


def _entities(site: SiteModel) -> Iterator[tuple[str, Sequence[str]]]:
    for table, model in TABLES.items():
        fields = tuple(model.model_fields)
        for name in getattr(site, table):
            yield f"{table}.{name}", fields
    yield "limits", tuple(LimitsModel.model_fields)


def _field_value(site: SiteModel, entity: str, field: str) -> object:
    if entity == "limits":
        return getattr(site.limits, field)
    table, name = entity.split(".")
    return getattr(getattr(site, table)[name], field)


def _keys_of(entity: str) -> list[str]:
    if entity in TOP_LEVEL_FIELDS:
        return [entity]
    table = entity.partition(".")[0]
    model = LimitsModel if entity == "limits" else TABLES.get(table)
    if model is None:
        raise ValueError(f"origins.{entity}: there is no such part of the configuration")
    return [f"{entity}.{name}" for name in model.model_fields]
