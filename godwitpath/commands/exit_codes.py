"""Exit codes of the command line, one for each family of errors."""

from __future__ import annotations

from functools import singledispatch

from godwitpath.config.submit import ConfigConflict, SubmissionUnknown
from godwitpath.errors import GodwitpathError
from godwitpath.ports.kv import StoreError, StoreUncertain

FAILED = 1
"""Something went wrong that no other code names."""

WRONG_INPUT = 2
"""A file, an argument or an option is wrong; nothing was done."""

CONFLICT = 3
"""Another operator came first; nothing was written."""

UNREACHABLE = 4
"""The key-value service or the entry did not answer; nothing was done."""

OUTCOME_UNKNOWN = 5
"""The answer was lost; the message says how to find out what happened."""

NOT_FOUND = 6
"""What was asked for is not there."""


class EntryUnreachable(GodwitpathError):
    """The entry's operator address did not answer or refused the request."""


class NotFound(GodwitpathError):
    """What was asked for is not there."""


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
