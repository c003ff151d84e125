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

RENEW_BEFORE_S = 1.2
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
    """Loans of one account at one entry.

    :ivar borrowed: latest loan of each lender
    :ivar lent: loans to each borrower that have not ended; the largest of them counts
    """

    borrowed: dict[str, Loan] = field(default_factory=dict)
    lent: dict[str, list[Loan]] = field(default_factory=dict)

    def share(self, base: float, now_s: float) -> float:
        """Return the part of the limit that this entry may use now."""
        return max(0.0, base + _sum(self.borrowed.values(), now_s) - self._lent(now_s))

    def lasting(self, base: float, now_s: float) -> float:
        """Return the part that is left when the loans that end soon are not counted on."""
        gained = sum(self.lasting_from(lender, now_s) for lender in self.borrowed)
        return max(0.0, base + gained - self._lent(now_s))

    def lasting_from(self, lender: str, now_s: float) -> float:
        """Return the part borrowed from an entry, if the loan does not end soon."""
        loan = self.borrowed.get(lender)
        return loan.share if loan and loan.until_s > now_s + RENEW_BEFORE_S else 0.0

    def ending(self, now_s: float) -> list[str]:
        """Return the lenders whose loans end soon."""
        return [lender for lender in self.borrowed if not self.lasting_from(lender, now_s)]

    def integral(self, base: float, start_s: float, end_s: float) -> float:
        """Return the share summed over an interval in which no loan began."""
        gained = sum(loan.share * loan.active_s(start_s, end_s) for loan in self.borrowed.values())
        given = sum(
            max(loan.share for loan in loans) * max(loan.active_s(start_s, end_s) for loan in loans)
            for loans in self.lent.values()
        )
        return max(0.0, base * (end_s - start_s) + gained - given)

    def lend(self, borrower: str, want: float, own: float, base: float, now_s: float) -> float:
        """Lend an entry what it wants in all, as far as the base share is not needed here.

        :param want: part wanted, with what the borrower has from here already
        :param own: part of the limit that this entry needs
        :returns: the part that the borrower now has from here, 0 for no loan
        """
        spare = base - max(own, 0.0) - self._lent(now_s, except_to=borrower)
        share = min(want, spare)
        if share <= 0.0:
            return 0.0
        loan = Loan(share, now_s + LOAN_S * LENDER_FACTOR)
        # Whether the borrower hears of this loan is not known, so earlier ones still count.
        self.lent.setdefault(borrower, []).append(loan)
        return share

    def borrow(self, lender: str, share: float, asked_at_s: float, now_s: float) -> None:
        """Take in a loan; one that comes too late, or after a later one, is not used."""
        loan = Loan(share, asked_at_s + LOAN_S)
        known = self.borrowed.get(lender)
        later = known is None or loan.until_s > known.until_s
        if share > 0.0 and loan.until_s > now_s and later:
            self.borrowed[lender] = loan

    def expire(self, now_s: float) -> None:
        """Drop the loans that ended."""
        self.borrowed = {name: loan for name, loan in self.borrowed.items() if loan.until_s > now_s}
        for borrower, loans in list(self.lent.items()):
            self.lent[borrower] = [loan for loan in loans if loan.until_s > now_s]
            if not self.lent[borrower]:
                del self.lent[borrower]

    def _lent(self, at_s: float, except_to: str = "") -> float:
        return sum(
            max((loan.share for loan in loans if loan.until_s > at_s), default=0.0)
            for borrower, loans in self.lent.items()
            if borrower != except_to
        )


def _sum(loans: Iterable[Loan], at_s: float) -> float:
    return sum(loan.share for loan in loans if loan.until_s > at_s)
