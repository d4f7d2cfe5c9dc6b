"""Line numbers of the keys in a TOML document, which tomllib does not provide.

The scan also limits what is passed to the parser: ``tomllib`` needs quadratic
time for a key of many parts and recurses for each level of nesting.
"""

from __future__ import annotations

__all__ = ["Path", "SourceIndex", "index_source"]

import re
from collections.abc import Iterator
from typing import NamedTuple

from .errors import ConfigurationError, ConfigurationProblem

Path = tuple[str | int, ...]

# The deepest key of the format has 6 parts, the deepest value 2 levels.
MAX_KEY_PARTS = 8
MAX_NESTING = 8

_TOKEN = re.compile(
    r"""[ \t\r]+|\#[^\n]*|\n|\"\"\"|'''|"(?:\\.|[^"\\\n])*"|'[^'\n]*'"""
    r"""|[\[\]{}=,.]|[^\s\[\]{}=,.\#"']+|.""",
    re.DOTALL,
)
_CLOSERS = {
    '"""': re.compile(r'(?:\\.|[^\\"]|"(?!""))*+"{3,5}', re.DOTALL),
    "'''": re.compile(r"(?:[^']|'(?!''))*+'{3,5}", re.DOTALL),
}


class SourceIndex(NamedTuple):
    """Lines of the keys and tables in a document.

    :param lines: line of each key, table and array element by path.
    :param headers: line and path of each ``[table]`` header, in order.
    """

    lines: dict[Path, int]
    headers: list[tuple[int, Path]]

    def line_of(self, path: Path) -> int:
        """Return the line of a path or of its nearest known parent, or 0."""
        for length in range(len(path), 0, -1):
            line = self.lines.get(path[:length])
            if line is not None:
                return line
        return 0


def index_source(text: str) -> SourceIndex:
    """Return the index of a document.

    The scan stops at an unterminated string; the parser reports it.

    :raises ConfigurationError: keys or values are nested too deeply.
    """
    scanner = _Scanner()
    for token, line in _tokenize(text):
        scanner.feed(token, line)
    return SourceIndex(scanner.lines, scanner.headers)


def _tokenize(text: str) -> Iterator[tuple[str, int]]:
    position, line = 0, 1
    while position < len(text):
        match = _TOKEN.match(text, position)
        token = match.group()
        start_line = line
        position = match.end()
        if token in _CLOSERS:
            body = _CLOSERS[token].match(text, position)
            if body is None:
                return
            line += body.group().count("\n")
            position = body.end()
            token = '"' + body.group()[:-3] + '"'
        elif token == "\n":
            line += 1
        elif token[0] in " \t\r#":
            continue
        yield token, start_line


class _Container:
    """An array or inline table that is not closed at the current position."""

    def __init__(self, opener: str, path: Path) -> None:
        self.opener = opener
        self.path = path
        self.index = 0


class _Scanner:
    """Tracks the structure of a document token by token."""

    def __init__(self) -> None:
        self.lines: dict[Path, int] = {}
        self.headers: list[tuple[int, Path]] = []
        self._table: Path = ()
        self._array_lengths: dict[Path, int] = {}
        self._open_containers: list[_Container] = []
        self._key_parts: list[str] = []
        self._value_path: Path = ()
        self._in_value = False
        self._header_brackets = 0

    def feed(self, token: str, line: int) -> None:
        """Process the next token."""
        if token == "\n":
            self._end_line(line)
        elif self._in_value:
            self._feed_value(token, line)
        else:
            self._feed_key(token, line)

    def _end_line(self, line: int) -> None:
        if self._header_brackets:
            self._enter_table(line)
        if not self._open_containers:
            self._in_value = False
            self._key_parts = []

    def _feed_key(self, token: str, line: int) -> None:
        inline = bool(self._open_containers)
        if token == "=":
            parent = self._open_containers[-1].path if inline else self._table
            self._value_path = parent + tuple(self._key_parts)
            self.lines.setdefault(self._value_path, line)
            self._key_parts = []
            self._in_value = True
        elif token == "[" and not inline:
            self._header_brackets += 1
        elif token == "}" and inline:
            self._open_containers.pop()
            self._in_value = True
        elif token not in ("]", ".", ","):
            self._key_parts.append(_unquote(token))
            self._check_depth(len(self._key_parts), MAX_KEY_PARTS, "key parts", line)

    def _feed_value(self, token: str, line: int) -> None:
        container = self._open_containers[-1] if self._open_containers else None
        if token == "," and container is not None:
            container.index += 1
            self._in_value = container.opener == "["
            return
        if token in "]}" and container is not None:
            self._open_containers.pop()
            return
        path = self._value_path
        if container is not None and container.opener == "[":
            path = (*container.path, container.index)
            self.lines.setdefault(path, line)
        if token in ("[", "{"):
            self._open_containers.append(_Container(token, path))
            self._check_depth(len(self._open_containers), MAX_NESTING, "levels", line)
            self._in_value = token == "["

    def _enter_table(self, line: int) -> None:
        path: Path = ()
        for position, part in enumerate(self._key_parts):
            path = (*path, part)
            is_last = position == len(self._key_parts) - 1
            if is_last and self._header_brackets > 1:
                length = self._array_lengths.get(path, 0)
                self._array_lengths[path] = length + 1
                self.lines.setdefault(path, line)
                path = (*path, length)
            elif path in self._array_lengths:
                path = (*path, self._array_lengths[path] - 1)
            self.lines.setdefault(path, line)
        self._table = path
        self.headers.append((line, path))
        self._header_brackets = 0

    def _check_depth(self, depth: int, limit: int, unit: str, line: int) -> None:
        if depth > limit:
            problem = ConfigurationProblem(
                line,
                "document",
                f"more than {limit} nested {unit}",
                "Flatten the document.",
            )
            raise ConfigurationError((problem,))


def _unquote(token: str) -> str:
    return token[1:-1] if token[0] in "\"'" and len(token) > 1 else token
