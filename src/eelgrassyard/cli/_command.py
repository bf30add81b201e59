"""Commands with their own flags and help."""

from __future__ import annotations

import sys
import textwrap
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

from absl import flags

from ._errors import EXIT_CODES_HELP, CommandError, ExitCode

HELP_WIDTH = 88

Define = Callable[[flags.FlagValues], None]
Run = Callable[[Any, list[str]], int]


def no_flags(values: flags.FlagValues) -> None:
    """Define no flags."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Command:
    """One command of the tool.

    :param name: one or two words.
    :param arguments: positional arguments as shown in the usage line.
    :param summary: one line for the list of commands.
    :param text: description for the help of the command.
    :param counts: minimum and maximum number of positional arguments.
    :param define: defines the flags.
    :param run: gets the parsed flags and the positional arguments; returns the exit code.
    """

    name: str
    summary: str
    text: str
    run: Run
    arguments: str = ""
    counts: tuple[int, int] = (0, 0)
    define: Define = no_flags

    def start(self, arguments: Sequence[str]) -> int:
        """Parse the arguments and run the command; returns the exit code."""
        values = flags.FlagValues()  # type: ignore[no-untyped-call]
        values.set_gnu_getopt(True)
        self.define(values)
        defined = set(values)
        flags.DEFINE_bool("help", False, "Show this help.", short_name="h", flag_values=values)
        try:
            rest = values([self.name, *arguments])[1:]
        except flags.Error as error:
            raise CommandError(ExitCode.USAGE, str(error), step=self.name) from error
        if values["help"].value:
            sys.stdout.write(self.help(values, sorted(defined)))
            return ExitCode.DONE
        least, highest = self.counts
        if not least <= len(rest) <= highest:
            raise CommandError(
                ExitCode.USAGE,
                f"usage: eelgrassyard {self.name} {self.arguments}".rstrip(),
                step=self.name,
            )
        return self.run(values, rest)

    def help(self, values: flags.FlagValues, names: Sequence[str]) -> str:
        """Return the help text of the command."""
        lines = [f"usage: eelgrassyard {self.name} [flags] {self.arguments}".rstrip(), ""]
        for paragraph in textwrap.dedent(self.text).strip().split("\n\n"):
            lines += [*textwrap.wrap(" ".join(paragraph.split()), HELP_WIDTH), ""]
        if names:
            lines.append("Flags:")
        for name in names:
            flag = values[name]
            default = f" (default: {flag.default})" if flag.default not in (None, "", []) else ""
            about = textwrap.wrap(f"{flag.help}{default}", HELP_WIDTH - 8)
            is_switch = isinstance(flag.default, bool)
            lines.append(f"  --{name}" if is_switch else f"  --{name}={_value_name(flag)}")
            lines += [f"        {line}" for line in about]
        lines += ["", *textwrap.wrap(EXIT_CODES_HELP, HELP_WIDTH)]
        return "\n".join(lines) + "\n"


def _value_name(flag: Any) -> str:
    allowed = getattr(flag.parser, "enum_values", None)
    return "|".join(allowed) if allowed else str(flag.parser.flag_type()).upper().split()[-1]
