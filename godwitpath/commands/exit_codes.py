"""Exit codes of the command line, one for each family of errors."""

from __future__ import annotations

from functools import singledispatch

from godwitpath.config.submit import ConfigConflict, SubmissionUnknown
from godwitpath.errors import GodwitpathError
from godwitpath.ports.kv import StoreError, StoreUncertain

FAILED = 1
"""The error has no other exit code."""

WRONG_INPUT = 2
"""A file, an argument or an option is wrong; nothing was done."""

CONFLICT = 3
"""The change of another operator was accepted first; nothing was written."""

UNREACHABLE = 4
"""The key-value service or the entry did not respond, or refused; nothing was done."""

OUTCOME_UNKNOWN = 5
"""The response was lost, so the change may have been made; the message says how to check."""

NOT_FOUND = 6
"""The requested object does not exist."""


class EntryUnreachable(GodwitpathError):
    """The entry's operator address did not respond, or refused the request."""


class NotFound(GodwitpathError):
    """The requested object does not exist."""


@singledispatch
def exit_code(error: BaseException) -> int:
    """Return the exit code of an error."""
    return FAILED


@exit_code.register
def _(error: GodwitpathError) -> int:
    return WRONG_INPUT


@exit_code.register
def _(error: ConfigConflict) -> int:
    return CONFLICT


@exit_code.register(StoreError)
@exit_code.register(EntryUnreachable)
def _(error: GodwitpathError) -> int:
    return UNREACHABLE


@exit_code.register(StoreUncertain)
@exit_code.register(SubmissionUnknown)
def _(error: GodwitpathError) -> int:
    return OUTCOME_UNKNOWN


@exit_code.register
def _(error: NotFound) -> int:
    return NOT_FOUND
