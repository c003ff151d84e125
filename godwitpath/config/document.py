"""Decodes a JSON text and records the position of every value, for use in findings."""

from __future__ import annotations

import json
import re
from collections.abc import Generator
from dataclasses import dataclass, field
from json.decoder import scanstring  # type: ignore[attr-defined]
from typing import Any

from godwitpath.errors import Finding, FindingsError

Path = tuple[str | int, ...]
"""Names and indexes from the top-level value to a nested value."""

_OffsetWalk = Generator[tuple[Path, int], None, int]
"""Yields the path and character offset of each value; returns the offset after the last value."""

MAX_DEPTH = 64
"""Maximum nesting depth of objects and lists in a text."""

SCHEMA_FIELD = "$schema"
"""Top-level field with the schema of the text; editors read the field, decoding ignores it."""

_WHITESPACE = re.compile(r"[ \t\n\r]*")
_SCALAR = re.compile(r"[^ \t\n\r,\]}]+")


def pointer_of(parts: Path) -> str:
    """Return the JSON pointer (RFC 6901) of a path of names and indexes."""
    return "".join("/" + _escaped(str(part)) for part in parts)


def _escaped(name: str) -> str:
    """Return a name escaped for a JSON pointer; lone surrogates become backslash escapes."""
    encodable = name.encode("utf-8", "backslashreplace").decode()
    return encodable.replace("~", "~0").replace("/", "~1")


@dataclass(slots=True)
class Document:
    """A decoded JSON text.

    :ivar source: name of the text, such as a file name
    :ivar text: JSON text
    :ivar value: decoded value, without the `$schema` field
    :ivar findings: findings on the text itself, such as duplicate names in an object
    """

    source: str
    text: str
    value: Any
    findings: list[Finding] = field(default_factory=list)
    _offsets: dict[str, int] = field(default_factory=dict)

    def finding(self, path: Path, message: str, hint: str = "") -> Finding:
        """Return a finding at a path, with the position that :meth:`position_of` returns."""
        line, column = self.position_of(path)
        encodable = message.encode("utf-8", "backslashreplace").decode()
        return Finding(pointer_of(path), encodable, hint, line, column)

    def position_of(self, path: Path) -> tuple[int, int]:
        """Return the line and the column of the value at a path.

        :returns: position of the nearest enclosing value when the text has no value at the path,
            and (0, 0) when it has none of these
        """
        for length in range(len(path), -1, -1):
            offset = self._offsets.get(pointer_of(path[:length]))
            if offset is not None:
                return _line_and_column(self.text, offset)
        return 0, 0


def read_document(source: str, text: str) -> Document:
    """Decode a JSON text and record the positions of its values.

    :param source: name of the text in findings, such as a file name
    :param text: JSON text
    :raises FindingsError: the text is not JSON, or is nested too deeply
    """
    try:
        value = json.loads(text, parse_constant=_reject_non_json_number)
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


def _reject_non_json_number(name: str) -> Any:
    raise ValueError(f"{name} is not a JSON number")


def _line_and_column(text: str, offset: int) -> tuple[int, int]:
    line = text.count("\n", 0, offset) + 1
    column = offset - (text.rfind("\n", 0, offset) + 1) + 1
    return line, column


class _Locator:
    """Records the start of each value of a text that was already validated as JSON."""

    __slots__ = ("_document", "_text")

    def __init__(self, document: Document) -> None:
        self._document = document
        self._text = document.text

    def run(self) -> None:
        """Add the offsets of all values and the findings on duplicate names to the document."""
        for path, offset in self._walk_value(self._skip_whitespace(0), ()):
            self._document._offsets[pointer_of(path)] = offset

    def _walk_value(self, offset: int, path: Path) -> _OffsetWalk:
        yield path, offset
        if len(path) > MAX_DEPTH:
            finding = Finding("", f"nested deeper than {MAX_DEPTH} levels", "", 1, 1)
            raise FindingsError(self._document.source, [finding])
        opening = self._text[offset]
        if opening == "{":
            return (yield from self._walk_members(offset + 1, path))
        if opening == "[":
            return (yield from self._walk_items(offset + 1, path))
        if opening == '"':
            return int(scanstring(self._text, offset + 1, True)[1])
        match = _SCALAR.match(self._text, offset)
        return match.end() if match else offset + 1

    def _walk_members(self, offset: int, path: Path) -> _OffsetWalk:
        first_lines: dict[str, int] = {}
        offset = self._skip_whitespace(offset)
        while self._text[offset] != "}":
            name, end = scanstring(self._text, offset + 1, True)
            self._record_name(first_lines, name, offset, path)
            offset = self._skip_whitespace(self._skip_whitespace(end) + 1)
            offset = self._skip_whitespace((yield from self._walk_value(offset, (*path, name))))
            if self._text[offset] == ",":
                offset = self._skip_whitespace(offset + 1)
        return offset + 1

    def _walk_items(self, offset: int, path: Path) -> _OffsetWalk:
        index = 0
        offset = self._skip_whitespace(offset)
        while self._text[offset] != "]":
            offset = self._skip_whitespace((yield from self._walk_value(offset, (*path, index))))
            index += 1
            if self._text[offset] == ",":
                offset = self._skip_whitespace(offset + 1)
        return offset + 1

    def _record_name(self, first_lines: dict[str, int], name: str, offset: int, path: Path) -> None:
        line, column = _line_and_column(self._text, offset)
        if name in first_lines:
            hint = f"first on line {first_lines[name]}; only the last would count"
            pointer = pointer_of((*path, name))
            escaped_name = pointer.rsplit("/", 1)[1]
            message = f"the name {escaped_name} stands twice in one object"
            self._document.findings.append(Finding(pointer, message, hint, line, column))
        first_lines.setdefault(name, line)

    def _skip_whitespace(self, offset: int) -> int:
        match = _WHITESPACE.match(self._text, offset)
        return match.end() if match else offset
