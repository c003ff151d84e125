"""Idle timeout for streams that can stop delivering items without an error."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from typing import TypeVar

T = TypeVar("T")


async def until_idle(source: AsyncIterator[T], idle_timeout_s: float) -> AsyncIterator[T]:
    """Yield the items of a stream; end and close it after an idle timeout.

    :param idle_timeout_s: longest wait for the next item
    """
    try:
        while True:
            async with asyncio.timeout(idle_timeout_s):
                item = await anext(source)
            yield item
    except (StopAsyncIteration, TimeoutError):
        return
    finally:
        close = getattr(source, "aclose", None)
        if close is not None:
            await close()
