"""Base of the classes that are decoded from the operators' texts."""

from __future__ import annotations

from pydantic import ConfigDict


class StrictFields:
    """Base of decoded classes: a field that the class does not name is a finding."""

    __slots__ = ()
    __pydantic_config__ = ConfigDict(extra="forbid")
