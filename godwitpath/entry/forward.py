"""Forwards calls to plain services: retries idempotent calls, sends others at most once."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from godwitpath.config.model import Operation, Service
from godwitpath.entry.context import EntryContext, now_s
from godwitpath.entry.refusals import NO_UPSTREAM_RETRY_S, CallerError
from godwitpath.entry.status_lookup import StatusLookup
from godwitpath.errors import GodwitpathError
from godwitpath.execution.record import BodyMismatch, Claim, ClaimRefused, ExecutionExists
from godwitpath.ports.kv import StoreError
from godwitpath.ports.service import (
    ServiceCall,
    ServiceError,
    ServiceNotSent,
    ServiceResponse,
    ServiceUncertain,
)
from godwitpath.records.record import Outcome, RequestRecord
from godwitpath.retries.backoff import backoff_s
from godwitpath.upstreams.table import Upstream

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})
"""Methods that HTTP defines as idempotent (RFC 9110, 9.2.2), without TRACE."""

HOP_BY_HOP = frozenset(
    {
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "authorization",
        "idempotency-key",
        "expect",
        "date",
        "server",
    }
)
"""Headers that belong to one connection or to this system and are never forwarded."""


@dataclass(slots=True, frozen=True)
class CallRule:
    """Retry and idempotency rules of a call to a plain service.

    :ivar guarded: whether an execution record must be written before the call is sent
    :ivar repeatable: whether the call may be resent after an attempt that may have run
    :ivar key_required: whether a call without an idempotency key is refused
    :ivar status_path: path at which the service reports the outcome of a call by its idempotency
        key, empty if the service has none
    """

    guarded: bool
    repeatable: bool
    key_required: bool
    status_path: str = ""


def call_rule(service: Service, method: str, path: str, key: str) -> CallRule:
    """Return the rule of the longest matching operation, or else of the method."""
    operation = _operation(service, method, path)
    if operation is None:
        idempotent = method in IDEMPOTENT_METHODS
        return CallRule(
            guarded=bool(key) and not idempotent, repeatable=idempotent, key_required=False
        )
    if operation.idempotent:
        return CallRule(guarded=False, repeatable=True, key_required=False)
    return CallRule(True, False, True, operation.status_path)


def _operation(service: Service, method: str, path: str) -> Operation | None:
    path_without_query = path.partition("?")[0]
    matching = [
        operation
        for operation in service.operations
        if operation.method.upper() == method
        and _has_path_prefix(operation.path, path_without_query)
    ]
    return max(matching, key=lambda operation: len(operation.path), default=None)


def _has_path_prefix(prefix: str, path: str) -> bool:
    base = prefix.rstrip("/")
    return path == base or path.startswith(base + "/")


class Forwarder:
    """Runs accepted calls to plain services until they have an outcome."""

    __slots__ = ("_context", "_lookup", "_round_robin_index", "in_progress")

    def __init__(self, context: EntryContext, lookup: StatusLookup) -> None:
        self._context = context
        self._lookup = lookup
        self._round_robin_index = 0
        self.in_progress = 0

    def choose(self, service_name: str, tried: set[str]) -> Upstream:
        """Return the next serving upstream of a service, preferring the local region.

        :param tried: upstreams to avoid while others are serving
        :raises CallerError: no upstream is serving
        """
        serving = self._context.upstreams.serving(service_name)
        untried = [upstream for upstream in serving if upstream.upstream_id not in tried]
        candidates = untried or serving
        if not candidates:
            raise CallerError(
                "no_upstream",
                f"no upstream of {service_name} is serving",
                retry_after_s=NO_UPSTREAM_RETRY_S,
            )
        region = self._context.settings.region
        preferred = [upstream for upstream in candidates if upstream.region == region] or candidates
        self._round_robin_index += 1
        return preferred[self._round_robin_index % len(preferred)]

    def start(self, record: RequestRecord, rule: CallRule) -> None:
        """Run a call in the background until it has an outcome."""
        self._context.spawn(asyncio.create_task(self._run(record, rule)))

    async def adopt(self, record: RequestRecord) -> None:
        """Complete a call whose record this entry has taken over from another entry."""
        self._context.decisions.adopted(record)
        service = self._context.configuration().services[record.service]
        rule = call_rule(service, record.method, record.path, record.idempotency_key)
        if rule.repeatable:
            self.start(record, rule)
            return
        # Only the execution record shows whether the call was sent, so it is not sent again.
        self._context.spawn(asyncio.create_task(self._settle_adopted(record, rule)))

    async def _run(self, record: RequestRecord, rule: CallRule) -> None:
        self.in_progress += 1
        try:
            if rule.guarded:
                outcome = await self._run_once(record, rule)
            else:
                outcome = await self._run_repeatable(record, rule)
            self._context.records.finish(record, outcome)
            self._context.decisions.ended(record, outcome)
        finally:
            self.in_progress -= 1

    async def _run_once(self, record: RequestRecord, rule: CallRule) -> Outcome:
        guard = self._context.guard
        try:
            claim = await guard.claim(
                record.account, record.idempotency_key, record.body_digest, record.request_id
            )
        except ClaimRefused as error:
            return _refused_outcome("store_unavailable", 503, error.retry_after_s)
        except BodyMismatch:
            return _refused_outcome("idempotency_key_reused", 422, 0.0)
        except ExecutionExists as error:
            return await self._outcome_of_existing(record, rule, error)
        outcome = await self._send_claimed(record, claim)
        if outcome.ran == "no":
            await guard.release(claim)
        elif outcome.ran == "yes":
            await guard.finish(claim, outcome)
        else:
            # The execution record stays at `sent`, so that no entry runs the call again.
            outcome = await self._lookup.outcome(record, rule.status_path) or outcome
        return outcome

    async def _outcome_of_existing(
        self, record: RequestRecord, rule: CallRule, error: ExecutionExists
    ) -> Outcome:
        """Return the outcome of the earlier call that claimed the same idempotency key."""
        existing = error.record
        if existing.outcome is not None:
            return existing.outcome
        ref = await self._context.records.find(record.account, request_id=existing.request_id)
        if ref is not None:
            try:
                async with asyncio.timeout(record.timeout_s):
                    outcome = await self._context.records.outcome(ref)
            except (TimeoutError, GodwitpathError):
                outcome = _unknown_outcome()
            if outcome.ran != "unknown":
                return outcome
        return await self._lookup.outcome(record, rule.status_path) or _unknown_outcome()

    async def _send_claimed(self, record: RequestRecord, claim: Claim) -> Outcome:
        """Send a claimed call; try another upstream only if the call was provably not sent."""
        tried: set[str] = set()
        deadline_s = now_s() + record.timeout_s
        while True:
            try:
                upstream = self.choose(record.service, tried)
            except CallerError as error:
                return _refused_outcome(error.reason, 503, error.retry_after_s)
            if upstream.upstream_id in tried or now_s() >= deadline_s:
                return _refused_outcome("no_upstream", 503, NO_UPSTREAM_RETRY_S)
            tried.add(upstream.upstream_id)
            call = self._call(record, claim.attempt_id, deadline_s - now_s(), new_connection=True)
            self._context.records.begin_attempt(record, claim.attempt_id, upstream.upstream_id)
            self._context.decisions.sent(record, upstream.upstream_id, guarded=True)
            try:
                return _response_outcome(await self._context.plain.call(upstream.address, call))
            except ServiceNotSent as error:
                self._context.decisions.attempt_failed(record, error)
            except ServiceUncertain as error:
                self._context.decisions.attempt_failed(record, error)
                return _unknown_outcome()

    async def _run_repeatable(self, record: RequestRecord, rule: CallRule) -> Outcome:
        tried: set[str] = set()
        budget = self._context.budget(record.service)
        budget.record_first_attempt(now_s())
        deadline_s = now_s() + record.timeout_s
        failures = 0
        while True:
            try:
                upstream = self.choose(record.service, tried)
            except CallerError as error:
                return _refused_outcome(error.reason, 503, error.retry_after_s)
            tried.add(upstream.upstream_id)
            attempt_id = self._context.new_id()
            call = self._call(record, attempt_id, deadline_s - now_s(), new_connection=failures > 0)
            self._context.records.begin_attempt(record, attempt_id, upstream.upstream_id)
            self._context.decisions.sent(record, upstream.upstream_id, guarded=False)
            try:
                return _response_outcome(await self._context.plain.call(upstream.address, call))
            except ServiceError as error:
                self._context.decisions.attempt_failed(record, error)
                failures += 1
                may_have_run = not isinstance(error, ServiceNotSent)
                if may_have_run and not rule.repeatable:
                    return _unknown_outcome()
                pause_s = backoff_s(failures, self._context.rng)
                past_deadline = now_s() + pause_s >= deadline_s
                if past_deadline or not budget.spend(now_s()):
                    return _failed_outcome(may_have_run)
                await asyncio.sleep(pause_s)

    def _call(
        self, record: RequestRecord, attempt_id: str, timeout_s: float, new_connection: bool
    ) -> ServiceCall:
        return ServiceCall(
            method=record.method,
            path=record.path,
            headers=[(name, value) for name, value in record.headers],
            body=record.body,
            request_id=record.request_id,
            attempt_id=attempt_id,
            timeout_s=max(0.05, timeout_s),
            idempotency_key=record.idempotency_key,
            new_connection=new_connection,
        )

    async def _settle_adopted(self, record: RequestRecord, rule: CallRule) -> None:
        """Finish a call of a failed holder from the execution record or the service's status."""
        outcome = None
        try:
            found = await self._context.guard.read(record.account, record.idempotency_key)
            outcome = found.outcome if found is not None else None
        except StoreError as error:
            self._context.metrics.unknown_outcomes.add(1, cause=type(error).__name__)
        if outcome is None:
            outcome = await self._lookup.outcome(record, rule.status_path) or _unknown_outcome()
        self._context.records.finish(record, outcome)
        self._context.decisions.ended(record, outcome)


def _response_outcome(response: ServiceResponse) -> Outcome:
    kept = [(name, value) for name, value in response.headers if name.lower() not in HOP_BY_HOP]
    return Outcome(status=response.status, ran="yes", headers=kept, body=response.body)


def _refused_outcome(reason: str, status: int, retry_after_s: float) -> Outcome:
    return Outcome(status=status, ran="no", reason=reason, retry_after_s=retry_after_s)


def _failed_outcome(may_have_run: bool) -> Outcome:
    ran = "unknown" if may_have_run else "no"
    return Outcome(status=502, ran=ran, reason="upstream_failed", retry_after_s=1.0)  # type: ignore[arg-type]


def _unknown_outcome() -> Outcome:
    return Outcome(status=504, ran="unknown", reason="outcome_unknown", retry_after_s=2.0)
