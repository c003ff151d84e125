"""Guards against incompatibilities with the public OpenAI client, streamed or not."""

from __future__ import annotations

import asyncio

import pytest
from openai import AsyncOpenAI, AuthenticationError, NotFoundError

from godwitpath_standin.fleet import Fleet
from godwitpath_standin.text import expected_text

MESSAGES = [{"role": "user", "content": "Which depots have empties today?"}]
TOKENS = 12
"""Output tokens of each response."""


@pytest.mark.xdist_group("fleet-0")
async def test_streamed_and_complete_responses() -> None:
    engines = {"planner-lm": 1, "depot-desk": 1}
    async with Fleet("ramdin", entries=2, engines=engines) as fleet:
        client = AsyncOpenAI(
            base_url=f"{fleet.caller_url(1)}/v1", api_key="demo-hauliers", max_retries=0
        )
        body = {"model": "depot-desk", "messages": MESSAGES, "max_tokens": TOKENS}
        model = fleet.deployment.model("depot-desk")
        expected = expected_text(body, model=model)

        complete_response = await client.chat.completions.create(**body)
        assert complete_response.choices[0].message.content == expected
        assert complete_response.usage is not None
        assert complete_response.usage.completion_tokens == TOKENS

        stream = await client.chat.completions.create(**body, stream=True)
        parts = [chunk.choices[0].delta.content or "" async for chunk in stream if chunk.choices]
        assert "".join(parts) == expected

        prompt = {"model": "depot-desk", "prompt": "Empties:", "max_tokens": TOKENS}
        text_completion = await client.completions.create(**prompt)
        assert text_completion.choices[0].text == expected_text(prompt, model=model)

        model_ids = [listed.id async for listed in client.models.list()]
        assert "depot-desk" in model_ids

        with pytest.raises(NotFoundError):
            await client.chat.completions.create(model="unknown", messages=MESSAGES)
        unauthorized_client = AsyncOpenAI(
            base_url=str(client.base_url), api_key="wrong", max_retries=0
        )
        with pytest.raises(AuthenticationError):
            await unauthorized_client.chat.completions.create(model="depot-desk", messages=MESSAGES)
        await asyncio.gather(client.close(), unauthorized_client.close())


@pytest.mark.xdist_group("fleet-1")
async def test_disconnect_of_the_caller_cancels_the_engine_stream() -> None:
    engines = {"planner-lm": 1, "depot-desk": 1}
    async with Fleet("ramdin", entries=2, engines=engines) as fleet:
        client = AsyncOpenAI(
            base_url=f"{fleet.caller_url(1)}/v1", api_key="demo-hauliers", max_retries=0
        )
        stream = await client.chat.completions.create(
            model="depot-desk", messages=MESSAGES, max_tokens=2000, stream=True
        )
        await anext(aiter(stream))
        await stream.close()
        await client.close()
        cancelled = 0
        for _ in range(200):
            cancelled = (await fleet.stats("depot-desk-1"))["cancelled"]
            if cancelled:
                break
            await asyncio.sleep(0.1)
        assert cancelled == 1
