"""The family of errors whose text is meant for people.

Every error that a person may read derives from :class:`GodwitpathError`. The command line is the
only place that catches the family and turns it into an exit code.
"""

from __future__ import annotations

from dataclasses import dataclass


class GodwitpathError(Exception):
    """Base of the errors whose message is shown to a person."""


@dataclass(slots=True, frozen=True)
class Finding:
    """One thing that is wrong with a text, and where.

    :ivar pointer: JSON pointer of the value (RFC 6901), empty for the whole text
    :ivar message: what is wrong, as one sentence
    :ivar hint: what to write instead, or an empty string
    :ivar line: line of the value counted from 1, 0 when unknown
    :ivar column: column of the value counted from 1, 0 when unknown
    """

    pointer: str
    message: str
    hint: str = ""
    line: int = 0
    column: int = 0

    def __str__(self) -> str:
        place = f"{self.line}:{self.column}" if self.line else (self.pointer or "/")
        hint = f" ({self.hint})" if self.hint else ""
        return f"{place}: {self.pointer or '/'}: {self.message}{hint}"


class FindingsError(GodwitpathError):
    """A text with one or more findings, all reported together.

    :ivar source: name of the text, such as a file name
    :ivar findings: every finding, in the order of the text
    """

    def __init__(self, source: str, findings: list[Finding]) -> None:
        self.source = source
        self.findings = findings
        lines = "\n".join(f"{source}:{finding}" for finding in findings)
        super().__init__(lines)
