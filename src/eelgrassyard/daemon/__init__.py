"""The daemon that runs one host."""

from ._main import main

__all__ = ["main"]
