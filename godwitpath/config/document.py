"""A JSON text with the place of every value, for findings that point at the text."""

from __future__ import annotations

import json
import re
from collections.abc import Generator
from dataclasses import dataclass, field
from json.decoder import scanstring  # type: ignore[attr-defined]
from typing import Any

from godwitpath.errors import Finding, FindingsError

Path = tuple[str | int, ...]
"""Names and indexes that lead to a value."""

_Walk = Generator[tuple[Path, int], None, int]
"""Yields path and position of each value; returns the position after the last."""

MAX_DEPTH = 64
"""Deepest nesting of objects and lists that a text may have."""

SCHEMA_FIELD = "$schema"
"""Field at the top of a text that names its schema to an editor."""

_SPACE = re.compile(r"[ \t\n\r]*")
_SCALAR = re.compile(r"[^ \t\n\r,\]}]+")


def pointer_of(parts: Path) -> str:
    """Return the JSON pointer (RFC 6901) of a path of names and indexes."""
    return "".join("/" + _printable(str(part)) for part in parts)


def _printable(name: str) -> str:
    whole = name.encode("utf-8", "backslashreplace").decode()
    return whole.replace("~", "~0").replace("/", "~1")


@dataclass(slots=True)
class Document:
    """A decoded JSON text.

    :ivar source: name of the text, such as a file name
    :ivar value: the decoded value
    :ivar findings: what is wrong with the text itself, such as names that stand twice
    """

    source: str
    text: str
    value: Any
    findings: list[Finding] = field(default_factory=list)
    _places: dict[str, int] = field(default_factory=dict)

    def finding(self, path: Path, message: str, hint: str = "") -> Finding:
        """Return a finding at a path; an absent value is placed at what encloses it."""
        line, column = self.place(path)
        shown = message.encode("utf-8", "backslashreplace").decode()
        return Finding(pointer_of(path), shown, hint, line, column)

    def place(self, path: Path) -> tuple[int, int]:
        """Return line and column of a path, or of the nearest enclosing value."""
        for length in range(len(path), -1, -1):
            position = self._places.get(pointer_of(path[:length]))
            if position is not None:
                return _line_and_column(self.text, position)
        return 0, 0


def read_document(source: str, text: str) -> Document:
    """Decode a JSON text and locate its values.

    :param source: name of the text for findings
    :raises FindingsError: the text is not JSON, or is nested too deeply
    """
    try:
        value = json.loads(text, parse_constant=_refuse_constant)
    except json.JSONDecodeError as error:
        finding = Finding("", f"not JSON: {error.msg}", "", error.lineno, error.colno)
        raise FindingsError(source, [finding]) from error
    except (ValueError, RecursionError) as error:
        message = "nested too deeply" if isinstance(error, RecursionError) else str(error)
        raise FindingsError(source, [Finding("", f"not JSON: {message}", "", 1, 1)]) from error
    document = Document(source, text, value)
    _Locator(document).run()
    if isinstance(value, dict):
        value.pop(SCHEMA_FIELD, None)
    return document


def _refuse_constant(name: str) -> Any:
    raise ValueError(f"{name} is not a JSON number")


def _line_and_column(text: str, position: int) -> tuple[int, int]:
    line = text.count("\n", 0, position) + 1
    column = position - (text.rfind("\n", 0, position) + 1) + 1
    return line, column


class _Locator:
    """Walks over a text that is known to be JSON and notes where each value starts."""

    __slots__ = ("_document", "_text")

    def __init__(self, document: Document) -> None:
        self._document = document
        self._text = document.text

    def run(self) -> None:
        """Fill the document's places and its findings on names that stand twice."""
        for path, position in self._value(self._skip(0), ()):
            self._document._places[pointer_of(path)] = position

    def _value(self, position: int, path: Path) -> _Walk:
        yield path, position
        if len(path) > MAX_DEPTH:
            finding = Finding("", f"nested deeper than {MAX_DEPTH} levels", "", 1, 1)
            raise FindingsError(self._document.source, [finding])
        opening = self._text[position]
        if opening == "{":
            return (yield from self._members(position + 1, path))
        if opening == "[":
            return (yield from self._items(position + 1, path))
        if opening == '"':
            return int(scanstring(self._text, position + 1, True)[1])
        match = _SCALAR.match(self._text, position)
        return match.end() if match else position + 1

    def _members(self, position: int, path: Path) -> _Walk:
        seen: dict[str, int] = {}
        position = self._skip(position)
        while self._text[position] != "}":
            name, end = scanstring(self._text, position + 1, True)
            self._note_name(seen, name, position, path)
            position = self._skip(self._skip(end) + 1)
            position = self._skip((yield from self._value(position, (*path, name))))
            if self._text[position] == ",":
                position = self._skip(position + 1)
        return position + 1

    def _items(self, position: int, path: Path) -> _Walk:
        index = 0
        position = self._skip(position)
        while self._text[position] != "]":
            position = self._skip((yield from self._value(position, (*path, index))))
            index += 1
            if self._text[position] == ",":
                position = self._skip(position + 1)
        return position + 1

    def _note_name(self, seen: dict[str, int], name: str, position: int, path: Path) -> None:
        line, column = _line_and_column(self._text, position)
        if name in seen:
            hint = f"first on line {seen[name]}; only the last would count"
            pointer = pointer_of((*path, name))
            shown = pointer.rsplit("/", 1)[1]
            message = f"the name {shown} stands twice in one object"
            self._document.findings.append(Finding(pointer, message, hint, line, column))
        seen.setdefault(name, line)

    def _skip(self, position: int) -> int:
        match = _SPACE.match(self._text, position)
        return match.end() if match else position
