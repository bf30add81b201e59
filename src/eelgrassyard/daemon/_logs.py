"""Logging of state changes as JSON lines."""

from __future__ import annotations

import json
import logging
import sys
import time

logger = logging.getLogger("eelgrassyard")


class JsonFormatter(logging.Formatter):
    """Formats a record as JSON; ``step`` defaults to the name of the logger, ``peer`` to empty."""

    def __init__(self, *, host: str) -> None:
        super().__init__()
        self._host = host

    def format(self, record: logging.LogRecord) -> str:
        moment = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
        fields: dict[str, object] = {
            "time": f"{moment}.{int(record.msecs):03d}Z",
            "level": record.levelname.lower(),
            "host": self._host,
            "step": getattr(record, "step", record.name),
            "peer": getattr(record, "peer", ""),
            "message": record.getMessage(),
        }
        if record.exc_info:
            fields["trace"] = self.formatException(record.exc_info)
        return json.dumps(fields, ensure_ascii=False)


def configure_logging(*, host: str, level: str) -> None:
    """Log to stderr: this package from ``level`` on, other libraries from WARNING on."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(JsonFormatter(host=host))
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(logging.WARNING)
    logger.setLevel(level.upper())


def log_change(step: str, message: str, *, peer: str = "", level: int = logging.INFO) -> None:
    """Log a state change."""
    logger.log(level, message, extra={"step": step, "peer": peer})
