"""Parses and validates the JSON bodies of callers' requests.

The payload of a task is kept as the bytes that the caller sent, because decoding and encoding it
again would change numbers beyond the precision of a float.
"""

from __future__ import annotations

import json
import re
from collections.abc import Callable, Iterator
from typing import Annotated, Any, Literal

import result
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from ..policy import KindEntry, SubmissionBody, TaskSpec, Urgency

MAX_IDS = 1_000
"""Most ids that one call may request."""

MAX_SHOWN_VALUE_CHARS = 60
"""Length to which error messages cut an invalid value."""

_WHITESPACE = re.compile(r"[ \t\n\r]*")
_STRING = re.compile(r'"(?:[^"\\\x00-\x1f]|\\.)*"')


class TaskModel(BaseModel):
    """A task in the body of a submission."""

    model_config = ConfigDict(extra="forbid", strict=True, allow_inf_nan=False)

    payload: bytes
    cores: Annotated[float, Field(gt=0, le=10_000)] = 1.0
    memory_mb: Annotated[int, Field(ge=0, le=100_000_000)] = 256
    accelerators: Annotated[int, Field(ge=0, le=1_000)] = 0


class SubmissionModel(BaseModel):
    """The body of a submission; fields that are None take the values of the kind."""

    model_config = ConfigDict(extra="forbid", strict=True, allow_inf_nan=False)

    kind: Annotated[str, Field(min_length=1, max_length=64)]
    tasks: Annotated[list[TaskModel], Field(min_length=1)]
    urgency: Literal["urgent", "normal", "background"] | None = None
    deadline_s: Annotated[float, Field(gt=0, le=86_400)] | None = None
    idempotent: bool | None = None
    gang: bool = False
    spread_racks: bool = False


class IdsModel(BaseModel):
    """The body of a request for submission ids."""

    model_config = ConfigDict(extra="forbid", strict=True)

    count: Annotated[int, Field(ge=1, le=MAX_IDS)] = 1
    kind: Annotated[str, Field(max_length=64)] = ""


def parse_submission(content: bytes) -> result.Result[SubmissionModel, str]:
    """Parse the body of a submission; the error says what is wrong and what is allowed."""
    try:
        text = content.decode()
        fields = _read_object(text, _read_member)
        return result.Ok(SubmissionModel.model_validate(fields))
    except ValidationError as error:
        return result.Err(_describe_errors(error))
    except (ValueError, RecursionError) as error:
        return result.Err(f"the body is not a JSON object: {error}")


def parse_ids(content: bytes) -> result.Result[IdsModel, str]:
    """Parse the body of a request for ids; an empty body requests one id."""
    try:
        return result.Ok(IdsModel.model_validate_json(content or b"{}"))
    except ValidationError as error:
        return result.Err(_describe_errors(error))


def to_submission(
    model: SubmissionModel, kind: KindEntry, *, max_tasks: int
) -> result.Result[SubmissionBody, str]:
    """Validate a body against its kind and fill in the kind's defaults."""
    if len(model.tasks) > max_tasks:
        return result.Err(f"tasks: {len(model.tasks)} tasks, at most {max_tasks} are allowed")
    if kind.service and len(model.tasks) != 1:
        return result.Err(
            f"tasks: {len(model.tasks)} tasks, but kind {kind.name} takes requests of one task"
        )
    if model.idempotent and not kind.idempotent:
        return result.Err(f"idempotent: kind {kind.name} is not idempotent, so true is not allowed")
    idempotent = kind.idempotent if model.idempotent is None else model.idempotent
    return result.Ok(
        SubmissionBody(
            kind=kind.name,
            tasks=tuple(
                TaskSpec(
                    payload=task.payload,
                    cores=task.cores,
                    memory_mb=task.memory_mb,
                    accelerators=task.accelerators,
                )
                for task in model.tasks
            ),
            urgency=kind.urgency if model.urgency is None else Urgency[model.urgency.upper()],
            deadline_s=kind.deadline_s if model.deadline_s is None else model.deadline_s,
            idempotent=idempotent,
            gang=model.gang,
            spread_racks=model.spread_racks,
        )
    )


def _refuse_constant(name: str) -> Any:
    raise ValueError(f"{name} is not allowed")


_DECODER = json.JSONDecoder(parse_constant=_refuse_constant)


def _skip_whitespace(text: str, position: int) -> int:
    match = _WHITESPACE.match(text, position)
    return match.end() if match else position


def _read_object(
    text: str, read_member: Callable[[str, str, int], tuple[Any, int]]
) -> dict[str, Any]:
    fields, end = _read_members(text, _skip_whitespace(text, 0), read_member)
    if _skip_whitespace(text, end) != len(text):
        raise ValueError(f"text after the end at character {end}")
    return fields


def _read_members(
    text: str, start: int, read_member: Callable[[str, str, int], tuple[Any, int]]
) -> tuple[dict[str, Any], int]:
    fields: dict[str, Any] = {}

    def read_item(position: int) -> int:
        match = _STRING.match(text, position)
        if match is None:
            raise ValueError(f"a key in quotes is expected at character {position}")
        key = json.loads(match.group())
        if key in fields:
            raise ValueError(f"key {key!r} appears twice in one object")
        position = _skip_whitespace(text, match.end())
        if text[position : position + 1] != ":":
            raise ValueError(f"':' is expected at character {position}")
        fields[key], end = read_member(key, text, _skip_whitespace(text, position + 1))
        return end

    return fields, _read_items(text, start, "{", "}", read_item)


def _read_items(
    text: str, start: int, opening: str, closing: str, read_item: Callable[[int], int]
) -> int:
    """Read the comma-separated items between brackets.

    :param read_item: reads the item at a position and returns the position after it.
    :returns: the position after the closing bracket.
    """
    if text[start : start + 1] != opening:
        raise ValueError(f"{opening!r} is expected at character {start}")
    position = _skip_whitespace(text, start + 1)
    if text[position : position + 1] == closing:
        return position + 1
    while True:
        position = _skip_whitespace(text, read_item(position))
        separator = text[position : position + 1]
        if separator == closing:
            return position + 1
        if separator != ",":
            raise ValueError(f"',' or {closing!r} is expected at character {position}")
        position = _skip_whitespace(text, position + 1)


def _read_member(key: str, text: str, position: int) -> tuple[Any, int]:
    if key != "tasks" or text[position : position + 1] != "[":
        return _DECODER.raw_decode(text, position)
    tasks: list[Any] = []

    def read_task(start: int) -> int:
        if text[start : start + 1] != "{":
            value, end = _DECODER.raw_decode(text, start)
        else:
            value, end = _read_members(text, start, _read_task_member)
        tasks.append(value)
        return end

    return tasks, _read_items(text, position, "[", "]", read_task)


def _read_task_member(key: str, text: str, position: int) -> tuple[Any, int]:
    value, end = _DECODER.raw_decode(text, position)
    if key == "payload":
        return text[position:end].encode(), end
    return value, end


def _describe_errors(error: ValidationError) -> str:
    return "; ".join(_field_errors(error))


def _field_errors(error: ValidationError) -> Iterator[str]:
    for item in error.errors(include_url=False)[:3]:
        key = ".".join(str(part) for part in item["loc"])
        if item["type"] == "missing":
            yield f"{key}: is missing"
        elif item["type"] == "extra_forbidden":
            yield f"{key}: is not a known field"
        else:
            shown = repr(item["input"])[:MAX_SHOWN_VALUE_CHARS]
            yield f"{key or 'body'}: {shown}: {item['msg']}"
