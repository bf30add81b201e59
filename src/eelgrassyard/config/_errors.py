"""Error values of the configuration."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigError:
    """Reason for rejecting a configuration document.

    :param message: what is wrong and what is allowed.
    :param key: key of the value in the document; empty if it concerns the whole document.
    :param step: step that failed.
    :param peer: source of the document, if known.
    """

    message: str
    key: str = ""
    step: str = "config"
    peer: str = ""

    def __str__(self) -> str:
        return f"{self.key}: {self.message}" if self.key else self.message
