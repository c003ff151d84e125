"""Records decisions about requests in the journal and the metrics."""

from __future__ import annotations

import time
from collections.abc import Mapping

from godwitpath.entry.counters import EntryMetrics
from godwitpath.entry.refusals import CallerError
from godwitpath.explain.journal import Journal
from godwitpath.explain.record import DecisionRecord
from godwitpath.records.record import Outcome, RequestRecord
from godwitpath.recovery.move import MovePlan
from godwitpath.routing.choose import RouteChoice
from godwitpath.telemetry.logs import state_change

UNRECORDED_REASONS = frozenset({"unauthenticated", "unknown_path"})
"""Reasons of refusals that are only counted, because any client can cause them in bulk."""


class DecisionRecorder:
    """Counts request events and writes decision records with their reasons."""

    __slots__ = ("_journal", "_metrics")

    def __init__(self, journal: Journal, metrics: EntryMetrics) -> None:
        self._journal = journal
        self._metrics = metrics

    def refused(self, error: CallerError, request_id: str, account: str) -> None:
        """Record a request that was refused with an error."""
        self._metrics.refused.add(1, reason=error.reason)
        if error.reason in UNRECORDED_REASONS:
            return
        known = {"message": str(error), "ran": error.ran, "retry_after_s": error.retry_after_s}
        self._record_decision(request_id, account, "refusal", error.reason, known)

    def dispatched(self, record: RequestRecord, choice: RouteChoice) -> None:
        """Record the choice of an engine."""
        known = {
            "service": record.service,
            "delivered_tokens": record.tokens,
            "why": choice.reason,
            "first_token_s": round(choice.predicted_first_token_s, 4),
            "cached_tokens": choice.predicted_cached_tokens,
        }
        others = [
            f"{other.upstream_id} (first token {other.predicted_first_token_s:.3f} s)"
            for other in choice.alternatives
        ]
        self._record_decision(
            record.request_id, record.account, "dispatch", choice.upstream_id, known, others
        )

    def sent(self, record: RequestRecord, upstream_id: str, guarded: bool) -> None:
        """Record that a plain call is sent to an upstream.

        :param guarded: whether an execution record precedes the call
        """
        known = {"service": record.service, "method": record.method, "once_only": guarded}
        self._record_decision(record.request_id, record.account, "dispatch", upstream_id, known)

    def attempt_failed(self, record: RequestRecord, error: Exception) -> None:
        """Record why an attempt failed."""
        self._metrics.attempts_lost.add(1, error=type(error).__name__)
        known = {"upstream_id": record.upstream_id, "error": str(error)}
        self._record_decision(
            record.request_id, record.account, "dispatch", "attempt failed", known
        )

    def resumed(self, record: RequestRecord, upstream_id: str) -> None:
        """Record that the running stream of an adopted request is resumed."""
        known = {"delivered_tokens": record.tokens, "why": "its stream still runs"}
        self._record_decision(record.request_id, record.account, "dispatch", upstream_id, known)

    def moved(self, record: RequestRecord, target_id: str, plan: MovePlan) -> None:
        """Record how a generation is moved off a reclaimed engine."""
        known = {
            "from": record.upstream_id,
            "to": target_id,
            "why": plan.reason,
            "export_cost": plan.export_cost,
            "recompute_cost": plan.recompute_cost,
        }
        self._record_decision(
            record.request_id, record.account, "dispatch", f"move: {plan.kind}", known
        )

    def ended(self, record: RequestRecord, outcome: Outcome) -> None:
        """Record the outcome of a request."""
        self._metrics.answered.add(1, service=record.service, reason=outcome.reason or "answered")
        known = {
            "status": outcome.status,
            "ran": outcome.ran,
            "tokens": record.tokens,
            "prompt_tokens": outcome.prompt_tokens,
            "cached_tokens": outcome.cached_tokens,
        }
        chosen = outcome.reason or "answered"
        self._record_decision(record.request_id, record.account, "outcome", chosen, known)

    def adopted(self, record: RequestRecord) -> None:
        """Record that this entry has taken over a request from another entry."""
        known = {"epoch": record.epoch, "delivered_tokens": record.tokens}
        self._record_decision(record.request_id, record.account, "request", "adopted", known)

    def internal_error(self, error: Exception, request_id: str) -> None:
        """Record an unexpected internal error."""
        name = type(error).__name__
        self._metrics.internal_errors.add(1, error=name)
        state_change("request", "handled", "broken", request_id=request_id, error=repr(error))

    def _record_decision(
        self,
        subject_id: str,
        account: str,
        kind: str,
        chosen: str,
        known: Mapping[str, object],
        alternatives: list[str] | None = None,
    ) -> None:
        record = DecisionRecord(
            subject_id=subject_id,
            account=account,
            kind=kind,
            at=time.time(),
            chosen=chosen,
            known=dict(known),
            alternatives=alternatives or [],
        )
        self._journal.add(record)
