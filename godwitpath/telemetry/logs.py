"""Log lines of state changes: one JSON object per line."""

from __future__ import annotations

from typing import IO, Any

import eliot

from godwitpath.security.redact import redact

STATE_CHANGE_TYPE = "godwitpath:state_change"


def start_logging(stream: IO[Any], **fields: str) -> None:
    """Write all further log lines to a stream.

    :param fields: fields added to every line, such as the entry's name and incarnation
    """
    eliot.add_global_fields(**fields)
    eliot.to_file(stream)


def state_change(subject: str, old: str, new: str, **details: Any) -> None:
    """Write a line for a change of state.

    :param subject: kind of object that changed, such as `entry`, `peer`, `upstream`,
        `configuration`, `duty`
    :param old: state before the change
    :param new: state after the change
    :param details: identifiers, such as request, revision and incarnation, and the reason
    """
    eliot.log_message(STATE_CHANGE_TYPE, subject=subject, old=old, new=new, **redact(details))
