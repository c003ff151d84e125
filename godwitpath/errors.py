"""Base classes of the errors that are shown to users.

Every error with a message for users derives from :class:`GodwitpathError`. Only the command line
catches the base class; it maps each error to an exit code.
"""

from __future__ import annotations

from dataclasses import dataclass


class GodwitpathError(Exception):
    """Base class of the errors with a message for users."""


@dataclass(slots=True, frozen=True)
class Finding:
    """A problem in a configuration or settings text, with its position.

    :ivar pointer: JSON pointer of the value (RFC 6901), empty for the top-level value
    :ivar message: description of the problem
    :ivar hint: suggested correction, or an empty string
    :ivar line: 1-based line of the value, 0 when unknown
    :ivar column: 1-based column of the value, 0 when unknown
    """

    pointer: str
    message: str
    hint: str = ""
    line: int = 0
    column: int = 0

    def __str__(self) -> str:
        position = f"{self.line}:{self.column}" if self.line else (self.pointer or "/")
        hint = f" ({self.hint})" if self.hint else ""
        return f"{position}: {self.pointer or '/'}: {self.message}{hint}"


class FindingsError(GodwitpathError):
    """A text has one or more findings; the error reports all of them together.

    :ivar source: name of the text, such as a file name
    :ivar findings: every finding, in text order
    """

    def __init__(self, source: str, findings: list[Finding]) -> None:
        self.source = source
        self.findings = findings
        lines = "\n".join(f"{source}:{finding}" for finding in findings)
        super().__init__(lines)
