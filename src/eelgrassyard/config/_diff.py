"""Diff of two configurations, with the effect of each change."""

from __future__ import annotations

import json
from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from ..policy import SiteConfig
from ._document import config_values, to_model
from ._effects import ENTITY_NAMES, describe_added, describe_change, describe_removed
from ._origins import TABLES, Origin


@dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """One change between two configurations.

    :param key: key of the value or of the entry.
    :param before: JSON text; empty if the entry is new.
    :param after: JSON text; empty if the entry is gone.
    :param effect: description of the consequences.
    :param origin: provenance of the new value, if known.
    """

    key: str
    before: str
    after: str
    effect: str
    origin: Origin | None = None

    def __str__(self) -> str:
        if not self.before:
            return f"+ {self.key}: {self.effect}"
        if not self.after:
            return f"- {self.key}: {self.effect}"
        return f"~ {self.key}: {self.before} -> {self.after}: {self.effect}"


def diff_configs(
    before: SiteConfig, after: SiteConfig, *, origins_by_key: Mapping[str, Origin] | None = None
) -> list[Change]:
    """List the changes between two configurations: removed and added entries, then values.

    :param origins_by_key: origins of the values of ``after``.
    """
    origins = origins_by_key or {}
    return [*_entry_changes(before, after, origins), *_value_changes(before, after, origins)]


def _entry_changes(
    before: SiteConfig, after: SiteConfig, origins: Mapping[str, Origin]
) -> Iterator[Change]:
    old_site, new_site = to_model(before), to_model(after)
    for table, model in TABLES.items():
        old, new = getattr(old_site, table), getattr(new_site, table)
        first_field = next(iter(model.model_fields))
        for name in sorted(old.keys() - new.keys()):
            effect = describe_removed(table, name)
            yield Change(key=f"{table}.{name}", before=ENTITY_NAMES[table], after="", effect=effect)
        for name in sorted(new.keys() - old.keys()):
            yield Change(
                key=f"{table}.{name}",
                before="",
                after=ENTITY_NAMES[table],
                effect=describe_added(table, name),
                origin=origins.get(f"{table}.{name}.{first_field}"),
            )


def _value_changes(
    before: SiteConfig, after: SiteConfig, origins: Mapping[str, Origin]
) -> Iterator[Change]:
    old, new = config_values(before), config_values(after)
    for key, value in new.items():
        if key in old and old[key] != value:
            yield Change(
                key=key,
                before=json.dumps(old[key]),
                after=json.dumps(value),
                effect=describe_change(key, old[key], value),
                origin=origins.get(key),
            )
