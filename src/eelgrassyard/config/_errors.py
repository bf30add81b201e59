"""Errors of the configuration, as values."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigError:
    """Why a configuration document was refused.

    :param message: what is wrong and what is allowed.
    :param key: path of the value in the document; empty if the whole document is meant.
    :param step: step that failed.
    :param peer: where the document came from, if known.
    """

    message: str
    key: str = ""
    step: str = "config"
    peer: str = ""

    def __str__(self) -> str:
        return f"{self.key}: {self.message}" if self.key else self.message
