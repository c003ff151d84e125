"""Reading streams that may go silent for good without an error."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from typing import TypeVar

T = TypeVar("T")


async def until_silent(source: AsyncIterator[T], silence_s: float) -> AsyncIterator[T]:
    """Yield what a stream yields; end and close it once it was silent for too long."""
    try:
        while True:
            async with asyncio.timeout(silence_s):
                item = await anext(source)
            yield item
    except (StopAsyncIteration, TimeoutError):
        return
    finally:
        close = getattr(source, "aclose", None)
        if close is not None:
            await close()
