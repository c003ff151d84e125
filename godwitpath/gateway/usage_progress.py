"""Decides from where a duty holder continues the usage reports.

All reports of a window must have equal counts, also when the store forgets that the window was
reported. The counts are pinned in the store before the report, beside the fencing token of the
holder that pinned them. The token contains the store's era, so a pin of the current era is the last
one, and its counts are repeated. After a restore the last pins may be lost. Then the only ones who
know what was reported are a daemon that was confirmed as the holder so recently that no other
holder can have pinned a window since, and any holder about windows that end after it begins. What
the first holder of an era leaves out it states in the store, for its successors. A pin or a
statement that cannot be read counts as lost.

The decision has no access to the network and no clock. It answers the load of one holder and one
report a window, whatever the size of the deployment.
"""

from __future__ import annotations

from dataclasses import dataclass

from godwitpath.gateway.store import era_of
from godwitpath.gateway.usage_store import PinnedWindow, StoredUsage

TERM_SETTLE_SHARE = 0.4
"""Time after the start of a term in which a holder pins no window, as a share of the time within
which a window's report is due. The other daemons learn of the new holder and report their counts to
it. A daemon that was confirmed as the holder less long ago knows that no other holder has pinned a
window since."""


@dataclass(slots=True, frozen=True)
class Progress:
    """How far the usage reports are.

    :ivar pinned: the last pinned window, whose counts are final; None if unknown
    :ivar next_window: first window that may be pinned, 0 if unknown
    :ivar state_stored: whether the store holds the last pin, where one is known
    :ivar uncertain: whether any window that has ended may have been reported, with counts that are
        not known any more; such windows are left out
    """

    pinned: PinnedWindow | None
    next_window: int
    state_stored: bool
    uncertain: bool = False


def is_intact(stored: StoredUsage, token: int) -> bool:
    """Return whether the store still has all that holders wrote about usage reports.

    A store without a statement may have lost it.

    :param token: fencing token of the new term
    """
    return (
        stored.readable and stored.term is not None and era_of(stored.term.token) == era_of(token)
    )


def resume(stored: StoredUsage, token: int, own: Progress | None = None) -> Progress:
    """Return from where a holder continues the usage reports.

    :param token: fencing token of its term
    :param own: how far this daemon was itself, if nobody can have pinned or reported a window since
    """
    pinned, term = stored.pinned, stored.term
    intact = is_intact(stored, token)
    pinned_until = pinned.window + 1 if pinned is not None else 0
    if own is not None and pinned_until <= own.next_window:
        is_stored = own.pinned is None or (intact and pinned == own.pinned)
        return Progress(own.pinned, own.next_window, state_stored=is_stored)
    if not intact or term is None:
        known_until = max(pinned_until, term.next_window if term is not None else 0)
        return Progress(None, known_until, state_stored=False, uncertain=True)
    # A pin after the statement is of a holder of the build before, which writes none.
    is_final = term.pin_is_final or pinned_until > term.next_window
    if pinned is not None and is_final and pinned_until >= term.next_window:
        return Progress(pinned, pinned_until, state_stored=True)
    return Progress(None, max(term.next_window, pinned_until), state_stored=True)
