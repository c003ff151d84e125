"""Load generator that spreads requests over several entries and checks every response.

A caller that loses its connection retries through another entry with the same idempotency key and,
for a stream, the identifier of the last event that it received.
"""

from __future__ import annotations

import asyncio
import json
import random
import secrets
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

from godwitpath.adapters.http_client import AnswerLost, HttpClient, HttpResponse, NotSent
from godwitpath_standin.load_result import CallOutcome, LoadResult
from godwitpath_standin.service_app import request_digest
from godwitpath_standin.text import expected_text

MAX_BODY_BYTES = 4_194_304
BASE_BACKOFF_S = 0.1
MAX_BACKOFF_S = 2.0
IDLE_TIMEOUT_S = 4.0


@dataclass(slots=True)
class LoadPlan:
    """Requests of a load, and the entries that receive them.

    :ivar urls: returns the base URLs of the entries to send requests to
    :ivar models: model by generation service
    :ivar api_keys: API keys of the accounts that may call a service, by service
    :ivar plain_service: service that receives the non-idempotent calls
    :ivar non_idempotent_path: path of the non-idempotent calls
    :ivar generations: number of streamed generations
    :ivar calls: number of non-idempotent calls
    :ivar rate_per_s: requests started per second, of both kinds together
    :ivar max_tokens: tokens of each generation
    :ivar prompt_characters: minimum and maximum length of a prompt
    :ivar deadline_s: time after the start of a request at which its caller gives up
    :ivar keyed: whether generations carry idempotency keys; without a key, a caller that lost its
        connection resumes by request identifier
    """

    urls: Callable[[], list[str]]
    models: dict[str, str]
    api_keys: dict[str, list[str]]
    plain_service: str = ""
    non_idempotent_path: str = ""
    generations: int = 200
    calls: int = 50
    rate_per_s: float = 20.0
    seed: int = 1
    max_tokens: int = 40
    prompt_characters: tuple[int, int] = (200, 2000)
    deadline_s: float = 30.0
    keyed: bool = True


@dataclass(slots=True)
class _StreamState:
    """State of a generation stream as received so far, over all attempts of the request."""

    text: str = ""
    tokens: int = 0
    last_event_id: str = ""
    request_id: str = ""
    finished: bool = False
    error_text: str = ""
    buffer: bytes = b""
    text_times_s: list[float] = field(default_factory=list)


class Load:
    """Sends the requests of a plan."""

    def __init__(self, plan: LoadPlan) -> None:
        self._plan = plan
        self._rng = random.Random(plan.seed)
        self._client = HttpClient()
        # Two loads with the same seed against one fleet must use different idempotency keys.
        self._run_id = secrets.token_hex(4)
        self.result = LoadResult()

    async def run(self) -> LoadResult:
        """Send every request, wait until all have ended, and return the outcomes."""
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        plan = self._plan
        kinds = ["generation"] * plan.generations + ["plain"] * plan.calls
        self._rng.shuffle(kinds)
        async with asyncio.TaskGroup() as group:
            for number, kind in enumerate(kinds):
                due_s = started_s + number / plan.rate_per_s
                await asyncio.sleep(max(0.0, due_s - loop.time()))
                send_request = (
                    self._stream_generation if kind == "generation" else self._call_plain_service
                )
                group.create_task(send_request(number))
        self.result.duration_s = loop.time() - started_s
        await self._client.close()
        return self.result

    async def _stream_generation(self, number: int) -> None:
        plan = self._plan
        service = self._rng.choice(sorted(plan.models))
        body = {
            "model": service,
            "messages": [{"role": "user", "content": self._make_prompt(number)}],
            "max_tokens": plan.max_tokens,
            "stream": True,
        }
        outcome = CallOutcome(f"load-{self._run_id}-{number}", "generation")
        self.result.outcomes.append(outcome)
        stream = _StreamState()
        headers = self._headers(service, outcome.key if plan.keyed else "")
        raw_body = json.dumps(body).encode()

        async def attempt(url: str) -> bool:
            resume_headers = (
                [("last-event-id", stream.last_event_id)] if stream.last_event_id else []
            )
            resume_by_id = bool(stream.request_id) and not plan.keyed
            path = (
                f"/v1/requests/{stream.request_id}/events"
                if resume_by_id
                else "/v1/chat/completions"
            )
            response = await self._client.open(
                "GET" if resume_by_id else "POST",
                f"{url}{path}",
                headers + resume_headers,
                b"" if resume_by_id else raw_body,
                timeout_s=plan.deadline_s,
                idle_timeout_s=IDLE_TIMEOUT_S,
            )
            if response.status != 200:
                await self._record_refusal(outcome, response)
                return False
            outcome.accepted = True
            stream.request_id = response.header("x-request-id")
            await self._read_stream(response, stream)
            return stream.finished

        started_s = asyncio.get_running_loop().time()
        if await self._retry_until_done(outcome, attempt):
            expected = expected_text(body, model=plan.models[service])
            outcome.wrong = stream.text != expected
            if outcome.wrong:
                outcome.detail = f"{stream.text[:60]!r} in place of {expected[:60]!r}"
        else:
            outcome.failed_attempts.append(f"given up after {stream.tokens} tokens")
        self._record_latencies(stream, started_s)

    async def _call_plain_service(self, number: int) -> None:
        plan = self._plan
        outcome = CallOutcome(f"load-{self._run_id}-{number}", "plain")
        self.result.outcomes.append(outcome)
        raw_body = json.dumps({"number": number, "text": self._make_prompt(number)}).encode()
        headers = self._headers(plan.plain_service, outcome.key)
        loop = asyncio.get_running_loop()
        started_s = loop.time()

        async def attempt(url: str) -> bool:
            response = await self._client.open(
                "POST",
                f"{url}/services/{plan.plain_service}{plan.non_idempotent_path}",
                headers,
                raw_body,
                timeout_s=plan.deadline_s,
            )
            if response.status != 200:
                await self._record_refusal(outcome, response)
                return False
            outcome.accepted = True
            echoed = json.loads(await response.read_all(MAX_BODY_BYTES))
            expected = request_digest("POST", plan.non_idempotent_path, raw_body)
            outcome.wrong = echoed.get("digest") != expected
            return True

        if await self._retry_until_done(outcome, attempt):
            self.result.plain_us.record_value(int((loop.time() - started_s) * 1e6))

    async def _retry_until_done(self, outcome: CallOutcome, attempt: Callable[[str], Any]) -> bool:
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + self._plan.deadline_s
        last_url = ""
        while loop.time() < deadline_s:
            outcome.attempts += 1
            urls = [url for url in self._plan.urls() if url != last_url] or [last_url]
            last_url = self._rng.choice(urls)
            started_s = loop.time()
            try:
                async with asyncio.timeout_at(deadline_s):
                    if await attempt(last_url):
                        outcome.state = "completed"
                        return True
                after_s = loop.time() - started_s
                outcome.failed_attempts.append(f"{last_url} {after_s:.3f} s: {outcome.detail}")
                backoff_s = BASE_BACKOFF_S * 2 ** min(outcome.attempts, 6)
                await asyncio.sleep(min(MAX_BACKOFF_S, backoff_s) * self._rng.uniform(0.5, 1.0))
            except (NotSent, AnswerLost, TimeoutError, ValueError) as error:
                outcome.detail = f"{type(error).__name__}: {error}"
                self.result.errors[type(error).__name__] += 1
                after_s = loop.time() - started_s
                outcome.failed_attempts.append(f"{last_url} {after_s:.3f} s: {outcome.detail}")
                # A call with a lost response may have run, although an earlier attempt was refused.
                if outcome.state == "refused" and not isinstance(error, NotSent):
                    outcome.state = "lost"
                await asyncio.sleep(BASE_BACKOFF_S * self._rng.random())
        return False

    async def _record_refusal(self, outcome: CallOutcome, response: HttpResponse) -> None:
        content = await response.read_all(MAX_BODY_BYTES)
        error = json.loads(content).get("error", {})
        self.result.refusals[str(error.get("code"))] += 1
        outcome.detail = f"{response.status}: {error.get('code')}: {error.get('message')}"
        outcome.state = "refused" if error.get("ran") == "no" else "unknown"
        if response.retry_after_s:
            await asyncio.sleep(min(response.retry_after_s, MAX_BACKOFF_S))

    async def _read_stream(self, response: HttpResponse, stream: _StreamState) -> None:
        loop = asyncio.get_running_loop()
        stream.buffer = b""
        stream.error_text = ""
        try:
            while chunk := await response.read():
                *events, stream.buffer = (stream.buffer + chunk).split(b"\n\n")
                for event in events:
                    _apply_event(stream, event, loop.time())
                if stream.error_text:
                    raise AnswerLost(stream.error_text)
        finally:
            response.close()

    def _record_latencies(self, stream: _StreamState, started_s: float) -> None:
        self.result.tokens += stream.tokens
        if not stream.text_times_s:
            return
        first_us = int((stream.text_times_s[0] - started_s) * 1e6)
        self.result.first_token_us.record_value(max(1, first_us))
        pairs = zip(stream.text_times_s, stream.text_times_s[1:], strict=False)
        for earlier_s, later_s in pairs:
            self.result.between_tokens_us.record_value(max(1, int((later_s - earlier_s) * 1e6)))

    def _headers(self, service: str, key: str) -> list[tuple[str, str]]:
        api_key = self._rng.choice(self._plan.api_keys[service])
        headers = [("content-type", "application/json"), ("authorization", f"Bearer {api_key}")]
        return [*headers, ("idempotency-key", key)] if key else headers

    def _make_prompt(self, number: int) -> str:
        min_length, max_length = self._plan.prompt_characters
        length = self._rng.randint(min_length, max_length)
        text = f"request {self._run_id} {number} " + "lorem ipsum dolor sit amet " * (
            length // 27 + 1
        )
        return text[:length]


def _apply_event(stream: _StreamState, event: bytes, now_s: float) -> None:
    fields = dict(_event_fields(event))
    data = fields.get(b"data", b"")
    if fields.get(b"event") == b"error":
        stream.error_text = data.decode(errors="replace")[:200]
        return
    if not data:
        return
    if data == b"[DONE]":
        stream.finished = True
        return
    choices = json.loads(data).get("choices") or [{}]
    text = choices[0].get("delta", {}).get("content") or ""
    if text:
        stream.text += text
        stream.text_times_s.append(now_s)
    if b"id" in fields:
        stream.last_event_id = fields[b"id"].decode()
        stream.tokens = int(stream.last_event_id.split(":")[1])


def _event_fields(event: bytes) -> Iterator[tuple[bytes, bytes]]:
    for line in event.split(b"\n"):
        name, separator, value = line.partition(b":")
        if separator and name:
            yield name, value.removeprefix(b" ")
