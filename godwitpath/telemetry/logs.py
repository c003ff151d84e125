"""Log lines: one JSON object a line, only for changes of state."""

from __future__ import annotations

from typing import IO, Any

import eliot

from godwitpath.security.redact import redact

MESSAGE_TYPE = "godwitpath:state_change"


def start_logging(stream: IO[Any], **fields: str) -> None:
    """Write every line to a stream.

    :param fields: added to every line, such as the entry's name and incarnation
    """
    eliot.add_global_fields(**fields)
    eliot.to_file(stream)


def state_change(subject: str, old: str, new: str, **ids: Any) -> None:
    """Write a line that says that something changed its state.

    :param subject: what changed, such as `entry`, `peer`, `upstream`, `configuration`, `duty`
    :param ids: identifiers and the reason: request, revision, incarnation
    """
    eliot.log_message(MESSAGE_TYPE, subject=subject, old=old, new=new, **redact(ids))
