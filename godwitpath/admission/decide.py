"""Decision on a call before it is dispatched: admit, queue for a bounded time, or refuse now."""

from __future__ import annotations

from dataclasses import asdict, dataclass, field
from typing import Any

from godwitpath.admission.promises import PromiseBook
from godwitpath.config.model import LatencyTarget
from godwitpath.routing.choose import PATIENCE

DRAIN_WINDOW_S = 5.0
"""Time over which the rate of finished calls is measured."""

FRESH_MARGIN = 0.9
"""Part of the target that a fresh call may fill; a promised one may fill all of it."""

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
    """

    first_token_s: float
    between_tokens_s: float
    first_token_per_call_s: float = 0.0
    between_per_call_s: float = 0.0


@dataclass(slots=True, frozen=True)
class QueueState:
    """The entry's queue as a call sees it.

    :ivar waiting: calls that wait
    :ivar ahead: those of them that go before the call
    :ivar capacity: most calls that may wait
    """

    waiting: int = 0
    ahead: int = 0
    capacity: int = 0


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
        self._drain_per_s = 0.0
        self._finished = 0
        self._window_start_s: float | None = None

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
        margin = 1.0 if promised else FRESH_MARGIN
        first_s = prediction.first_token_s + held * prediction.first_token_per_call_s
        between_s = prediction.between_tokens_s + held * prediction.between_per_call_s
        patience = PATIENCE[min(query.priority, len(PATIENCE) - 1)]
        return (
            first_s <= margin * patience * query.latency.first_token_s
            and between_s <= margin * query.latency.between_tokens_s
        )

    def finished(self, now_s: float) -> None:
        """Note the end of an admitted call; the rate of them is what promises are booked on."""
        if self._window_start_s is None:
            self._window_start_s = now_s
        self._finished += 1
        spent_s = now_s - self._window_start_s
        if spent_s >= DRAIN_WINDOW_S:
            sample = self._finished / spent_s
            self._drain_per_s += 0.5 * (sample - self._drain_per_s)
            self._finished, self._window_start_s = 0, now_s

    @property
    def drain_per_s(self) -> float:
        """Calls that this entry finishes in a second."""
        return self._drain_per_s or 1.0

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
        wait_s = (queue.ahead + 1) / self.drain_per_s
        patient = query.priority > 0 or promised
        if patient and queue.waiting < queue.capacity and DEADLINE_MARGIN * wait_s <= spare_s:
            return Queue(max_wait_s=spare_s, expected_wait_s=wait_s)
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
