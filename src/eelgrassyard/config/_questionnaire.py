"""Parsing and validation of questionnaires, with errors that name file, line, key and value."""

from __future__ import annotations

import difflib
import json
import re
import types
import typing
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path as FilePath

import json5
from pydantic import BaseModel, ValidationError
from result import Err, Ok, Result

from ._answers import Answers
from ._contradictions import find_contradictions
from ._positions import Path, Positions, find_positions, json_path

MAX_QUESTIONNAIRE_BYTES = 1_000_000
MAX_SHOWN_VALUE_CHARS = 60
_JSON5_LOCATION = re.compile(r"^[^:]*:(\d+) (.*)$", re.DOTALL)


@dataclass(frozen=True, slots=True, kw_only=True)
class AnswerError:
    """An invalid answer.

    :param key: JSON path of the answer.
    :param value: the answer as JSON text, shortened; empty if there is none.
    :param allowed: what is wrong and what is allowed.
    """

    file: str
    line: int
    key: str
    value: str
    allowed: str

    def __str__(self) -> str:
        shown = f" = {self.value}" if self.value else ""
        return _escape_control_characters(
            f"{self.file}:{self.line}: {self.key}{shown}: {self.allowed}"
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class Questionnaire:
    """Validated answers with their positions in the file."""

    file: str
    answers: Answers
    positions: Positions = field(repr=False)


def load_questionnaire(path: str | FilePath) -> Result[Questionnaire, tuple[AnswerError, ...]]:
    """Read and validate a questionnaire file."""
    try:
        data = FilePath(path).read_bytes()
    except (OSError, ValueError) as error:
        reason = error.strerror if isinstance(error, OSError) else error
        return Err((_file_error(str(path), 1, f"cannot be read: {reason}"),))
    return parse_questionnaire(data, file=str(path))


def parse_questionnaire(
    data: bytes, *, file: str
) -> Result[Questionnaire, tuple[AnswerError, ...]]:
    """Validate the text of a questionnaire.

    :param file: file name, shown in errors and recorded in the generated configuration.
    """
    if len(data) > MAX_QUESTIONNAIRE_BYTES:
        return Err((_file_error(file, 1, f"at most {MAX_QUESTIONNAIRE_BYTES} bytes are allowed"),))
    match _parse_text(data, file):
        case Err(error):
            return Err((error,))
        case Ok((text, value)):
            return _validate(text, value, file)


def _parse_text(data: bytes, file: str) -> Result[tuple[str, object], AnswerError]:
    try:
        text = data.decode("utf-8-sig")
        return Ok((text, json5.loads(text)))
    except UnicodeDecodeError as error:
        line = data[: error.start].count(b"\n") + 1
        return Err(_file_error(file, line, "the text must be UTF-8"))
    except RecursionError:
        return Err(_file_error(file, 1, "the values are nested too deeply"))
    except ValueError as error:
        message = str(error)
        place = _JSON5_LOCATION.match(message)
        line = int(place.group(1)) if place else 1
        message = place.group(2) if place else message
        return Err(_file_error(file, line, f"must be JSON with comments: {message}"))


def _validate(
    text: str, value: object, file: str
) -> Result[Questionnaire, tuple[AnswerError, ...]]:
    positions = find_positions(text)
    make_error = _error_maker(file, value, positions)
    if positions.duplicates:
        return Err(
            tuple(
                make_error(
                    item.path, f"the key is already used in line {item.first_line}", item.line
                )
                for item in positions.duplicates
            )
        )
    try:
        answers = Answers.model_validate_json(json.dumps(value))
    except ValidationError as error:
        return Err(tuple(_from_pydantic(error, make_error)))
    except (ValueError, RecursionError) as error:
        return Err((_file_error(file, 1, str(error)),))
    contradictions = tuple(
        make_error(item.path, item.allowed, None) for item in find_contradictions(answers)
    )
    if contradictions:
        return Err(contradictions)
    return Ok(Questionnaire(file=file, answers=answers, positions=positions))


_MakeError = Callable[[Path, str, int | None], AnswerError]


def _error_maker(file: str, value: object, positions: Positions) -> _MakeError:
    def make_error(path: Path, allowed: str, line: int | None = None) -> AnswerError:
        return AnswerError(
            file=file,
            line=line or positions.line_of(path),
            key=json_path(path),
            value=_show_value(value, path),
            allowed=allowed,
        )

    return make_error


def _escape_control_characters(text: str) -> str:
    """Escape control characters, which json5 quotes unchanged in its messages."""
    return "".join(
        character if character.isprintable() else character.encode("unicode_escape").decode()
        for character in text
    )


def _file_error(file: str, line: int, message: str) -> AnswerError:
    return AnswerError(file=file, line=line, key="$", value="", allowed=message)


def _show_value(value: object, path: Path) -> str:
    for part in path:
        try:
            value = value[part]  # type: ignore[index]
        except (KeyError, IndexError, TypeError):
            return ""
    shown = json.dumps(value, ensure_ascii=True)
    return shown if len(shown) <= MAX_SHOWN_VALUE_CHARS else shown[:MAX_SHOWN_VALUE_CHARS] + "..."


def _from_pydantic(error: ValidationError, make_error: _MakeError) -> Iterator[AnswerError]:
    for item in error.errors(include_url=False):
        path = tuple(part for part in item["loc"] if not _is_branch_name(part))
        yield make_error(path, _describe_allowed(item["type"], item["msg"], path), None)


def _is_branch_name(part: str | int) -> bool:
    """Return whether pydantic added this part for a branch of a union or a dictionary key."""
    return isinstance(part, str) and ("[" in part or part in ("str", "literal"))


def _describe_allowed(kind: str, message: str, path: Path) -> str:
    if kind == "extra_forbidden":
        known = _known_keys(path[:-1])
        near = difflib.get_close_matches(str(path[-1]), known, n=1)
        hint = f"did you mean {near[0]}? " if near else ""
        return f"unknown key; {hint}allowed here: {', '.join(known)}"
    if kind == "missing":
        return "the answer is missing"
    if kind == "string_pattern_mismatch":
        return "allowed are lower-case letters, digits, - and _, at most 64"
    return "allowed: " + message.removeprefix("Value error, ").removeprefix("Input should be ")


def _known_keys(path: Path) -> list[str]:
    model: type[BaseModel] = Answers
    for part in path:
        if isinstance(part, str) and part in model.model_fields:
            found = _nested_model(model.model_fields[part].annotation)
            model = found or model
    return list(model.model_fields)


def _nested_model(annotation: object) -> type[BaseModel] | None:
    if isinstance(annotation, type) and not isinstance(annotation, types.GenericAlias):
        return annotation if issubclass(annotation, BaseModel) else None
    for argument in typing.get_args(annotation):
        found = _nested_model(argument)
        if found is not None:
            return found
    return None
