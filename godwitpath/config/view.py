"""What the checks of a configuration's meaning see of it."""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import count
from typing import Any, TypeVar

from godwitpath.config.document import Document, Path
from godwitpath.config.model import Configuration
from godwitpath.errors import Finding

T = TypeVar("T")


@dataclass(slots=True)
class CheckedView:
    """A configuration, as far as it could be decoded, with its text.

    :ivar configuration: the decoded parts
    :ivar pruned: paths of the parts that could not be decoded
    """

    document: Document
    configuration: Configuration
    pruned: set[Path]

    def service_names(self) -> list[str]:
        """Return the names of all services that the text writes, sound or not."""
        return self._names("services")

    def sound(self, *paths: Path) -> bool:
        """Return whether the values at all paths were decoded from the text."""
        return not any(path[:n] in self.pruned for path in paths for n in range(len(path) + 1))

    def written(self, path: Path) -> bool:
        """Return whether the text gives a value for a path, so that it is no default."""
        value: Any = self.document.value
        for part in path:
            if not isinstance(value, dict) or part not in value:
                return False
            value = value[part]
        return True

    def items(self, path: Path, values: list[T]) -> Iterator[tuple[Path, T]]:
        """Yield the decoded items of a list with their paths in the text."""
        indexes = (index for index in count() if (*path, index) not in self.pruned)
        for index, value in zip(indexes, values, strict=False):
            yield (*path, index), value

    def between(self, path: Path, value: float, low: float, high: float) -> Iterator[Finding]:
        """Yield a finding when a number is not above a bound and at most another."""
        if not self.sound(path):
            return
        if math.isnan(value) or value <= low:
            yield self.document.finding(path, f"must be above {low:g}", _unit_hint(path))
        elif value > high:
            message = f"must be at most {high:g}"
            yield self.document.finding(path, message, _unit_hint(path))

    def _names(self, field: str) -> list[str]:
        raw: Any = self.document.value.get(field)
        return list(raw) if isinstance(raw, dict) else []


def _unit_hint(path: Path) -> str:
    """Return the unit that the field's suffix states."""
    name = str(path[-1])
    for suffix, unit in _UNITS.items():
        if name.endswith(suffix):
            return f"the unit is {unit}"
    return ""


_UNITS: dict[str, str] = {
    "_per_s": "a number a second",
    "_per_h": "the price of an hour",
    "_bytes": "bytes",
    "_s": "seconds",
}
