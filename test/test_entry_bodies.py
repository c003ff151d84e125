"""Guards against malformed bodies that are accepted or that fail with an untyped error.

Also covers the retry rule of plain calls and the priority that a caller may request.
"""

from __future__ import annotations

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from godwitpath.config.model import Operation, Service
from godwitpath.entry.caller_body import parse_generation
from godwitpath.entry.forward import CallRule, call_rule
from godwitpath.entry.generate import priority_level
from godwitpath.entry.refusals import CallerError

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)


def _refusal(raw: bytes, chat: bool) -> CallerError | None:
    try:
        parse_generation(raw, chat)
    except CallerError as error:
        return error
    return None


@given(st.binary(max_size=200), st.booleans())
def test_any_bytes_are_parsed_or_refused_as_malformed(raw: bytes, chat: bool) -> None:
    refusal = _refusal(raw, chat)
    assert refusal is None or (refusal.status, refusal.ran) == (400, "no")


@given(
    st.dictionaries(st.sampled_from(["model", "messages", "prompt", "max_tokens", "n"]), JSON),
    st.booleans(),
)
def test_any_object_is_parsed_or_refused_as_malformed(body: dict[str, object], chat: bool) -> None:
    refusal = _refusal(json.dumps(body).encode(), chat)
    assert refusal is None or refusal.reason == "malformed_request"


def test_chat_fields_are_parsed() -> None:
    raw = b'{"model":"m","messages":[{"role":"user","content":"x"}],"stream":true,"max_tokens":7}'
    parsed = parse_generation(raw, chat=True)
    assert (parsed.service, parsed.streamed, parsed.max_tokens) == ("m", True, 7)


BOOKINGS = Service(
    kind="plain",
    operations=[
        Operation("POST", "/bookings", idempotent=False, status_path="/bookings/by-key/{key}"),
        Operation("POST", "/bookings/search", idempotent=True),
    ],
)


@pytest.mark.parametrize(
    ("method", "path", "key", "expected"),
    [
        ("POST", "/bookings", "k", CallRule(True, False, True, "/bookings/by-key/{key}")),
        ("POST", "/bookings?x=1", "", CallRule(True, False, True, "/bookings/by-key/{key}")),
        ("POST", "/bookings/search", "", CallRule(False, True, False)),
        ("POST", "/bookingsX", "", CallRule(False, False, False)),
        ("POST", "/other", "k", CallRule(True, False, False)),
        ("GET", "/bookings", "", CallRule(False, True, False)),
    ],
)
def test_call_rule_by_operation_and_method(
    method: str, path: str, key: str, expected: CallRule
) -> None:
    assert call_rule(BOOKINGS, method, path, key) == expected


def test_caller_can_lower_but_not_raise_priority() -> None:
    assert priority_level("plan", "batch") == 2
    assert priority_level("plan", "interactive") == 1
    assert priority_level("plan", "nonsense") == 1
