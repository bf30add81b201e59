"""The command-line tool and the reference client."""

from ._answer import Answer, State
from ._client import Client
from ._errors import CommandError, ExitCode
from ._main import main

__all__ = ["Answer", "Client", "CommandError", "ExitCode", "State", "main"]
