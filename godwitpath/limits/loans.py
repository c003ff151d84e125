"""The share of an account's limit that an entry may use: a base share, changed by loans.

The base share of each entry is the limit divided by the number of entries. An entry that needs
more borrows from entries that need less. The lender deducts a loan before it sends the grant. At
the borrower the loan ends earlier than at the lender, as the borrower counts its duration from
the request and the lender from the grant. Lost, late, duplicated or reordered messages can
therefore only leave shares unused, and the sum of all shares stays within the sum of the base
shares.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

LOAN_DURATION_S = 2.0
"""Duration of a loan at the borrower, counted from the sending of the request."""

LENDER_DURATION_FACTOR = 1.05
"""Factor on the duration of a loan at the lender, as clocks may run at different rates."""

RENEW_BEFORE_S = 1.2
"""Time before the end of a loan from which the borrower renews it.

From then on the loan does not count towards the stable share.
"""

PARTITION_FACTOR = 2.0
"""Largest ratio of the sum of all shares to the limit during a network partition."""


@dataclass(slots=True, frozen=True)
class Loan:
    """A share of the limit on loan to another entry.

    :ivar share: share of the configured limit
    :ivar until_s: end of the loan, on the event loop's clock
    """

    share: float
    until_s: float

    def active_s(self, start_s: float, end_s: float) -> float:
        """Return the time within an interval for which the loan is active."""
        return max(0.0, min(self.until_s, end_s) - start_s)


@dataclass(slots=True)
class MemberCount:
    """Number of entries that share a limit, taken as at least half of the known entries.

    An entry behind a network partition looks like a failed one. Only the platform's list of
    instances, which does not depend on reaching the entries, lowers the number of known entries.

    :ivar live: entries that membership counts as alive
    :ivar known: largest number of entries since the platform's list was last read, at least the
        number in that list
    """

    live: int = 1
    known: int = 1

    def observe(self, live: int, listed: int | None = None) -> None:
        """Update the counts.

        :param live: entries that membership counts as alive, this one included
        :param listed: entries in the platform's list, None unless it was just read
        """
        self.live = max(1, live)
        self.known = max(self.live, self.known if listed is None else listed)

    @property
    def divisor(self) -> float:
        """Number of entries by which the limit is divided."""
        return max(float(self.live), self.known / PARTITION_FACTOR)


@dataclass(slots=True)
class LoanTable:
    """Loans of one account's limit from and to one entry.

    :ivar borrowed: latest loan from each lender, by entry id
    :ivar granted: active loans to each borrower, by entry id; the largest share and the longest
        duration count, as any of the grants may have been lost
    """

    borrowed: dict[str, Loan] = field(default_factory=dict)
    granted: dict[str, list[Loan]] = field(default_factory=dict)

    def share(self, base: float, now_s: float) -> float:
        """Return the share of the limit that this entry may use now."""
        return max(0.0, base + _active_share(self.borrowed.values(), now_s) - self._granted(now_s))

    def stable_share(self, base: float, now_s: float) -> float:
        """Return the share that this entry may use without the borrowed loans that end soon."""
        borrowed_share = sum(self.stable_share_from(lender, now_s) for lender in self.borrowed)
        return max(0.0, base + borrowed_share - self._granted(now_s))

    def stable_share_from(self, lender: str, now_s: float) -> float:
        """Return the share borrowed from an entry, 0 when the loan ends soon."""
        loan = self.borrowed.get(lender)
        return loan.share if loan and loan.until_s > now_s + RENEW_BEFORE_S else 0.0

    def lenders_to_renew(self, now_s: float) -> list[str]:
        """Return the lenders of the loans that end soon."""
        return [lender for lender in self.borrowed if not self.stable_share_from(lender, now_s)]

    def share_seconds(self, base: float, start_s: float, end_s: float) -> float:
        """Return the integral of the usable share over an interval in which no loan began."""
        borrowed_share_s = sum(
            loan.share * loan.active_s(start_s, end_s) for loan in self.borrowed.values()
        )
        granted_share_s = sum(
            max(loan.share for loan in loans) * max(loan.active_s(start_s, end_s) for loan in loans)
            for loans in self.granted.values()
        )
        return max(0.0, base * (end_s - start_s) + borrowed_share_s - granted_share_s)

    def grant(
        self, borrower: str, requested: float, needed_share: float, base: float, now_s: float
    ) -> float:
        """Grant a borrower the requested share, as far as this entry does not need its base share.

        :param requested: total share requested, including the share that the borrower has already
        :param needed_share: share that this entry needs
        :param base: base share of this entry
        :returns: the total share lent to the borrower, 0 for no loan
        """
        unused_share = base - max(needed_share, 0.0) - self._granted(now_s, excluding=borrower)
        share = min(requested, unused_share)
        if share <= 0.0:
            return 0.0
        loan = Loan(share, now_s + LOAN_DURATION_S * LENDER_DURATION_FACTOR)
        # The grant may be lost, so earlier loans to the borrower still count.
        self.granted.setdefault(borrower, []).append(loan)
        return share

    def borrow(self, lender: str, share: float, asked_at_s: float, now_s: float) -> None:
        """Record a loan from a lender.

        A loan that has ended, or is no newer than the recorded one of the lender, is ignored.
        """
        loan = Loan(share, asked_at_s + LOAN_DURATION_S)
        current_loan = self.borrowed.get(lender)
        is_newer = current_loan is None or loan.until_s > current_loan.until_s
        if share > 0.0 and loan.until_s > now_s and is_newer:
            self.borrowed[lender] = loan

    def expire(self, now_s: float) -> None:
        """Remove the loans that have ended."""
        self.borrowed = {name: loan for name, loan in self.borrowed.items() if loan.until_s > now_s}
        for borrower, loans in list(self.granted.items()):
            self.granted[borrower] = [loan for loan in loans if loan.until_s > now_s]
            if not self.granted[borrower]:
                del self.granted[borrower]

    def _granted(self, at_s: float, excluding: str = "") -> float:
        return sum(
            max((loan.share for loan in loans if loan.until_s > at_s), default=0.0)
            for borrower, loans in self.granted.items()
            if borrower != excluding
        )


def _active_share(loans: Iterable[Loan], at_s: float) -> float:
    return sum(loan.share for loan in loans if loan.until_s > at_s)
