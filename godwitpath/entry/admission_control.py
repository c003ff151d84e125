"""Admission control of generations: dependencies, latency targets and the admission queue."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from godwitpath.admission.decide import AdmissionPolicy, AdmissionQuery, Admit, Prediction, Refuse
from godwitpath.admission.queue import AdmissionQueue, QueueExpired
from godwitpath.config.model import Configuration
from godwitpath.entry.context import EntryContext, now_s
from godwitpath.entry.generate import GenerationRunner
from godwitpath.entry.generation import Generation
from godwitpath.entry.refusals import NO_UPSTREAM_RETRY_S, CallerError
from godwitpath.routing.choose import NoUpstream, RouteChoice

EXPECTED_TOKENS = 128
"""Output tokens that admission expects of a generation with a higher output limit."""


@dataclass(slots=True)
class ServiceAdmission:
    """Admission state of one service at this entry."""

    admission: AdmissionPolicy = field(default_factory=AdmissionPolicy)
    queue: AdmissionQueue = field(default_factory=AdmissionQueue)


class AdmissionController:
    """Admits or refuses generations, separately for each service."""

    __slots__ = ("_admission_by_service", "_context", "_runner")

    def __init__(self, context: EntryContext, runner: GenerationRunner) -> None:
        self._context = context
        self._runner = runner
        self._admission_by_service: dict[str, ServiceAdmission] = {}

    async def admit(self, generation: Generation, digest: str) -> RouteChoice:
        """Wait until the generation may be dispatched.

        :param digest: digest of account and body, the same when the caller retries
        :returns: the upstream choice on which the admission decision is based
        :raises CallerError: the generation is refused; carries the retry-after
        """
        record = generation.record
        self._check_dependencies(self._context.configuration(), record.service)
        choice = self._choose(generation)
        service_admission = self._service_admission(record.service)
        query = AdmissionQuery(
            service=record.service,
            account=record.account,
            digest=digest,
            priority=record.priority,
            time_left_s=generation.deadline_s - now_s(),
            expected_tokens=min(generation.max_tokens, EXPECTED_TOKENS),
            latency=generation.service.latency,
        )
        choice = self._fall_back_to_remote(service_admission, query, generation, choice)
        queue_state = service_admission.queue.state(record.priority)
        decision = service_admission.admission.decide(
            query, Prediction.of(choice), queue_state, now_s()
        )
        if isinstance(decision, Refuse):
            raise CallerError("overloaded", decision.reason, retry_after_s=decision.retry_after_s)
        if not isinstance(decision, Admit):
            await self._wait_in_queue(service_admission, record.priority, decision.max_wait_s)
        return choice

    def finished(self, generation: Generation) -> None:
        """Record the end of a generation, and release queued generations while capacity allows."""
        service = generation.record.service
        service_admission = self._service_admission(service)
        service_admission.admission.finished(now_s())
        service_admission.queue.release(
            lambda priority: self._fits(service_admission, generation, priority)
        )

    def dump(self) -> dict[str, Any]:
        """Return the admission and queue state of each service for the state dump."""
        return {
            service: {
                "admission": service_admission.admission.dump(),
                "queue": service_admission.queue.dump(),
            }
            for service, service_admission in sorted(self._admission_by_service.items())
        }

    def admissions(self) -> dict[str, AdmissionPolicy]:
        """Return the admission policy of every service requested so far, by service."""
        return {
            service: service_admission.admission
            for service, service_admission in self._admission_by_service.items()
        }

    def admission(self, service: str) -> AdmissionPolicy:
        """Return the admission policy of a service, created on first use."""
        return self._service_admission(service).admission

    def _service_admission(self, service: str) -> ServiceAdmission:
        return self._admission_by_service.setdefault(service, ServiceAdmission())

    def _choose(self, generation: Generation) -> RouteChoice:
        try:
            return self._runner.choose(generation)
        except NoUpstream as error:
            raise CallerError(
                "no_upstream", str(error), retry_after_s=NO_UPSTREAM_RETRY_S
            ) from error

    def _fall_back_to_remote(
        self,
        service_admission: ServiceAdmission,
        query: AdmissionQuery,
        generation: Generation,
        local: RouteChoice,
    ) -> RouteChoice:
        """Return the choice of a remote engine if only a remote engine meets the latency target.

        :returns: otherwise the local choice
        """
        if service_admission.admission.fits(
            query, Prediction.of(local), reserved=False, now_s=now_s()
        ):
            return local
        try:
            remote = self._runner.choose(generation, remote_only=True)
        except NoUpstream:
            return local
        fits = service_admission.admission.fits(
            query, Prediction.of(remote), reserved=False, now_s=now_s()
        )
        return remote if fits else local

    def _check_dependencies(self, configuration: Configuration, service: str) -> None:
        for dependency in configuration.services[service].depends_on:
            if not self._context.upstreams.serving(dependency):
                raise CallerError(
                    "dependency_down",
                    f"{service} depends on {dependency}, which has no serving upstream",
                    retry_after_s=NO_UPSTREAM_RETRY_S,
                )

    async def _wait_in_queue(
        self, service_admission: ServiceAdmission, priority: int, max_wait_s: float
    ) -> None:
        try:
            await service_admission.queue.wait(priority, max_wait_s)
        except QueueExpired:
            # A queued call is already accepted: it is dispatched at its latest start time, even
            # without free capacity.
            return

    def _fits(self, service_admission: ServiceAdmission, sample: Generation, priority: int) -> bool:
        try:
            choice = self._runner.choose(sample)
        except NoUpstream:
            return False
        query = AdmissionQuery(
            service=sample.record.service,
            account="",
            digest="",
            priority=priority,
            latency=sample.service.latency,
        )
        return service_admission.admission.fits(
            query, Prediction.of(choice), reserved=False, now_s=now_s()
        )
