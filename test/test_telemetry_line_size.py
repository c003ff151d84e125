"""Log messages with long values are shortened, and stay readable."""

from __future__ import annotations

import asyncio
import json
import os
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from godwitpath.telemetry.decisions import MAX_LINE_BYTES, LineSink
from godwitpath.telemetry.line_size import encode_message
from godwitpath_standin.gateway.caller import ask
from test.gateway_parts import gateway_environment

JSON = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**63), 2**63) | st.text(max_size=3_000),
    lambda values: st.lists(values, max_size=60) | st.dictionaries(st.text(), values, max_size=60),
    max_leaves=200,
)


@given(st.dictionaries(st.text("abcdefgh", max_size=12), JSON, max_size=20))
def test_any_message_fits_a_line_of_json(message: dict[str, Any]) -> None:
    encoded = encode_message(message, MAX_LINE_BYTES)
    assert len(encoded) <= MAX_LINE_BYTES
    decoded = json.loads(encoded)
    assert decoded.get("shortened") or decoded == message


@pytest.mark.parametrize("count", [100, 1_000, 100_000])
def test_a_long_list_says_how_many_items_it_lacks(count: int) -> None:
    message = {"message_type": "x", "parts": [f"{n:04x}" * 4 for n in range(count)], "n": 1}
    decoded = json.loads(encode_message(message, 1_000))
    *first, more = decoded["parts"]
    assert first == message["parts"][: len(first)]
    assert more == f"{count - len(first)} more"
    assert (decoded["message_type"], decoded["n"], decoded["shortened"]) == ("x", 1, True)


def test_a_line_that_is_too_long_keeps_its_kind_and_is_readable() -> None:
    read_end, write_end = os.pipe()
    LineSink(write_end)({"parts": ["0123456789"] * 1_000, "message_type": "request_sent"})
    os.close(write_end)
    with os.fdopen(read_end, "rb") as lines:
        line = lines.read()
    assert json.loads(line)["message_type"] == "request_sent"


async def test_a_prompt_of_a_thousand_parts_leaves_readable_lines_of_its_request() -> None:
    parts = ",".join(f"{number:08x}:1" for number in range(1_000))
    headers = {"X-Model": "m", "X-Token-Count": "1000,5", "X-Prompt-Prefix": parts}
    async with gateway_environment({"l1": "lm"}) as environment:
        response = await ask(environment.port, "/stream/x", method="POST", headers=headers)
        assert response.status == 200
        await asyncio.sleep(0.1)
        environment.process.terminate()
        output, _ = await environment.process.communicate()
    lines = [json.loads(line) for line in output.splitlines()]
    [sent] = [line for line in lines if line["message_type"] == "request_sent"]
    assert sent["request"] == "r1"
    assert sent["parts"][:2] == ["00000000", "00000001"]
    assert sent["shortened"]
