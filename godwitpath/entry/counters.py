"""Metrics of request handling."""

from __future__ import annotations

from godwitpath.telemetry.metrics import Metrics


class EntryMetrics:
    """Metric instruments of one entry, named after the OpenTelemetry conventions."""

    __slots__ = (
        "_metrics",
        "abandoned",
        "accepted",
        "answered",
        "attempts",
        "attempts_lost",
        "between_tokens_s",
        "cached_tokens",
        "cancelled",
        "first_token_s",
        "foreign_chunks",
        "internal_errors",
        "moved",
        "prompt_tokens",
        "recomputed_tokens",
        "refused",
        "tokens",
        "unknown_outcomes",
        "without_backup",
    )

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        counter = metrics.counter
        self.accepted = counter("godwitpath.requests.accepted", "{request}", "Requests accepted.")
        self.answered = counter("godwitpath.requests.answered", "{request}", "Outcomes reached.")
        self.refused = counter("godwitpath.requests.refused", "{request}", "Requests refused.")
        self.without_backup = counter(
            "godwitpath.requests.alone", "{request}", "Accepted without backup."
        )
        self.attempts = counter("godwitpath.attempts", "{attempt}", "Attempts sent upstream.")
        self.attempts_lost = counter(
            "godwitpath.attempts.lost", "{attempt}", "Attempts that failed."
        )
        self.moved = counter(
            "godwitpath.attempts.moved", "{attempt}", "Moved off leaving upstreams."
        )
        self.foreign_chunks = counter("godwitpath.chunks.foreign", "{chunk}", "Of other attempts.")
        self.tokens = counter("godwitpath.tokens.generated", "{token}", "Tokens received.")
        self.prompt_tokens = counter("godwitpath.tokens.prompt", "{token}", "Prompt tokens.")
        self.cached_tokens = counter("godwitpath.tokens.cached", "{token}", "From engines' caches.")
        self.recomputed_tokens = counter(
            "godwitpath.tokens.recomputed", "{token}", "Computed again after an attempt was lost."
        )
        self.abandoned = counter("godwitpath.requests.abandoned", "{request}", "Callers gone.")
        self.cancelled = counter("godwitpath.requests.cancelled", "{request}", "Stopped unheard.")
        self.unknown_outcomes = counter(
            "godwitpath.calls.unsettled", "{call}", "Outcomes not known."
        )
        self.internal_errors = counter(
            "godwitpath.errors.internal", "{error}", "Errors of our own."
        )
        self.first_token_s = metrics.histogram(
            "godwitpath.first_token.duration", "s", "Time from acceptance to the first token."
        )
        self.between_tokens_s = metrics.histogram(
            "godwitpath.between_tokens.duration", "s", "Mean time between tokens of an answer."
        )

    def render(self) -> tuple[bytes, str]:
        """Return all metrics in the Prometheus text format, and its content type."""
        return self._metrics.render()
