"""Continuous batching of a simulated model engine: one loop steps all sequences."""

from __future__ import annotations

import asyncio
import random
from collections import deque
from dataclasses import dataclass, field
from typing import Any

from godwitpath.adapters.engine_wire import CallExtension
from godwitpath.ports.engine import LoadReport
from godwitpath_standin.prefix_cache import PrefixCache, block_digests
from godwitpath_standin.text import (
    completion_tokens,
    prompt_text,
    prompt_tokens,
    request_digest,
    text_between,
)


@dataclass(slots=True)
class EngineParameters:
    """Speed and capacity of an engine.

    :ivar step_s: duration of a decoding step with one sequence
    :ivar step_per_sequence_s: time that each further sequence adds to a decoding step
    :ivar prefill_tokens_per_s: speed of prefilling uncached prompt tokens
    :ivar prefill_chunk_tokens: maximum number of prompt tokens prefilled in one step
    :ivar max_batch: maximum number of sequences in the batch
    :ivar max_waiting: maximum number of queued sequences
    :ivar cache_tokens: capacity of the prefix cache
    :ivar load_lag_s: age of the load reports
    :ivar event_lag_s: delay until a cache event is published
    :ivar event_gap_ratio: fraction of the cache events that are never published
    :ivar stream_retention_s: time after the end of a stream during which it can be resumed
    """

    step_s: float = 0.02
    step_per_sequence_s: float = 0.0005
    prefill_tokens_per_s: float = 20_000.0
    prefill_chunk_tokens: int = 2048
    max_batch: int = 48
    max_waiting: int = 200
    cache_tokens: int = 400_000
    load_lag_s: float = 1.0
    event_lag_s: float = 0.5
    event_gap_ratio: float = 0.05
    stream_retention_s: float = 60.0


@dataclass(slots=True)
class EngineCounts:
    """Counters of the work that the engine did; `/stats` shows them under their names.

    :ivar requests: number of generations accepted
    :ivar finished: number of generations completed
    :ivar cancelled: number of generations cancelled
    :ivar prefilled: number of prompt tokens prefilled
    :ivar cached: number of prompt tokens found in the prefix cache
    :ivar generated: number of tokens decoded
    :ivar recomputed: uncached tokens of continuations, which repeat work that this or another
        engine did for an earlier attempt
    :ivar wrong_continuations: continuations with delivered text that differs from the text of the
        response
    :ivar resumed: number of streams resumed
    """

    requests: int = 0
    finished: int = 0
    cancelled: int = 0
    prefilled: int = 0
    cached: int = 0
    generated: int = 0
    recomputed: int = 0
    wrong_continuations: int = 0
    resumed: int = 0


@dataclass(slots=True, eq=False)
class Sequence:
    """One generation.

    :ivar stream_id: identifier under which the stream can be resumed and cancelled
    :ivar digest: digest of the request, which determines the text of the response
    :ivar chat: whether the request is a chat completion
    :ivar priority: smaller values are scheduled first
    :ivar number: position in the order of arrival
    :ivar total_tokens: tokens of the complete response
    :ivar produced_tokens: tokens of the response that exist, including those of earlier attempts
    :ivar prompt_tokens: tokens of the prompt, including text delivered by earlier attempts
    :ivar cached_tokens: prompt tokens found in the prefix cache
    :ivar uncached_tokens: prompt tokens still to prefill
    :ivar text: prompt and text delivered by earlier attempts
    :ivar finish_reason: `stop` or `cancelled`; empty while the sequence runs
    :ivar ended_at_s: loop time of the end of the sequence
    :ivar changed: set, and replaced by a new event, whenever the sequence changes
    """

    stream_id: str
    digest: str
    chat: bool
    priority: int
    number: int
    total_tokens: int
    produced_tokens: int
    prompt_tokens: int
    cached_tokens: int
    uncached_tokens: int
    text: str
    finish_reason: str = ""
    ended_at_s: float = 0.0
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def text_after(self, tokens: int) -> str:
        """Return the text produced after the first `tokens` tokens of the response."""
        return text_between(self.digest, tokens, self.produced_tokens)

    def notify(self) -> None:
        """Wake all tasks that wait for a change of the sequence."""
        self.changed.set()
        self.changed = asyncio.Event()


class EngineQueueFull(Exception):
    """The queue holds the maximum number of sequences."""


class EngineCore:
    """Sequences, batch and prefix cache of an engine.

    :ivar counts: counters of the work done
    """

    def __init__(self, parameters: EngineParameters, rng: random.Random) -> None:
        self.parameters = parameters
        self.counts = EngineCounts()
        self.cache = PrefixCache(
            parameters.cache_tokens, rng, parameters.event_lag_s, parameters.event_gap_ratio
        )
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        self._sequences: dict[str, Sequence] = {}
        self._waiting: list[Sequence] = []
        self._batch: list[Sequence] = []
        self._last_number = 0
        self._work_available = asyncio.Event()
        self._reports: deque[LoadReport] = deque(maxlen=600)
        self._step_task = asyncio.create_task(self._run_steps())

    def start(self, body: dict[str, Any], chat: bool, extension: CallExtension) -> Sequence:
        """Queue a generation.

        :param body: decoded request body
        :param chat: whether the request is a chat completion
        :param extension: attempt, priority and text delivered by earlier attempts
        :raises EngineQueueFull: the queue holds `max_waiting` sequences
        """
        if len(self._waiting) >= self.parameters.max_waiting:
            raise EngineQueueFull
        digest = request_digest(body)
        prompt = prompt_text(body)
        text = prompt + ("assistant: " if chat else "") + extension.delivered_text
        cached_tokens = self.cache.cached_tokens(block_digests(text))
        text_tokens = prompt_tokens(text)
        delivered_tokens = extension.delivered_tokens
        if text_between(digest, 0, delivered_tokens) != extension.delivered_text:
            self.counts.wrong_continuations += 1
        self._last_number += 1
        sequence = Sequence(
            stream_id=f"{self._rng.getrandbits(128):032x}",
            digest=digest,
            chat=chat,
            priority=extension.priority,
            number=self._last_number,
            total_tokens=completion_tokens(body),
            produced_tokens=delivered_tokens,
            prompt_tokens=text_tokens,
            cached_tokens=min(cached_tokens, text_tokens),
            uncached_tokens=max(1, text_tokens - cached_tokens),
            text=text,
        )
        self.counts.requests += 1
        self.counts.cached += sequence.cached_tokens
        if delivered_tokens:
            self.counts.recomputed += sequence.uncached_tokens
        self._sequences[sequence.stream_id] = sequence
        self._waiting.append(sequence)
        self._waiting.sort(key=lambda item: (item.priority, item.number))
        self._work_available.set()
        return sequence

    def find(self, stream_id: str) -> Sequence | None:
        """Return a running or recently ended sequence, None for an unknown stream."""
        return self._sequences.get(stream_id)

    def cancel(self, stream_id: str) -> None:
        """Cancel a sequence; does nothing when it is unknown or has ended."""
        sequence = self._sequences.get(stream_id)
        if sequence is not None and not sequence.finish_reason:
            self.counts.cancelled += 1
            self._end(sequence, "cancelled")

    def load_report(self, lag_s: float = -1.0) -> LoadReport:
        """Return the latest load report that is at least `lag_s` old.

        :param lag_s: minimum age of the report; negative for the engine's `load_lag_s`
        """
        lag_s = self.parameters.load_lag_s if lag_s < 0 else lag_s
        due_s = self._loop.time() - lag_s
        reports = [report for report in self._reports if report.reported_at_s <= due_s]
        return reports[-1] if reports else LoadReport(0, 0, 0, self.cache.free_tokens, due_s)

    def running(self) -> int:
        """Return the number of sequences that have not ended."""
        return len(self._batch) + len(self._waiting)

    async def _run_steps(self) -> None:
        report_task = asyncio.create_task(self._record_load_reports())
        try:
            while True:
                if not self._batch and not self._waiting:
                    self._work_available.clear()
                    await self._work_available.wait()
                started_s = self._loop.time()
                self._fill_batch()
                prefilled_tokens = self._prefill()
                step_s = self._step_time_s(prefilled_tokens)
                await asyncio.sleep(max(0.0, started_s + step_s - self._loop.time()))
                self._decode()
        finally:
            report_task.cancel()

    async def _record_load_reports(self) -> None:
        while True:
            now_s = self._loop.time()
            waiting_tokens = sum(item.uncached_tokens for item in self._waiting + self._batch)
            self._reports.append(
                LoadReport(
                    running=len(self._batch),
                    waiting=len(self._waiting),
                    waiting_tokens=waiting_tokens,
                    free_cache_tokens=self.cache.free_tokens,
                    reported_at_s=now_s,
                )
            )
            self._drop_expired_streams(now_s)
            await asyncio.sleep(0.1)

    def _fill_batch(self) -> None:
        free_slots = self.parameters.max_batch - len(self._batch)
        self._batch += self._waiting[:free_slots]
        del self._waiting[:free_slots]

    def _prefill(self) -> int:
        budget_tokens = self.parameters.prefill_chunk_tokens
        for sequence in sorted(self._batch, key=lambda item: (item.priority, item.number)):
            chunk_tokens = min(budget_tokens, sequence.uncached_tokens)
            if chunk_tokens == 0:
                continue
            sequence.uncached_tokens -= chunk_tokens
            budget_tokens -= chunk_tokens
            if sequence.uncached_tokens == 0:
                self.cache.add(block_digests(sequence.text), self._loop.time())
        prefilled_tokens = self.parameters.prefill_chunk_tokens - budget_tokens
        self.counts.prefilled += prefilled_tokens
        return prefilled_tokens

    def _step_time_s(self, prefilled_tokens: int) -> float:
        parameters = self.parameters
        decode_s = parameters.step_s + parameters.step_per_sequence_s * (len(self._batch) - 1)
        return decode_s + prefilled_tokens / parameters.prefill_tokens_per_s

    def _decode(self) -> None:
        for sequence in list(self._batch):
            if sequence.uncached_tokens or sequence.finish_reason:
                continue
            if sequence.produced_tokens < sequence.total_tokens:
                sequence.produced_tokens += 1
                self.counts.generated += 1
            if sequence.produced_tokens >= sequence.total_tokens:
                self.counts.finished += 1
                self._end(sequence, "stop")
            else:
                sequence.notify()

    def _end(self, sequence: Sequence, reason: str) -> None:
        sequence.finish_reason = reason
        sequence.ended_at_s = self._loop.time()
        for queue in (self._batch, self._waiting):
            if sequence in queue:
                queue.remove(sequence)
        # The next prompt of the conversation starts with this prompt and response.
        if reason == "stop":
            response_text = text_between(sequence.digest, 0, sequence.total_tokens)
            full_text = sequence.text + response_text + "\n"
            self.cache.add(block_digests(full_text), self._loop.time())
        sequence.notify()

    def _drop_expired_streams(self, now_s: float) -> None:
        oldest_s = now_s - self.parameters.stream_retention_s
        ended_sequences = [item for item in self._sequences.values() if item.finish_reason]
        for sequence in ended_sequences:
            if sequence.ended_at_s < oldest_s:
                del self._sequences[sequence.stream_id]
