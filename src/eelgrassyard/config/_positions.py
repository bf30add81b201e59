"""Line numbers of the values in JSON text with comments.

The json5 library validates the text and returns its values without positions. This scanner runs on
text that json5 has accepted and finds the positions.
"""

from __future__ import annotations

import json
import re
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

Path = tuple[str | int, ...]
"""Keys and indexes from the root to a value."""

_TOKEN = re.compile(
    r"""
      (?P<skip>[\s\ufeff]+|//[^\n\r\u2028\u2029]*|/\*.*?\*/)
    | (?P<string>"(?:\\.|[^"\\])*"|'(?:\\.|[^'\\])*')
    | (?P<mark>[{}\[\]:,])
    | (?P<bare>[^\s{}\[\]:,"'/]+)
    """,
    re.VERBOSE | re.DOTALL,
)
_ESCAPE = re.compile(r"\\(?:u([0-9a-fA-F]{4})|x([0-9a-fA-F]{2})|(\r\n|.))", re.DOTALL)
_PLAIN_ESCAPES = {"n": "\n", "t": "\t", "r": "\r", "b": "\b", "f": "\f", "v": "\v", "0": "\0"}
_LINE_ENDS = {"\n", "\r", "\r\n", "\u2028", "\u2029"}


class Duplicate(NamedTuple):
    """A key that is repeated in one object."""

    path: Path
    line: int
    first_line: int


@dataclass(slots=True, kw_only=True)
class Positions:
    """Line numbers by path, from 1; the line of an object member is that of its key."""

    line_by_path: dict[Path, int] = field(default_factory=dict)
    duplicates: list[Duplicate] = field(default_factory=list)

    def line_of(self, path: Path) -> int:
        """Return the line of a value, or of its nearest enclosing value if it does not exist."""
        while path and path not in self.line_by_path:
            path = path[:-1]
        return self.line_by_path.get(path, 1)


class _Token(NamedTuple):
    kind: str
    text: str
    line: int


def find_positions(text: str) -> Positions:
    """Return the lines of all values in a text that json5 accepts."""
    positions = Positions()
    tokens = _tokenize(text)
    first = next(tokens, None)
    if first is not None:
        _scan_value(first, tokens, (), first.line, positions)
    return positions


def json_path(path: Path) -> str:
    """Format a path in JSONPath notation, such as ``$.kinds[0].share``."""
    parts = [f"[{part}]" if isinstance(part, int) else f".{part}" for part in path]
    return "$" + "".join(parts)


def _tokenize(text: str) -> Iterator[_Token]:
    line = 1
    for match in _TOKEN.finditer(text):
        kind = str(match.lastgroup)
        if kind != "skip":
            yield _Token(kind, match.group(), line)
        line += match.group().count("\n")


def _scan_value(
    token: _Token, tokens: Iterator[_Token], path: Path, line: int, positions: Positions
) -> None:
    positions.line_by_path[path] = line
    if token.text == "{" and token.kind == "mark":
        _scan_object(tokens, path, positions)
    elif token.text == "[" and token.kind == "mark":
        _scan_array(tokens, path, positions)


def _scan_object(tokens: Iterator[_Token], path: Path, positions: Positions) -> None:
    for token in tokens:
        if token.kind == "mark":
            if token.text == "}":
                return
            continue
        member = (*path, _key_of(token))
        if member in positions.line_by_path:
            first_line = positions.line_by_path[member]
            positions.duplicates.append(Duplicate(member, token.line, first_line))
        next(tokens, None)
        value = next(tokens, None)
        if value is not None:
            _scan_value(value, tokens, member, token.line, positions)


def _scan_array(tokens: Iterator[_Token], path: Path, positions: Positions) -> None:
    index = 0
    for token in tokens:
        if token.kind == "mark" and token.text == "]":
            return
        if token.kind == "mark" and token.text == ",":
            continue
        _scan_value(token, tokens, (*path, index), token.line, positions)
        index += 1


def _key_of(token: _Token) -> str:
    text = token.text[1:-1] if token.kind == "string" else token.text
    if "\\" not in text:
        return text
    if token.text.startswith('"'):
        try:
            return str(json.loads(token.text))
        except ValueError:
            pass
    return _ESCAPE.sub(_unescape, text)


def _unescape(match: re.Match[str]) -> str:
    code = match.group(1) or match.group(2)
    if code:
        return chr(int(code, 16))
    rest = match.group(3)
    return "" if rest in _LINE_ENDS else _PLAIN_ESCAPES.get(rest, rest)
