"""Exit codes and the error that ends a command."""

from __future__ import annotations

import enum


class ExitCode(enum.IntEnum):
    """Exit code of a command."""

    DONE = 0
    BROKEN = 1
    USAGE = 2
    NOT_RUN = 3
    UNKNOWN = 4
    CONFLICT = 5
    UNREACHABLE = 6


EXIT_CODES_HELP = (
    "Exit codes: 0 done; 1 a promise broken or outcome failed; 2 bad usage or input; 3 not run; "
    "4 outcome unknown; 5 conflict; 6 unreachable."
)


class CommandError(Exception):
    """Ends a command with a message on stderr.

    :param step: operation that failed.
    :param peer: address, file or line that it concerned, if any.
    """

    def __init__(self, code: ExitCode, message: str, *, step: str = "", peer: str = "") -> None:
        super().__init__(message)
        self.code = code
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        parts = [part for part in (self.step, self.peer, self.message) if part]
        return ": ".join(part.replace("\n", " ") for part in parts)
