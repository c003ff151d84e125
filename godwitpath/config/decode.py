"""Decoding of a JSON document into typed classes, with every finding and a hint for each."""

from __future__ import annotations

import copy
import dataclasses
import difflib
import json
import typing
from collections.abc import Hashable, Iterable
from dataclasses import dataclass
from functools import cache
from types import UnionType
from typing import Any, Generic, TypeVar, cast

from pydantic import TypeAdapter, ValidationError

from godwitpath.config.document import Document, Path
from godwitpath.errors import Finding

T = TypeVar("T")

_UNKNOWN_FIELD = frozenset({"unexpected_keyword_argument", "extra_forbidden"})
_MISSING = frozenset({"missing", "missing_argument"})
MAX_SHOWN_CHARS = 40
_KEY_MARK = "[key]"
_LEFT_OUT: Any = object()
"""Stands in a list for an item that was left out, so that the others keep their index."""


@dataclass(slots=True)
class Decoded(Generic[T]):
    """What could be decoded of a document.

    :ivar value: the typed value without the parts that are wrong; None when nothing was left
    :ivar findings: every finding of the decoding
    :ivar pruned: paths of the parts that were left out
    """

    value: T | None
    findings: list[Finding]
    pruned: set[Path]


def nearest_hint(name: str, known: Iterable[str]) -> str:
    """Return a hint that names what may have been meant, or what is known."""
    names = sorted(known)
    close = difflib.get_close_matches(name, names, n=1, cutoff=0.6)
    if close:
        return f"did you mean {close[0]}?"
    return f"known: {', '.join(names)}" if names else "none is defined"


def decode(document: Document, value: Any, kind: type[T]) -> Decoded[T]:
    """Decode a value into a typed class.

    Parts that are wrong are reported and left out, so that later checks still see the rest.

    :param document: text that the findings point at
    :param value: value to decode, the document's own or one merged over defaults
    """
    adapter: TypeAdapter[T] = _adapter(cast(Hashable, kind))
    remaining = copy.deepcopy(value)
    findings: list[Finding] = []
    pruned: set[Path] = set()
    while True:
        try:
            sound = adapter.validate_json(json.dumps(_compact(remaining)), strict=True)
        except ValidationError as error:
            details = [_located(remaining, detail) for detail in error.errors(include_url=False)]
        else:
            return Decoded(sound, findings, pruned)
        if not pruned:
            findings = [_finding(document, kind, detail) for detail in details]
        wrong = {_cut_path(detail) for detail in details}
        if () in wrong or not all(_remove(remaining, path) for path in _outermost(wrong)):
            return Decoded(None, findings, pruned)
        pruned |= wrong


@cache
def _adapter(kind: Hashable) -> TypeAdapter[Any]:
    """Return the decoder of a class, whose making takes tens of milliseconds."""
    return TypeAdapter(cast(Any, kind))


def _compact(value: Any) -> Any:
    """Return a copy of a value without the list items that were left out."""
    if isinstance(value, dict):
        return {name: _compact(item) for name, item in value.items()}
    if isinstance(value, list):
        return [_compact(item) for item in value if item is not _LEFT_OUT]
    return value


def _located(value: Any, detail: Any) -> Any:
    """Return an error's detail with its list indexes as they stand in the text."""
    path: list[str | int] = []
    for part in detail["loc"]:
        if isinstance(value, list) and isinstance(part, int):
            kept = [index for index, item in enumerate(value) if item is not _LEFT_OUT]
            part = kept[part]
        path.append(part)
        value = _child(value, part)
    return {**detail, "loc": tuple(path)}


def _child(value: Any, part: str | int) -> Any:
    if isinstance(value, list) and isinstance(part, int) and part < len(value):
        return value[part]
    return value.get(part) if isinstance(value, dict) else None


def _path(detail: Any) -> Path:
    return tuple(part for part in detail["loc"] if part != _KEY_MARK)


def _cut_path(detail: Any) -> Path:
    path = _path(detail)
    return path[:-1] if detail["type"] in _MISSING else path


def _outermost(paths: set[Path]) -> list[Path]:
    """Return the paths that no other path encloses."""
    return [path for path in paths if not any(path[:n] in paths for n in range(len(path)))]


def _remove(value: Any, path: Path) -> bool:
    """Take a part out of a value; returns whether there was one."""
    for part in path[:-1]:
        value = _child(value, part)
    last = path[-1]
    if _child(value, last) is None and not (isinstance(value, dict) and last in value):
        return False
    if isinstance(value, list) and isinstance(last, int):
        value[last] = _LEFT_OUT
    else:
        del value[last]
    return True


def _finding(document: Document, kind: Any, detail: Any) -> Finding:
    path = _path(detail)
    name = str(path[-1]) if path else ""
    if detail["type"] in _UNKNOWN_FIELD:
        fields = _field_names(kind, path[:-1])
        return document.finding(path, f"unknown field {name}", nearest_hint(name, fields))
    if detail["type"] in _MISSING:
        return document.finding(path, f"the field {name} is missing")
    if detail["type"] == "literal_error":
        expected = detail["ctx"]["expected"]
        message = f"unknown value {_short(detail['input'])}"
        return document.finding(path, message, f"one of {expected}")
    return document.finding(path, _plain(detail["msg"]))


def _short(value: Any) -> str:
    """Return the JSON form of a value, cut to a length that fits a message."""
    shown = json.dumps(value)
    return shown if len(shown) <= MAX_SHOWN_CHARS else shown[:MAX_SHOWN_CHARS] + "..."


def _plain(message: str) -> str:
    text = message.replace("Input should be", "must be").replace("Input must be", "must be")
    return text[:1].lower() + text[1:]


def _field_names(kind: Any, path: Path) -> list[str]:
    """Return the field names of the class that stands at a path below another class."""
    for part in path:
        kind = _below(kind, part)
    kind = _without_none(kind)
    if not dataclasses.is_dataclass(kind):
        return []
    return [item.name for item in dataclasses.fields(kind)]


def _below(kind: Any, part: str | int) -> Any:
    kind = _without_none(kind)
    if dataclasses.is_dataclass(kind):
        return typing.get_type_hints(kind).get(str(part))
    arguments = typing.get_args(kind)
    return arguments[-1] if arguments else None


def _without_none(kind: Any) -> Any:
    if isinstance(kind, UnionType) or typing.get_origin(kind) is typing.Union:
        return next((item for item in typing.get_args(kind) if item is not type(None)), None)
    return kind
