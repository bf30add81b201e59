"""Entry point: selects the command and reports its errors."""

from __future__ import annotations

import os
import sys
from collections.abc import Sequence

from . import (
    _apply_command,
    _client_commands,
    _load_command,
    _operator_commands,
    _questionnaire_commands,
)
from ._command import Command
from ._errors import EXIT_CODES_HELP, CommandError, ExitCode

COMMANDS: tuple[Command, ...] = (
    *_questionnaire_commands.COMMANDS,
    *_apply_command.COMMANDS,
    *_client_commands.COMMANDS,
    *_operator_commands.COMMANDS,
    *_load_command.COMMANDS,
)
COMMAND_BY_NAME = {command.name: command for command in COMMANDS}
INTERRUPTED = 130


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one command and return its exit code.

    :param arguments: command and its arguments; those of the process if left out.
    """
    words = list(sys.argv[1:] if arguments is None else arguments)
    try:
        return int(_run(words))
    except CommandError as error:
        return _report(error)
    except ExceptionGroup as group:
        # A task group wraps the error of a failed task.
        found = group.subgroup(CommandError)
        if found is None:
            raise
        return _report(_first(found))
    except BrokenPipeError:
        # The reader closed the pipe; keeps the interpreter from flushing the rest at exit.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return int(ExitCode.DONE)
    except KeyboardInterrupt:
        return INTERRUPTED


def _report(error: CommandError) -> int:
    print(f"eelgrassyard: {error}", file=sys.stderr)
    return int(error.code)


def _first(group: ExceptionGroup[CommandError]) -> CommandError:
    inner = group.exceptions[0]
    return _first(inner) if isinstance(inner, ExceptionGroup) else inner


def _run(words: list[str]) -> int:
    if not words or words[0] in ("help", "--help", "-h"):
        print(_overview())
        return ExitCode.DONE if words else ExitCode.USAGE
    for length in (2, 1):
        command = COMMAND_BY_NAME.get(" ".join(words[:length]))
        if command is not None:
            return command.start(words[length:])
    near = [name for name in COMMAND_BY_NAME if name.split()[0] == words[0]]
    hint = f"one of: {', '.join(near or COMMAND_BY_NAME)}"
    raise CommandError(ExitCode.USAGE, f"unknown command {' '.join(words[:2])!r}; {hint}")


def _overview() -> str:
    width = max(map(len, COMMAND_BY_NAME))
    lines = ["usage: eelgrassyard COMMAND [flags] [arguments]", ""]
    lines += [f"  {command.name:<{width}}  {command.summary}" for command in COMMANDS]
    lines += ["", "eelgrassyard COMMAND --help explains a command.", "", EXIT_CODES_HELP]
    return "\n".join(lines)
