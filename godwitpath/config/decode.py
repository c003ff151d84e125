"""Decodes a JSON document into typed classes and reports every finding, with hints."""

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

_UNKNOWN_FIELD_TYPES = frozenset({"unexpected_keyword_argument", "extra_forbidden"})
_MISSING_FIELD_TYPES = frozenset({"missing", "missing_argument"})
MAX_SHOWN_CHARS = 40
_KEY_MARKER = "[key]"
"""Last part of the location of a pydantic error on a dictionary key."""

_REMOVED: Any = object()
"""Placeholder for a removed list item, so that the other items keep their indexes."""


@dataclass(slots=True)
class Decoded(Generic[T]):
    """Result of decoding a document.

    :ivar value: typed value without the invalid parts; None when the rest could not be decoded
    :ivar findings: all findings of the decoding
    :ivar pruned: paths of the removed parts
    """

    value: T | None
    findings: list[Finding]
    pruned: set[Path]


def nearest_hint(name: str, known: Iterable[str]) -> str:
    """Return a hint with the known name most similar to an unknown one, or with all known names."""
    names = sorted(known)
    similar = difflib.get_close_matches(name, names, n=1, cutoff=0.6)
    if similar:
        return f"did you mean {similar[0]}?"
    return f"known: {', '.join(names)}" if names else "none is defined"


def decode(document: Document, value: Any, target: type[T]) -> Decoded[T]:
    """Decode a value into a typed class.

    Invalid parts are reported and removed, so that later checks can run on the rest.

    :param document: text that gives the positions of findings
    :param value: value to decode: the value of the document, alone or merged over defaults
    :param target: dataclass to decode into
    """
    adapter: TypeAdapter[T] = _adapter(cast(Hashable, target))
    remaining = copy.deepcopy(value)
    findings: list[Finding] = []
    pruned: set[Path] = set()
    while True:
        try:
            decoded = adapter.validate_json(json.dumps(_without_removed(remaining)), strict=True)
        except ValidationError as error:
            details = [
                _with_text_indexes(remaining, detail) for detail in error.errors(include_url=False)
            ]
        else:
            return Decoded(decoded, findings, pruned)
        if not pruned:
            findings = [_finding(document, target, detail) for detail in details]
        invalid_paths = {_path_to_remove(detail) for detail in details}
        if () in invalid_paths or not all(
            _remove(remaining, path) for path in _outermost(invalid_paths)
        ):
            return Decoded(None, findings, pruned)
        pruned |= invalid_paths


@cache
def _adapter(target: Hashable) -> TypeAdapter[Any]:
    """Return the cached decoder of a class; building one takes tens of milliseconds."""
    return TypeAdapter(cast(Any, target))


def _without_removed(value: Any) -> Any:
    """Return a copy of a value without the placeholders of removed list items."""
    if isinstance(value, dict):
        return {name: _without_removed(item) for name, item in value.items()}
    if isinstance(value, list):
        return [_without_removed(item) for item in value if item is not _REMOVED]
    return value


def _with_text_indexes(value: Any, detail: Any) -> Any:
    """Return the details of an error with list indexes as in the text, with removed items."""
    path: list[str | int] = []
    for part in detail["loc"]:
        if isinstance(value, list) and isinstance(part, int):
            kept_indexes = [index for index, item in enumerate(value) if item is not _REMOVED]
            part = kept_indexes[part]
        path.append(part)
        value = _child(value, part)
    return {**detail, "loc": tuple(path)}


def _child(value: Any, part: str | int) -> Any:
    if isinstance(value, list) and isinstance(part, int) and part < len(value):
        return value[part]
    return value.get(part) if isinstance(value, dict) else None


def _path(detail: Any) -> Path:
    return tuple(part for part in detail["loc"] if part != _KEY_MARKER)


def _path_to_remove(detail: Any) -> Path:
    """Return the path of the part to remove; for a missing field, the path of its object."""
    path = _path(detail)
    return path[:-1] if detail["type"] in _MISSING_FIELD_TYPES else path


def _outermost(paths: set[Path]) -> list[Path]:
    """Return the paths that are not below another path of the set."""
    return [path for path in paths if not any(path[:n] in paths for n in range(len(path)))]


def _remove(value: Any, path: Path) -> bool:
    """Remove the part at a path from a value.

    :returns: whether the value had the part
    """
    for part in path[:-1]:
        value = _child(value, part)
    last = path[-1]
    if _child(value, last) is None and not (isinstance(value, dict) and last in value):
        return False
    if isinstance(value, list) and isinstance(last, int):
        value[last] = _REMOVED
    else:
        del value[last]
    return True


def _finding(document: Document, type_: Any, detail: Any) -> Finding:
    path = _path(detail)
    name = str(path[-1]) if path else ""
    if detail["type"] in _UNKNOWN_FIELD_TYPES:
        fields = _field_names(type_, path[:-1])
        return document.finding(path, f"unknown field {name}", nearest_hint(name, fields))
    if detail["type"] in _MISSING_FIELD_TYPES:
        return document.finding(path, f"the field {name} is missing")
    if detail["type"] == "literal_error":
        expected = detail["ctx"]["expected"]
        message = f"unknown value {_truncated_json(detail['input'])}"
        return document.finding(path, message, f"one of {expected}")
    return document.finding(path, _reworded(detail["msg"]))


def _truncated_json(value: Any) -> str:
    """Return the JSON encoding of a value, truncated for use in a message."""
    encoded = json.dumps(value)
    return encoded if len(encoded) <= MAX_SHOWN_CHARS else encoded[:MAX_SHOWN_CHARS] + "..."


def _reworded(message: str) -> str:
    """Return a pydantic message in the wording of the other findings."""
    text = message.replace("Input should be", "must be").replace("Input must be", "must be")
    return text[:1].lower() + text[1:]


def _field_names(type_: Any, path: Path) -> list[str]:
    """Return the field names of the dataclass reached by following a path from `type_`.

    The list is empty if the path does not lead to a dataclass.
    """
    for part in path:
        type_ = _part_type(type_, part)
    type_ = _without_none(type_)
    if not dataclasses.is_dataclass(type_):
        return []
    return [item.name for item in dataclasses.fields(type_)]


def _part_type(type_: Any, part: str | int) -> Any:
    """Return the type of a field or item of a type, None when unknown."""
    type_ = _without_none(type_)
    if dataclasses.is_dataclass(type_):
        return typing.get_type_hints(type_).get(str(part))
    arguments = typing.get_args(type_)
    return arguments[-1] if arguments else None


def _without_none(type_: Any) -> Any:
    """Return the first type of a union that is not None, or the type itself if not a union."""
    if isinstance(type_, UnionType) or typing.get_origin(type_) is typing.Union:
        return next((item for item in typing.get_args(type_) if item is not type(None)), None)
    return type_
