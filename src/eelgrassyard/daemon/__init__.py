"""The daemon of a host."""

from ._main import main

__all__ = ["main"]
