"""Header fields of callers' requests and of engines' responses."""

from __future__ import annotations

from godwitpath.gateway.calls import CallerFields, EngineVerdict, PromptPart, SendFields
from godwitpath.http1.messages import Headers, ResponseHead, end_to_end

_REQUEST_ID = b"x-attempt-id"  # names a caller's try, not one of our own sends
_DEADLINE_MS = b"x-deadline-ms"
_API_KEY = b"api-key"
_TOKENS = b"x-token-count"  # prompt tokens, most output tokens
_PREFIX = b"x-prompt-prefix"
_LENGTH_HINT = b"x-length-hint"  # output tokens that the caller expects
_LAST_EVENT = b"last-event-id"
_STAMP = b"x-response-stamp"
_NOT_RUN = b"x-not-executed"
_RETRY_AFTER = b"retry-after"
_EXPECT_ENGINE = b"x-expect-instance"
_ACCOUNT = b"x-tenant"
_MEMORY_SOURCE = b"kv-from"
_PRIORITY = b"x-request-priority"

_OWN_FIELDS = frozenset(
    (
        _API_KEY,
        _DEADLINE_MS,
        _ACCOUNT,
        _EXPECT_ENGINE,
        _PRIORITY,
        b"expect",
        b"x-expect-version",
        b"x-hold",
        b"x-pin-ms",
        b"x-kv-backup",
        _MEMORY_SOURCE,
        b"kv-fetch",
    )
)
"""Fields that only this system sets on a request to an engine."""

MAX_PRIORITY = 9
MISDIRECTED = 421


def decode_caller(headers: Headers) -> CallerFields:
    """Return what a caller's header fields say; unreadable ones count as absent."""
    found = CallerFields()
    for name, value in headers:
        if name == _REQUEST_ID:
            found.request_id = value
        elif name == _API_KEY:
            found.api_key = value
        elif name == _DEADLINE_MS:
            found.deadline_s = _number(value, 1000.0)
        elif name == _TOKENS:
            prompt, _, output = value.partition(b",")
            found.prompt_tokens = int(_number(prompt) or 0)
            found.max_output_tokens = int(_number(output) or 0)
            found.states_tokens = True
        elif name == _LENGTH_HINT:
            found.expected_output_tokens = int(_number(value) or 0)
        elif name == _PREFIX:
            found.prompt_parts = _parts(value)
        elif name == _LAST_EVENT:
            found.last_event_id = int(value) if value.isdigit() else None
    return found


def engine_headers(headers: Headers, send: SendFields) -> Headers:
    """Return the header fields of a request to an engine.

    :param headers: the caller's
    """
    dropped = _OWN_FIELDS if send.last_event_id is None else _OWN_FIELDS | {_LAST_EVENT}
    fields = [(name, value) for name, value in end_to_end(headers) if name not in dropped]
    fields.append((_DEADLINE_MS, b"%d" % max(1, int(send.time_left_s * 1000))))
    fields.append((_EXPECT_ENGINE, send.engine_id.encode()))
    if send.account:
        fields.append((_ACCOUNT, send.account.encode()))
    if send.priority is not None:
        fields.append((_PRIORITY, b"%d" % min(MAX_PRIORITY, max(0, send.priority))))
    if send.last_event_id is not None:
        fields.append((_LAST_EVENT, b"%d" % send.last_event_id))
    if send.memory is not None:
        source = f"{send.memory.address}/{send.memory.handle}"
        fields.append((_MEMORY_SOURCE, source.encode()))
    return fields


def read_verdict(head: ResponseHead, request_id: bytes) -> EngineVerdict:
    """Return what an engine's response head says of the run."""
    echoed = head.header(_REQUEST_ID)
    refused = head.status == MISDIRECTED or bool(head.header(_NOT_RUN))
    return EngineVerdict(
        belongs=not echoed or not request_id or echoed == request_id,
        not_run=refused and head.status >= 400,
        wrong_engine=head.status == MISDIRECTED,
        genuine=bool(head.header(_STAMP)) and not head.header(b"content-encoding"),
        retry_after_s=_number(head.header(_RETRY_AFTER)),
    )


def refusal_headers(request_id: bytes, retry_after_s: float | None) -> Headers:
    """Return the header fields of a response of our own."""
    fields: Headers = []
    if request_id:
        fields.append((_REQUEST_ID, request_id))
    if retry_after_s is not None:
        fields.append((_RETRY_AFTER, b"%.3f" % max(0.0, retry_after_s)))
    return fields


def _number(value: bytes, divisor: float = 1.0) -> float | None:
    try:
        number = float(value) / divisor
    except ValueError:
        return None
    return number if 0.0 <= number < 1e12 else None


def _parts(value: bytes) -> tuple[PromptPart, ...]:
    parts = []
    for entry in value.split(b","):
        part_id, _, tokens = entry.strip().partition(b":")
        if not part_id or not tokens.isdigit():
            return ()
        parts.append(PromptPart(part_id.decode("latin-1"), int(tokens)))
    return tuple(parts)
