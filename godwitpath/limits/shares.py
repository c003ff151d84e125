"""The part of an account's limit that an entry may use: its base share, with loans.

Every entry has a base share, one part in as many as there are entries. An entry that needs more
borrows from those that need less. A loan is taken off the lender before it is told, and it ends at
the borrower, counted from the moment of asking, before it ends at the lender, counted from the
moment of granting. Lost, late, doubled or reordered messages therefore only ever leave shares
unused, and the sum of all shares stays within the sum of the base shares.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

LOAN_S = 2.0
"""Length of a loan at the borrower, from the moment it asked."""

LENDER_FACTOR = 1.05
"""Factor on the length of a loan at the lender, for clocks that run at different rates."""

RENEW_BEFORE_S = 0.75
"""How long before its end a loan is no longer counted on, so that it is asked for again."""

PARTITION_FACTOR = 2.0
"""Most by which the sum of all shares passes the limit while entries cannot hear one another."""


@dataclass(slots=True, frozen=True)
class Loan:
    """A part of the limit that moved, until a time.

    :ivar share: part of the written limit
    """

    share: float
    until_s: float

    def active_s(self, start_s: float, end_s: float) -> float:
        """Return for how long the loan runs within an interval."""
        return max(0.0, min(self.until_s, end_s) - start_s)


@dataclass(slots=True)
class MemberCount:
    """How many entries share a limit, never taken as less than half of those known to exist.

    An entry that was cut off looks like one that died. Only the platform's list of instances,
    which does not depend on hearing it, lowers the count further.

    :ivar live: entries heard
    :ivar known: most entries heard since the list was last read, or listed then
    """

    live: int = 1
    known: int = 1

    def observe(self, live: int, listed: int | None = None) -> None:
        """Note the entries heard, this one included, and the entries listed, if just read."""
        self.live = max(1, live)
        self.known = max(self.live, self.known if listed is None else listed)

    @property
    def divisor(self) -> float:
        """Number of entries that the limit is divided by."""
        return max(float(self.live), self.known / PARTITION_FACTOR)


@dataclass(slots=True)
class ShareBook:
    """Loans of one account at one entry."""

    borrowed: list[Loan] = field(default_factory=list)
    lent: list[Loan] = field(default_factory=list)

    def share(self, base: float, now_s: float) -> float:
        """Return the part of the limit that this entry may use now."""
        return max(0.0, base + _sum(self.borrowed, now_s) - _sum(self.lent, now_s))

    def lasting(self, base: float, now_s: float) -> float:
        """Return the part that is left when the loans that end soon are not counted on."""
        lasting = _sum(self.borrowed, now_s + RENEW_BEFORE_S)
        return max(0.0, base + lasting - _sum(self.lent, now_s))

    def integral(self, base: float, start_s: float, end_s: float) -> float:
        """Return the share summed over an interval in which no loan began."""
        gained = sum(loan.share * loan.active_s(start_s, end_s) for loan in self.borrowed)
        given = sum(loan.share * loan.active_s(start_s, end_s) for loan in self.lent)
        return max(0.0, base * (end_s - start_s) + gained - given)

    def lend(self, want: float, own: float, base: float, now_s: float) -> float:
        """Lend what is wanted, as far as this entry does not need its base share itself.

        :param own: part of the limit that this entry needs
        :returns: the part lent, 0 for nothing
        """
        spare = base - max(own, 0.0) - _sum(self.lent, now_s)
        share = min(want, spare)
        if share <= 0.0:
            return 0.0
        self.lent.append(Loan(share, now_s + LOAN_S * LENDER_FACTOR))
        return share

    def borrow(self, share: float, asked_at_s: float, now_s: float) -> None:
        """Take in a loan; one that comes too late is not used."""
        loan = Loan(share, asked_at_s + LOAN_S)
        if share > 0.0 and loan.until_s > now_s:
            self.borrowed.append(loan)

    def expire(self, now_s: float) -> None:
        """Drop the loans that ended."""
        self.borrowed = [loan for loan in self.borrowed if loan.until_s > now_s]
        self.lent = [loan for loan in self.lent if loan.until_s > now_s]


def _sum(loans: Iterable[Loan], at_s: float) -> float:
    return sum(loan.share for loan in loans if loan.until_s > at_s)
