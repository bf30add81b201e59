"""Reports of errors that were contained to one call, request or connection."""

from __future__ import annotations

import asyncio


def report_contained(message: str, error: Exception) -> None:
    """Hand an error to the exception handler of the running loop, as asyncio does with errors that
    callbacks raise.

    :param message: what failed because of the error.
    """
    asyncio.get_running_loop().call_exception_handler({"message": message, "exception": error})
