"""Which of two statements about an upstream holds."""

from __future__ import annotations

from typing import Literal

UpstreamState = Literal["serving", "leaving", "gone"]

_RANKS: dict[UpstreamState, int] = {"serving": 0, "leaving": 1, "gone": 2}


def supersedes(
    incarnation: int,
    state: UpstreamState,
    known_incarnation: int,
    known_state: UpstreamState,
) -> bool:
    """Return whether a statement replaces what is known.

    A newer incarnation beats an older one; within an incarnation gone beats leaving and leaving
    beats serving, whatever order the statements come in.
    """
    if incarnation != known_incarnation:
        return incarnation > known_incarnation
    return _RANKS[state] > _RANKS[known_state]
