"""Input of the semantic checks: the decoded configuration and its text."""

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
class ConfigurationView:
    """The parts of a configuration that could be decoded, and its text.

    :ivar document: JSON text, which gives the positions of findings
    :ivar configuration: decoded parts
    :ivar pruned: paths of the parts that could not be decoded
    """

    document: Document
    configuration: Configuration
    pruned: set[Path]

    def service_names(self) -> list[str]:
        """Return the names of all services in the text, including those that were not decoded."""
        return self._names("services")

    def is_decoded(self, *paths: Path) -> bool:
        """Return whether every value at these paths, and every enclosing value, was decoded."""
        return not any(path[:n] in self.pruned for path in paths for n in range(len(path) + 1))

    def is_explicit(self, path: Path) -> bool:
        """Return whether the text sets the value at a path, so that the value is not a default."""
        value: Any = self.document.value
        for part in path:
            if not isinstance(value, dict) or part not in value:
                return False
            value = value[part]
        return True

    def items(self, path: Path, values: list[T]) -> Iterator[tuple[Path, T]]:
        """Yield the decoded items of a list with their paths in the text.

        An item that failed to decode keeps its index, so the paths of later items stay correct.
        """
        indexes = (index for index in count() if (*path, index) not in self.pruned)
        for index, value in zip(indexes, values, strict=False):
            yield (*path, index), value

    def check_range(self, path: Path, value: float, low: float, high: float) -> Iterator[Finding]:
        """Yield a finding when a number is not above `low`, or is above `high`."""
        if not self.is_decoded(path):
            return
        if math.isnan(value) or value <= low:
            yield self.document.finding(path, f"must be above {low:g}", _unit_hint(path))
        elif value > high:
            message = f"must be at most {high:g}"
            yield self.document.finding(path, message, _unit_hint(path))

    def _names(self, field: str) -> list[str]:
        """Return the names in a top-level object of the text."""
        raw: Any = self.document.value.get(field)
        return list(raw) if isinstance(raw, dict) else []


def _unit_hint(path: Path) -> str:
    """Return a hint on the unit that the suffix of a field name denotes, empty for no unit."""
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
