"""The command-line tool and the reference client."""

from ._answer import State, SubmissionAnswer
from ._client import Client
from ._errors import CommandError, ExitCode
from ._main import main

__all__ = ["Client", "CommandError", "ExitCode", "State", "SubmissionAnswer", "main"]
