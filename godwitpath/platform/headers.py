"""Decodes and encodes the header fields of requests and responses."""

from __future__ import annotations

import re

from godwitpath.decoding import parse_whole
from godwitpath.gateway.wire_fields import (
    CallerFields,
    EngineResponseFields,
    PromptPart,
    SendFields,
)
from godwitpath.http1.messages import Headers, ResponseHead, end_to_end_headers

_REQUEST_ID = b"x-attempt-id"  # identifies a caller's attempt, not an attempt of the gateway
_DEADLINE_MS = b"x-deadline-ms"
_API_KEY = b"api-key"
_TOKEN_COUNT = b"x-token-count"  # prompt tokens, maximum output tokens
_PROMPT_PREFIX = b"x-prompt-prefix"
_LENGTH_HINT = b"x-length-hint"  # output tokens that the caller expects
_LAST_EVENT_ID = b"last-event-id"
_RESPONSE_STAMP = b"x-response-stamp"
_NOT_EXECUTED = b"x-not-executed"
_RETRY_AFTER = b"retry-after"
_EXPECTED_ENGINE = b"x-expect-instance"
_ACCOUNT = b"x-tenant"
_LEAVING = b"server-leaving"  # "1" if the engine leaves
_ENGINE_LIMIT = b"server-limit"  # requests a second from all daemons together
_KV_CACHE_SOURCE = b"kv-from"
_REQUEST_PRIORITY = b"x-request-priority"

_INTERNAL_FIELDS = frozenset(
    (
        _API_KEY,
        _DEADLINE_MS,
        _ACCOUNT,
        _EXPECTED_ENGINE,
        _REQUEST_PRIORITY,
        b"expect",
        b"x-expect-version",
        b"x-hold",
        b"x-pin-ms",
        b"x-kv-backup",
        _KV_CACHE_SOURCE,
        b"kv-fetch",
    )
)
"""Fields that only the gateway may set on a request to an engine; a caller's values are dropped."""

MAX_PRIORITY = 9
"""Largest priority number that engines accept; requests with priority 0 run first."""

MISDIRECTED_STATUS = 421
"""Status of an engine that received a request for another engine."""

_NUMBER_END = 10**12
"""Numbers of callers are below this, so that the sum of those of a request fits 53 bits."""

_DECIMAL_NUMBER = re.compile(rb"\d{1,12}(\.\d{1,12})?")


def decode_caller(headers: Headers) -> CallerFields:
    """Return the values of a caller's header fields; invalid values count as absent."""
    caller_fields = CallerFields()
    for name, value in headers:
        if name == _REQUEST_ID:
            caller_fields.request_id = value
        elif name == _API_KEY:
            caller_fields.api_key = value
        elif name == _DEADLINE_MS:
            caller_fields.deadline_s = _parse_number(value, 1000.0)
        elif name == _TOKEN_COUNT:
            prompt, _, output = value.partition(b",")
            caller_fields.prompt_tokens = int(_parse_number(prompt) or 0)
            caller_fields.max_output_tokens = int(_parse_number(output) or 0)
            caller_fields.has_token_counts = True
        elif name == _LENGTH_HINT:
            caller_fields.expected_output_tokens = int(_parse_number(value) or 0)
        elif name == _PROMPT_PREFIX:
            caller_fields.prompt_parts = _parse_prompt_parts(value)
        elif name == _LAST_EVENT_ID:
            caller_fields.last_event_id = parse_whole(value)
    return caller_fields


def engine_headers(headers: Headers, send: SendFields) -> Headers:
    """Return the header fields of a request to an engine.

    :param headers: header fields of the caller's request
    :param send: values for this send of the request
    """
    dropped_names = (
        _INTERNAL_FIELDS if send.last_event_id is None else _INTERNAL_FIELDS | {_LAST_EVENT_ID}
    )
    fields = [
        (name, value) for name, value in end_to_end_headers(headers) if name not in dropped_names
    ]
    fields.append((_DEADLINE_MS, b"%d" % max(1, int(send.time_left_s * 1000))))
    fields.append((_EXPECTED_ENGINE, send.engine_id.encode()))
    if send.account:
        fields.append((_ACCOUNT, send.account.encode()))
    if send.priority is not None:
        fields.append((_REQUEST_PRIORITY, b"%d" % min(MAX_PRIORITY, max(0, send.priority))))
    if send.last_event_id is not None:
        fields.append((_LAST_EVENT_ID, b"%d" % send.last_event_id))
    if send.kv_cache is not None:
        source = f"{send.kv_cache.address}/{send.kv_cache.handle}"
        fields.append((_KV_CACHE_SOURCE, source.encode()))
    return fields


def decode_engine_response(head: ResponseHead, request_id: bytes) -> EngineResponseFields:
    """Return what an engine's response head states about the run of a request.

    :param request_id: id of the request that was sent, empty if it has none
    """
    echoed_ids = {value for name, value in head.headers if name == _REQUEST_ID}
    not_executed = head.status == MISDIRECTED_STATUS or bool(head.header(_NOT_EXECUTED))
    limit_per_s, unreadable_limit = _decode_limits(head.headers)
    retry_after_s, unreadable_retry_after = _decode_retry_after(head.headers)
    leaving, unreadable_leaving = _decode_leaving(head.headers)
    return EngineResponseFields(
        matches_request=echoed_ids <= {request_id, b""},
        not_run=not_executed and head.status >= 400,
        wrong_engine=head.status == MISDIRECTED_STATUS,
        from_engine=bool(head.header(_RESPONSE_STAMP)) and not head.header(b"content-encoding"),
        retry_after_s=retry_after_s,
        limit_per_s=limit_per_s,
        unreadable_limit=unreadable_limit,
        leaving=leaving,
        unreadable_notice=unreadable_retry_after or unreadable_leaving,
        names_request=bool(request_id) and echoed_ids == {request_id},
    )


def _decode_retry_after(headers: Headers) -> tuple[float | None, str]:
    """Return the longest time that a response states in seconds, and a value that is unreadable."""
    times_s: list[float] = []
    unreadable = ""
    for name, value in headers:
        if name != _RETRY_AFTER:
            continue
        if _DECIMAL_NUMBER.fullmatch(value):
            times_s.append(float(value))
        else:
            unreadable = _describe_unreadable(name, value)
    return max(times_s, default=None), unreadable


def _decode_leaving(headers: Headers) -> tuple[bool, str]:
    """Return whether a response states that its engine leaves, and a value that is unreadable."""
    leaving = False
    unreadable = ""
    for name, value in headers:
        if name != _LEAVING:
            continue
        if value == b"1":
            leaving = True
        elif value != b"0":
            unreadable = _describe_unreadable(name, value)
    return leaving, unreadable


def _describe_unreadable(name: bytes, value: bytes) -> str:
    return f"{name.decode()}: {value[:40].decode('latin-1')}"


def _decode_limits(headers: Headers) -> tuple[float | None, str]:
    """Return the lowest limit that a response states, and the last one that cannot be read."""
    limit_per_s: float | None = None
    unreadable = ""
    for name, value in headers:
        if name != _ENGINE_LIMIT:
            continue
        if _DECIMAL_NUMBER.fullmatch(value):
            stated_per_s = float(value)
            limit_per_s = stated_per_s if limit_per_s is None else min(limit_per_s, stated_per_s)
        else:
            unreadable = value[:40].decode("latin-1") or "(empty)"
    return limit_per_s, unreadable


def own_response_headers(request_id: bytes, retry_after_s: float | None) -> Headers:
    """Return the header fields of a response that the gateway generates itself."""
    fields: Headers = []
    if request_id:
        fields.append((_REQUEST_ID, request_id))
    if retry_after_s is not None:
        fields.append((_RETRY_AFTER, b"%.3f" % max(0.0, retry_after_s)))
    return fields


def _parse_number(value: bytes, divisor: float = 1.0) -> float | None:
    try:
        number = float(value) / divisor
    except ValueError:
        return None
    return number if 0.0 <= number < _NUMBER_END else None


def _parse_prompt_parts(value: bytes) -> tuple[PromptPart, ...]:
    parts = []
    for entry in value.split(b","):
        part_id, _, stated_tokens = entry.strip().partition(b":")
        tokens = parse_whole(stated_tokens)
        if not part_id or tokens is None or tokens >= _NUMBER_END:
            return ()
        parts.append(PromptPart(part_id.decode("latin-1"), tokens))
    return tuple(parts)
