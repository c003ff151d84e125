"""Acceptance of generations: idempotency keys, rate limits, admission and the backup copy."""

from __future__ import annotations

import asyncio
import hashlib

from godwitpath.config.model import Service
from godwitpath.entry.admission_control import AdmissionController
from godwitpath.entry.caller_body import GenerationRequest
from godwitpath.entry.context import EntryContext, now_s
from godwitpath.entry.generate import GenerationRunner, priority_level
from godwitpath.entry.refusals import CallerError
from godwitpath.records.messages import local_ref
from godwitpath.records.record import RecordRef, RequestRecord


class Acceptance:
    """Accepts requests as request records and starts them, or refuses them."""

    __slots__ = ("_context", "_controller", "_runner")

    def __init__(
        self, context: EntryContext, runner: GenerationRunner, controller: AdmissionController
    ) -> None:
        self._context = context
        self._runner = runner
        self._controller = controller

    async def find_earlier(self, account: str, key: str, digest: str) -> RecordRef | None:
        """Return the earlier request of an account under an idempotency key, if still known.

        :param digest: digest of the new request, see :func:`generation_digest`
        :raises CallerError: the key was used with a different body
        """
        ref = await self._context.records.find(account, idempotency_key=key)
        return await self._if_replayable(ref, digest)

    async def accept_generation(
        self, record: RequestRecord, parsed: GenerationRequest, service: Service
    ) -> RecordRef:
        """Accept a generation and start it.

        :returns: reference to the new record, or to the earlier one under the same idempotency key
        :raises CallerError: the generation is refused
        """
        key = record.idempotency_key
        if key:
            earlier = await self._claim_key(record)
            if earlier is not None:
                return earlier
        try:
            await self._admit(record, parsed, service)
        except CallerError:
            if key:
                await self._context.records.release_key(record.account, key, record.request_id)
            raise
        return local_ref(record)

    def charge_limits(self, account: str, tokens: int) -> None:
        """Charge a call against the rate limits of its account.

        :param tokens: prompt and output tokens that the call may use
        :raises CallerError: a rate limit is exceeded
        """
        spec = self._context.configuration().accounts[account]
        refusal = self._context.limiter.take(account, spec, tokens, now_s())
        if refusal is not None:
            raise CallerError("rate_limited", refusal.reason, retry_after_s=refusal.retry_after_s)

    async def _claim_key(self, record: RequestRecord) -> RecordRef | None:
        ref = await self._context.records.claim_key(
            record.account, record.idempotency_key, record.body_digest, record.request_id
        )
        return await self._if_replayable(ref, record.body_digest)

    async def _if_replayable(self, ref: RecordRef | None, digest: str) -> RecordRef | None:
        """Return an earlier request if the response can be replayed for the same body.

        :raises CallerError: the earlier request had a different body
        """
        if ref is None:
            return None
        if ref.body_digest and ref.body_digest != digest:
            raise CallerError(
                "idempotency_key_reused", "the idempotency key was used with another request"
            )
        if ref.state != "finished":
            return ref
        # A request that finished without a response may be retried under its key.
        outcome = await self._context.records.outcome(ref)
        return None if outcome.reason else ref

    async def _admit(
        self, record: RequestRecord, parsed: GenerationRequest, service: Service
    ) -> None:
        context = self._context
        generation = self._runner.prepare(record, parsed.body, service)
        self.charge_limits(record.account, generation.prompt_tokens + generation.max_tokens)
        digest = hashlib.sha256(f"{record.account} {record.body_digest}".encode()).hexdigest()
        choice = await self._controller.admit(generation, digest)
        context.metrics.accepted.add(1, service=record.service, kind=record.kind)
        # Running a generation twice only costs tokens, so the generation starts while the copy is
        # in transit.
        # The caller learns of the acceptance after the backup has the copy.
        copy_task = asyncio.create_task(context.records.accept(record))
        self._runner.start(generation, choice)
        if not await copy_task:
            context.metrics.without_backup.add(1)


def new_generation_record(
    request_id: str,
    account: str,
    key: str,
    raw: bytes,
    parsed: GenerationRequest,
    service: Service,
    account_priority: str,
    timeout_s: float,
) -> RequestRecord:
    """Return a request record for a generation that is not accepted yet.

    :param raw: body as received
    """
    requested_priority = parsed.body.get("priority")
    return RequestRecord(
        request_id=request_id,
        account=account,
        service=parsed.service,
        kind="chat" if parsed.chat else "completion",
        idempotency_key=key,
        body=raw,
        body_digest=generation_digest(raw, parsed.chat),
        priority=priority_level(account_priority, str(requested_priority)),
        streamed=parsed.streamed,
        timeout_s=timeout_s,
        keep_outcome_s=service.keep_outcome_s,
    )


def generation_digest(raw: bytes, chat: bool) -> str:
    """Return the digest that must match for two generations under one idempotency key."""
    return hashlib.sha256(b"chat\n" + raw if chat else b"completion\n" + raw).hexdigest()
