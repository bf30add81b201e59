"""Reports of sessions between hosts on what they have refused or could not do."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass

logger = logging.getLogger("eelgrassyard.net")


def _log(event: str, fields: dict[str, object]) -> None:
    logger.warning("%s %s", event, fields)


def _log_error(event: str, error: Exception, fields: dict[str, object]) -> None:
    logger.error("unforeseen error in %s %s", event, fields, exc_info=error)


@dataclass(frozen=True, slots=True, kw_only=True)
class SessionReports:
    """Where sessions report to; the log of the standard library by default.

    :param log: called with the event and the fields of a log line.
    :param on_error: called with the event that raised an unforeseen error, the error, and the
        fields of the log line.
    """

    log: Callable[[str, dict[str, object]], None] = _log
    on_error: Callable[[str, Exception, dict[str, object]], None] = _log_error
