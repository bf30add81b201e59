"""Explanation of a configuration: the provenance of each value."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass

from ..policy import SiteConfig
from ._document import config_values
from ._origins import Origin


@dataclass(frozen=True, slots=True, kw_only=True)
class ExplainedValue:
    """A value of a configuration with its origin.

    :param value: JSON text.
    """

    key: str
    value: str
    origin: Origin | None

    def describe(self, questionnaire: str = "") -> str:
        """Format the value and its origin, with the file and line of the answer.

        :param questionnaire: name of the file; empty if unknown.
        """
        if self.origin is None:
            return f"{self.key} = {self.value}  (no origin recorded)"
        if not self.origin.answer:
            return f"{self.key} = {self.value}  <- {self.origin.rule}"
        place = f"{questionnaire or 'line'}:{self.origin.line}"
        rule = f": {self.origin.rule}" if self.origin.rule else ""
        return f"{self.key} = {self.value}  <- {self.origin.answer} ({place}){rule}"


def explain(
    config: SiteConfig, origins_by_key: Mapping[str, Origin], key: str = ""
) -> list[ExplainedValue]:
    """Explain a value, all values of an entry or table, or all values if no key is given.

    :returns: an empty list if no value has this key.
    """
    return [
        ExplainedValue(
            key=name,
            value=json.dumps(value, ensure_ascii=False),
            origin=origins_by_key.get(name),
        )
        for name, value in config_values(config).items()
        if not key or name == key or name.startswith(f"{key}.")
    ]
