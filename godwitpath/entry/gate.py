"""Admission control of generations: dependencies, latency targets and the admission queue."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from godwitpath.admission.decide import Admission, AdmissionQuery, Admit, Prediction, Refuse
from godwitpath.admission.queue import AdmissionQueue, QueueExpired
from godwitpath.config.model import Configuration
from godwitpath.entry.context import EntryContext, now_s
from godwitpath.entry.generate import GenerationRunner
from godwitpath.entry.generation import Generation
from godwitpath.entry.refusals import NO_UPSTREAM_RETRY_S, CallerError
from godwitpath.routing.choose import NoUpstream, RouteChoice

EXPECTED_TOKENS = 128
"""Expected output tokens of a generation with a higher output limit."""


@dataclass(slots=True)
class ServiceGate:
    """Admission state of one service at this entry."""

    admission: Admission = field(default_factory=Admission)
    queue: AdmissionQueue = field(default_factory=AdmissionQueue)


class AdmissionGate:
    """Admits or refuses generations, separately for each service."""

    __slots__ = ("_context", "_gates", "_runner")

    def __init__(self, context: EntryContext, runner: GenerationRunner) -> None:
        self._context = context
        self._runner = runner
        self._gates: dict[str, ServiceGate] = {}

    async def enter(self, generation: Generation, digest: str) -> RouteChoice:
        """Wait until the generation may be dispatched.

        :param digest: digest of account and body, the same when the caller retries
        :returns: the upstream choice on which the admission decision is based
        :raises CallerError: the generation is refused; carries the retry-after
        """
        record = generation.record
        self._check_dependencies(self._context.configuration(), record.service)
        choice = self._choose(generation)
        gate = self._gate(record.service)
        query = AdmissionQuery(
            service=record.service,
            account=record.account,
            digest=digest,
            priority=record.priority,
            time_left_s=generation.deadline_s - now_s(),
            expected_tokens=min(generation.max_tokens, EXPECTED_TOKENS),
            latency=generation.service.latency,
        )
        choice = self._better_away(gate, query, generation, choice)
        queue_state = gate.queue.state(record.priority)
        decision = gate.admission.decide(query, Prediction.of(choice), queue_state, now_s())
        if isinstance(decision, Refuse):
            raise CallerError("overloaded", decision.reason, retry_after_s=decision.retry_after_s)
        if not isinstance(decision, Admit):
            await self._wait(gate, record.priority, decision.max_wait_s)
        return choice

    def left(self, generation: Generation) -> None:
        """Note the end of a generation and release queued ones while capacity allows."""
        service = generation.record.service
        gate = self._gate(service)
        gate.admission.finished(now_s())
        gate.queue.wake(lambda priority: self._fits(gate, generation, priority))

    def dump(self) -> dict[str, Any]:
        """Return the state for the state dump."""
        return {
            service: {"admission": gate.admission.dump(), "queue": gate.queue.dump()}
            for service, gate in sorted(self._gates.items())
        }

    def admissions(self) -> dict[str, Admission]:
        """Return the admission state of every service requested so far, by service."""
        return {service: gate.admission for service, gate in self._gates.items()}

    def admission(self, service: str) -> Admission:
        """Return the admission state of a service."""
        return self._gate(service).admission

    def _gate(self, service: str) -> ServiceGate:
        return self._gates.setdefault(service, ServiceGate())

    def _choose(self, generation: Generation) -> RouteChoice:
        try:
            return self._runner.choose(generation)
        except NoUpstream as error:
            raise CallerError(
                "no_upstream", str(error), retry_after_s=NO_UPSTREAM_RETRY_S
            ) from error

    def _better_away(
        self, gate: ServiceGate, query: AdmissionQuery, generation: Generation, home: RouteChoice
    ) -> RouteChoice:
        """Return a remote engine if only that meets the latency target, else the local one."""
        if gate.admission.fits(query, Prediction.of(home), promised=False, now_s=now_s()):
            return home
        try:
            away = self._runner.choose(generation, away=True)
        except NoUpstream:
            return home
        fits = gate.admission.fits(query, Prediction.of(away), promised=False, now_s=now_s())
        return away if fits else home

    def _check_dependencies(self, configuration: Configuration, service: str) -> None:
        for needed in configuration.services[service].depends_on:
            if not self._context.upstreams.serving(needed):
                raise CallerError(
                    "dependency_down",
                    f"{service} depends on {needed}, which has no serving upstream",
                    retry_after_s=NO_UPSTREAM_RETRY_S,
                )

    async def _wait(self, gate: ServiceGate, priority: int, max_wait_s: float) -> None:
        try:
            await gate.queue.wait(priority, max_wait_s)
        except QueueExpired:
            # A queued call is already accepted: it is dispatched at its latest start time, even
            # without free capacity.
            return

    def _fits(self, gate: ServiceGate, like: Generation, priority: int) -> bool:
        try:
            choice = self._runner.choose(like)
        except NoUpstream:
            return False
        query = AdmissionQuery(
            service=like.record.service,
            account="",
            digest="",
            priority=priority,
            latency=like.service.latency,
        )
        return gate.admission.fits(query, Prediction.of(choice), promised=False, now_s=now_s())
