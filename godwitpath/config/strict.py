"""Base class of the classes decoded from settings and configuration texts."""

from __future__ import annotations

from pydantic import ConfigDict


class StrictFields:
    """Base class of decoded classes; an unknown field is reported as a finding."""

    __slots__ = ()
    __pydantic_config__ = ConfigDict(extra="forbid")
