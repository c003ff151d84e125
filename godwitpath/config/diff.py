"""Differences between two configurations, value by value."""

from __future__ import annotations

import dataclasses
import json
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from godwitpath.config.document import Path, pointer_of
from godwitpath.config.model import Configuration


@dataclass(slots=True, frozen=True)
class Difference:
    """A value that differs between two configurations.

    :ivar pointer: JSON pointer of the value
    :ivar change: `added`, `removed` or `changed`
    :ivar old: JSON encoding of the old value, empty when added
    :ivar new: JSON encoding of the new value, empty when removed
    """

    pointer: str
    change: str
    old: str = ""
    new: str = ""

    def __str__(self) -> str:
        if self.change == "added":
            return f"+ {self.pointer}: {self.new}"
        if self.change == "removed":
            return f"- {self.pointer}: {self.old}"
        return f"~ {self.pointer}: {self.old} -> {self.new}"


def diff_configurations(old: Configuration, new: Configuration) -> list[Difference]:
    """Return the differences from an old to a new configuration.

    Both sides are compared with their defaults filled in, so only differences in meaning are
    returned.
    """
    return list(_compare((), dataclasses.asdict(old), dataclasses.asdict(new)))


def _compare(path: Path, old: Any, new: Any) -> Iterator[Difference]:
    if old == new:
        return
    if not isinstance(old, dict) or not isinstance(new, dict):
        yield Difference(pointer_of(path), "changed", _to_json(old), _to_json(new))
        return
    for name in [*old, *(name for name in new if name not in old)]:
        member_path = (*path, name)
        if name not in new:
            yield Difference(pointer_of(member_path), "removed", old=_to_json(old[name]))
        elif name not in old:
            yield Difference(pointer_of(member_path), "added", new=_to_json(new[name]))
        else:
            yield from _compare(member_path, old[name], new[name])


def _to_json(value: Any) -> str:
    return json.dumps(value, ensure_ascii=False)
