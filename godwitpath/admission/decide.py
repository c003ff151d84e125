"""Admission decision on a call before its dispatch: admit, queue for a bounded time, or refuse."""

from __future__ import annotations

from dataclasses import asdict, dataclass, field
from typing import Any

from godwitpath.admission.rate import RateMeter
from godwitpath.admission.reservations import ReservationTable
from godwitpath.config.model import LatencyTarget
from godwitpath.routing.choose import PRIORITY_WAIT_FACTORS, RouteChoice

FRESH_TARGET_FRACTIONS = (0.75, 0.6, 0.5)
"""Fraction of the latency target that a call without a reservation may use, by priority level.

The rest is left for calls of higher priority and for calls with a reservation, which may use the
whole target.
"""

MAX_WAIT_FRACTION = 0.7
"""Largest predicted wait of a queued call, as a fraction of the call's longest wait."""

QUEUED_TARGET_FRACTION = 0.8
"""Fraction of the first-token target that a queued call may use.

It covers the wait in the queue and the predicted time to first token after the wait.
"""

PROBE_CALLS = 2
"""Number of calls that may wait whatever the release rate, to probe for capacity."""

DEADLINE_FACTOR = 1.15
"""Factor on the predicted duration of a call when it is compared with the call's deadline."""


@dataclass(slots=True)
class AdmissionQuery:
    """A call that asks for admission.

    :ivar digest: hash of account and call, the same when the caller retries
    :ivar priority: 0 interactive, 1 plan, 2 batch
    :ivar time_left_s: time until the caller's deadline
    :ivar expected_tokens: expected tokens of the response
    """

    service: str
    account: str
    digest: str
    priority: int = 0
    time_left_s: float = 60.0
    expected_tokens: int = 128
    latency: LatencyTarget = field(default_factory=LatencyTarget)


@dataclass(slots=True, frozen=True)
class Prediction:
    """Predicted latency of the call at the engine chosen for it.

    :ivar first_token_s: time to first token
    :ivar between_tokens_s: time between tokens
    :ivar first_token_per_call_s: growth of the time to first token with one more call at any engine
    :ivar between_per_call_s: growth of the time between tokens with one more call at any engine
    :ivar batch_share: fraction of the engine's batch in use with the call, 0 while unknown
    """

    first_token_s: float
    between_tokens_s: float
    first_token_per_call_s: float = 0.0
    between_per_call_s: float = 0.0
    batch_share: float = 0.0

    @classmethod
    def of(cls, choice: RouteChoice) -> Prediction:
        """Return the prediction that belongs to a routing choice."""
        return cls(
            choice.predicted_first_token_s,
            choice.predicted_between_tokens_s,
            choice.first_token_per_call_s,
            choice.between_per_call_s,
            choice.batch_share,
        )


@dataclass(slots=True, frozen=True)
class QueueState:
    """State of the entry's queue at the arrival of a call.

    :ivar waiting: number of calls in the queue
    :ivar ahead: number of queued calls that are dispatched before the arriving call
    :ivar capacity: largest number of calls in the queue
    :ivar released_per_s: measured rate of calls released from the queue
    """

    waiting: int = 0
    ahead: int = 0
    capacity: int = 0
    released_per_s: float = 0.0


@dataclass(slots=True, frozen=True)
class Admit:
    """The call is dispatched now.

    :ivar reserved: whether the call had a reservation that is due
    """

    reserved: bool = False


@dataclass(slots=True, frozen=True)
class Queue:
    """The call waits in the queue.

    :ivar max_wait_s: longest wait with which the call can meet its deadline and its target
    :ivar expected_wait_s: predicted wait of the call
    """

    max_wait_s: float
    expected_wait_s: float


@dataclass(slots=True, frozen=True)
class Refuse:
    """The call is refused.

    :ivar reason: short reason for the caller
    :ivar retry_after_s: whole seconds after which a retry has reserved capacity
    """

    reason: str
    retry_after_s: int


Decision = Admit | Queue | Refuse


@dataclass(slots=True)
class AdmissionCounters:
    """Numbers of admission decisions since the start of the process.

    :ivar admitted: calls admitted without a wait
    :ivar queued: calls queued
    :ivar refused: calls refused
    :ivar promised_admitted: calls with a due reservation that were admitted or queued
    :ivar promised_refused: calls with a due reservation that were refused
    """

    admitted: int = 0
    queued: int = 0
    refused: int = 0
    promised_admitted: int = 0
    promised_refused: int = 0


class AdmissionPolicy:
    """Admission control of one service at one entry."""

    def __init__(self) -> None:
        self.reservations = ReservationTable()
        self.counters = AdmissionCounters()
        self._completions = RateMeter()

    def decide(
        self, query: AdmissionQuery, prediction: Prediction, queue: QueueState, now_s: float
    ) -> Decision:
        """Decide whether a call is admitted, queued or refused.

        Calls without a reservation leave capacity for the reservations that are due now.
        """
        self.reservations.expire(now_s)
        reserved = self.reservations.redeem(query.digest, now_s)
        decision = self._decide(query, prediction, queue, reserved, now_s)
        self._count_decision(decision, reserved)
        return decision

    def fits(
        self, query: AdmissionQuery, prediction: Prediction, reserved: bool, now_s: float
    ) -> bool:
        """Return whether a call dispatched now would meet the target of its priority.

        :param reserved: whether the call has a reservation
        """
        due_reservations = 0 if reserved else self.reservations.count_due(now_s)
        fraction = 1.0 if reserved else FRESH_TARGET_FRACTIONS[_priority_level(query)]
        first_token_s = (
            prediction.first_token_s + due_reservations * prediction.first_token_per_call_s
        )
        between_tokens_s = (
            prediction.between_tokens_s + due_reservations * prediction.between_per_call_s
        )
        return (
            prediction.batch_share <= fraction
            and first_token_s <= fraction * _first_token_target_s(query)
            and between_tokens_s <= fraction * query.latency.between_tokens_s
        )

    def finished(self, now_s: float) -> None:
        """Record the end of an admitted call.

        Reservations are booked against the rate of these completions.
        """
        self._completions.add(now_s)

    @property
    def completions_per_s(self) -> float:
        """Calls that this entry finishes per second."""
        return self._completions.per_s or 1.0

    def dump(self) -> dict[str, Any]:
        """Return the content for the state dump."""
        return {
            "counters": asdict(self.counters),
            "drain_per_s": round(self.completions_per_s, 2),
            "promises": {
                "open": len(self.reservations),
                "made": self.reservations.made,
                "redeemed": self.reservations.redeemed,
                "expired": self.reservations.expired,
            },
        }

    def _decide(
        self,
        query: AdmissionQuery,
        prediction: Prediction,
        queue: QueueState,
        reserved: bool,
        now_s: float,
    ) -> Decision:
        decode_s = prediction.between_tokens_s * query.expected_tokens
        needed_s = DEADLINE_FACTOR * (prediction.first_token_s + decode_s)
        deadline_slack_s = query.time_left_s - needed_s
        if deadline_slack_s < 0:
            return self._refuse(query, "the deadline cannot be met", now_s)
        # Queued calls of the same or a higher priority, and lower ones that waited long, go first.
        if (reserved or not queue.ahead) and self.fits(query, prediction, reserved, now_s):
            return Admit(reserved)
        # A queued call counts as accepted, so it must meet its target after the wait.
        target_slack_s = (
            QUEUED_TARGET_FRACTION * _first_token_target_s(query) - prediction.first_token_s
        )
        max_wait_s = min(deadline_slack_s, target_slack_s)
        wait_s = (queue.waiting + 1) / max(queue.released_per_s, 1e-3)
        wait_acceptable = queue.waiting < PROBE_CALLS or wait_s <= MAX_WAIT_FRACTION * max_wait_s
        if max_wait_s > 0 and queue.waiting < queue.capacity and wait_acceptable:
            return Queue(max_wait_s=max_wait_s, expected_wait_s=wait_s)
        return self._refuse(query, "the latency target cannot be met", now_s)

    def _refuse(self, query: AdmissionQuery, reason: str, now_s: float) -> Refuse:
        retry_after_s = self.reservations.book(
            query.digest, query.priority, self.completions_per_s, now_s
        )
        return Refuse(reason, retry_after_s)

    def _count_decision(self, decision: Decision, reserved: bool) -> None:
        refused = isinstance(decision, Refuse)
        self.counters.refused += refused
        self.counters.queued += isinstance(decision, Queue)
        self.counters.admitted += isinstance(decision, Admit)
        self.counters.promised_refused += reserved and refused
        self.counters.promised_admitted += reserved and not refused


def _priority_level(query: AdmissionQuery) -> int:
    return min(query.priority, len(PRIORITY_WAIT_FACTORS) - 1)


def _first_token_target_s(query: AdmissionQuery) -> float:
    return PRIORITY_WAIT_FACTORS[_priority_level(query)] * query.latency.first_token_s
