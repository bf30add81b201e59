"""Explanation of a configuration: each value with the answer that it came from."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass

from ..policy import SiteConfig
from ._document import config_values
from ._origins import Origin


@dataclass(frozen=True, slots=True, kw_only=True)
class Explained:
    """One value of a configuration.

    :param value: JSON text.
    """

    key: str
    value: str
    origin: Origin | None

    def describe(self, questionnaire: str = "") -> str:
        """Write the value and where it came from, with the file and the line to look at."""
        if self.origin is None:
            return f"{self.key} = {self.value}  (no origin recorded)"
        if not self.origin.answer:
            return f"{self.key} = {self.value}  <- {self.origin.rule}"
        place = f"{questionnaire or 'line'}:{self.origin.line}"
        rule = f": {self.origin.rule}" if self.origin.rule else ""
        return f"{self.key} = {self.value}  <- {self.origin.answer} ({place}){rule}"


def explain(
    config: SiteConfig, origins_by_key: Mapping[str, Origin], key: str = ""
) -> list[Explained]:
    """Explain a value, all values of an entry or table, or, with no key, all values.

    :returns: an empty list if there is no such value.
    """
    return [
        Explained(
            key=name,
            value=json.dumps(value, ensure_ascii=False),
            origin=origins_by_key.get(name),
        )
        for name, value in config_values(config).items()
        if not key or name == key or name.startswith(f"{key}.")
    ]
