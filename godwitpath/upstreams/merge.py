"""Conflict resolution between the known state of an upstream and a received fact."""

from __future__ import annotations

from typing import Literal

UpstreamState = Literal["serving", "leaving", "gone"]

_STATE_PRECEDENCE: dict[UpstreamState, int] = {"serving": 0, "leaving": 1, "gone": 2}


def supersedes(
    incarnation: int,
    state: UpstreamState,
    known_incarnation: int,
    known_state: UpstreamState,
) -> bool:
    """Return whether a received state replaces the known state.

    A higher incarnation wins. Within an incarnation, `gone` takes precedence over `leaving` and
    `leaving` over `serving`, so the result does not depend on the order of arrival.
    """
    if incarnation != known_incarnation:
        return incarnation > known_incarnation
    return _STATE_PRECEDENCE[state] > _STATE_PRECEDENCE[known_state]
