"""Descriptions of errors that no code handled, as fields of a line."""

from __future__ import annotations

from collections.abc import Iterator

UNHANDLED_ERROR = "unhandled_error"
"""Event of the line about an error after which the process goes on."""

MAX_MESSAGE_CHARACTERS = 400
"""Longest message of an error in a line; messages may quote the input that caused the error."""

OUTER_FRAMES = 4
INNER_FRAMES = 12
"""Outermost and innermost frames of a traceback in a line. A stack overflow has about a
thousand."""


def describe_error(error: BaseException) -> dict[str, object]:
    """Type, message and frames of an error as fields of a line; it never raises."""
    return {**name_error(error), "trace": frames_of(error)}


def leaf_errors(error: BaseException) -> Iterator[BaseException]:
    """The errors in an exception group at any depth, or the error itself."""
    if isinstance(error, BaseExceptionGroup):
        for member in error.exceptions:
            yield from leaf_errors(member)
    else:
        yield error


def name_error(error: BaseException) -> dict[str, object]:
    """Type and message of an error, and the type of its cause, as fields of a line."""
    try:
        message = str(error)
    except Exception as unprintable:
        message = f"message not available: {type(unprintable).__name__}"
    fields: dict[str, object] = {
        "error": type(error).__name__,
        # A message may quote input that no line can hold, such as a lone surrogate.
        "message": message[:MAX_MESSAGE_CHARACTERS].encode(errors="backslashreplace").decode(),
    }
    if error.__cause__ is not None:
        fields["cause"] = type(error.__cause__).__name__
    return fields


def frames_of(error: BaseException) -> list[str]:
    """The frames of a traceback, outermost first, without the middle of a long one. Source lines
    are left out: reading them parses files, which fails in turn when the stack is exhausted."""
    frames: list[str] = []
    trace = error.__traceback__
    while trace is not None:
        code = trace.tb_frame.f_code
        file = "/".join(code.co_filename.rsplit("/", 2)[-2:])
        frames.append(f"{file}:{trace.tb_lineno} {code.co_name}")
        trace = trace.tb_next
    left_out = len(frames) - OUTER_FRAMES - INNER_FRAMES
    if left_out <= 0:
        return frames
    return [*frames[:OUTER_FRAMES], f"{left_out} frames left out", *frames[-INNER_FRAMES:]]
