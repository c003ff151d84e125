"""Decision on a call before it is dispatched: admit, queue for a bounded time, or refuse now."""

from __future__ import annotations

from dataclasses import asdict, dataclass, field
from typing import Any

from godwitpath.admission.promises import PromiseBook
from godwitpath.admission.rate import RateMeter
from godwitpath.config.model import LatencyTarget
from godwitpath.routing.choose import PATIENCE, RouteChoice

FRESH_MARGINS = (0.75, 0.6, 0.5)
"""Part of the target that a fresh call of each priority level may fill; a promised one may fill
all of it. What one level leaves is room for those above it and for promises."""

QUEUE_MARGIN = 0.7
"""Part of the time that a call can wait which its predicted wait may take."""

QUEUE_TARGET_PART = 0.8
"""Part of the target at which a call that waits goes at the latest."""

PROBE_WAITING = 2
"""Calls that may wait although none found room lately."""

DEADLINE_MARGIN = 1.15
"""Factor on the predicted time of a call when it is held against its deadline."""


@dataclass(slots=True)
class AdmissionQuery:
    """A call that asks to be admitted.

    :ivar digest: digest of account and call, the same when the caller comes back
    :ivar priority: 0 interactive, 1 plan, 2 batch
    :ivar time_left_s: time until the caller's deadline
    :ivar expected_tokens: tokens that the answer probably has
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
    """What the call would see at the engine chosen for it.

    :ivar first_token_s: time to the first token
    :ivar between_tokens_s: time between tokens
    :ivar first_token_per_call_s: growth of the former with one more call anywhere
    :ivar between_per_call_s: growth of the latter with one more call anywhere
    :ivar batch_share: part of the engine's batch that is taken with the call, 0 when not known
    """

    first_token_s: float
    between_tokens_s: float
    first_token_per_call_s: float = 0.0
    between_per_call_s: float = 0.0
    batch_share: float = 0.0

    @classmethod
    def of(cls, choice: RouteChoice) -> Prediction:
        """Return what routing predicts for its choice."""
        return cls(
            choice.predicted_first_token_s,
            choice.predicted_between_tokens_s,
            choice.first_token_per_call_s,
            choice.between_per_call_s,
            choice.batch_share,
        )


@dataclass(slots=True, frozen=True)
class QueueState:
    """The entry's queue as a call sees it.

    :ivar waiting: calls that wait
    :ivar ahead: those of them that go before the call
    :ivar capacity: most calls that may wait
    :ivar released_per_s: waiting calls that found room in a second, as measured
    """

    waiting: int = 0
    ahead: int = 0
    capacity: int = 0
    released_per_s: float = 0.0


@dataclass(slots=True, frozen=True)
class Admit:
    """The call goes to its engine now.

    :ivar promised: whether the caller came back at a promised time
    """

    promised: bool = False


@dataclass(slots=True, frozen=True)
class Queue:
    """The call waits.

    :ivar max_wait_s: longest wait that still meets the deadline
    :ivar expected_wait_s: predicted wait
    """

    max_wait_s: float
    expected_wait_s: float


@dataclass(slots=True, frozen=True)
class Refuse:
    """The call is not run.

    :ivar reason: short reason for people
    :ivar retry_after_s: whole seconds after which the call will be admitted
    """

    reason: str
    retry_after_s: int


Decision = Admit | Queue | Refuse


@dataclass(slots=True)
class AdmissionCounters:
    """Counts since the start."""

    admitted: int = 0
    queued: int = 0
    refused: int = 0
    promised_admitted: int = 0
    promised_refused: int = 0


class Admission:
    """Admission to one service at one entry."""

    def __init__(self) -> None:
        self.promises = PromiseBook()
        self.counters = AdmissionCounters()
        self._drain = RateMeter()

    def decide(
        self, query: AdmissionQuery, prediction: Prediction, queue: QueueState, now_s: float
    ) -> Decision:
        """Decide on a call.

        Fresh calls leave room for the promised ones that may come at this moment.
        """
        self.promises.expire(now_s)
        promised = self.promises.redeem(query.digest, now_s)
        decision = self._decide(query, prediction, queue, promised, now_s)
        self._count(decision, promised)
        return decision

    def fits(
        self, query: AdmissionQuery, prediction: Prediction, promised: bool, now_s: float
    ) -> bool:
        """Return whether a call sent now would meet the target of its priority."""
        held = 0 if promised else self.promises.falling_due(now_s)
        margin = 1.0 if promised else FRESH_MARGINS[_level(query)]
        first_s = prediction.first_token_s + held * prediction.first_token_per_call_s
        between_s = prediction.between_tokens_s + held * prediction.between_per_call_s
        return (
            prediction.batch_share <= margin
            and first_s <= margin * _first_token_target_s(query)
            and between_s <= margin * query.latency.between_tokens_s
        )

    def finished(self, now_s: float) -> None:
        """Note the end of an admitted call; the rate of them is what promises are booked on."""
        self._drain.add(now_s)

    @property
    def drain_per_s(self) -> float:
        """Calls that this entry finishes in a second."""
        return self._drain.per_s or 1.0

    def dump(self) -> dict[str, Any]:
        """Return the state for the state dump."""
        return {
            "counters": asdict(self.counters),
            "drain_per_s": round(self.drain_per_s, 2),
            "promises": {
                "open": len(self.promises),
                "made": self.promises.made,
                "redeemed": self.promises.redeemed,
                "expired": self.promises.expired,
            },
        }

    def _decide(
        self,
        query: AdmissionQuery,
        prediction: Prediction,
        queue: QueueState,
        promised: bool,
        now_s: float,
    ) -> Decision:
        answer_s = prediction.between_tokens_s * query.expected_tokens
        needed_s = DEADLINE_MARGIN * (prediction.first_token_s + answer_s)
        spare_s = query.time_left_s - needed_s
        if spare_s < 0:
            return self._refuse(query, "the deadline cannot be met", now_s)
        # Nobody overtakes calls of the same or a higher priority that wait already.
        if (promised or not queue.ahead) and self.fits(query, prediction, promised, now_s):
            return Admit(promised)
        # A call that waits is accepted; it must still meet its target when its turn comes.
        target_spare_s = QUEUE_TARGET_PART * _first_token_target_s(query) - prediction.first_token_s
        max_wait_s = min(spare_s, target_spare_s)
        wait_s = (queue.waiting + 1) / max(queue.released_per_s, 1e-3)
        fitting = queue.waiting < PROBE_WAITING or wait_s <= QUEUE_MARGIN * max_wait_s
        if max_wait_s > 0 and queue.waiting < queue.capacity and fitting:
            return Queue(max_wait_s=max_wait_s, expected_wait_s=wait_s)
        return self._refuse(query, "the latency target cannot be met", now_s)

    def _refuse(self, query: AdmissionQuery, reason: str, now_s: float) -> Refuse:
        retry_after_s = self.promises.book(query.digest, query.priority, self.drain_per_s, now_s)
        return Refuse(reason, retry_after_s)

    def _count(self, decision: Decision, promised: bool) -> None:
        refused = isinstance(decision, Refuse)
        self.counters.refused += refused
        self.counters.queued += isinstance(decision, Queue)
        self.counters.admitted += isinstance(decision, Admit)
        self.counters.promised_refused += promised and refused
        self.counters.promised_admitted += promised and not refused


def _level(query: AdmissionQuery) -> int:
    return min(query.priority, len(PATIENCE) - 1)


def _first_token_target_s(query: AdmissionQuery) -> float:
    return PATIENCE[_level(query)] * query.latency.first_token_s
