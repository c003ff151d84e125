"""Decides which response belongs to a request, and what it proves.

A faulty engine may write a response once more, where the next one on the connection is expected, or
before the first. The request id that engines echo tells it apart, unless the engine got the same
request before.
"""

from __future__ import annotations

from godwitpath.gateway.wire_fields import EngineResponseFields

NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
"""Statuses that promise a caller that its request has not run and will not run."""


def needs_new_connection(repeatable: bool, has_id: bool, moved: bool) -> bool:
    """Return whether a request may only be sent on a connection that carried no other.

    :param repeatable: whether the request may run more than once
    :param has_id: whether the request has an id that the response echoes
    :param moved: whether the send continues a moved run, at an engine that may have refused the
        same request before
    """
    return not repeatable or not has_id or moved


def belongs_to_request(response: EngineResponseFields, has_id: bool, exchanges: int) -> bool:
    """Return whether a response that names no other request belongs to the one that was sent.

    A response to a request without an id can only be told apart by its connection.

    :param has_id: whether the request has an id that the response echoes
    :param exchanges: number of requests that the connection has carried, with this one
    """
    return response.names_request or (not has_id and exchanges == 1)


def is_unproven_refusal(status: int, not_run: bool) -> bool:
    """Return whether a response promises a caller more than its engine states.

    :param not_run: whether the engine states that it did not run the request
    """
    return status in NOT_RUN_STATUSES and not not_run
