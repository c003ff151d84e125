"""Waits for whatever a background task reacts to."""

from __future__ import annotations

import asyncio


async def wait_for_any(events: tuple[asyncio.Event, ...], timeout_s: float) -> None:
    """Clear events, and wait until one is set again or the time is over."""
    for event in events:
        event.clear()
    waiting = [asyncio.create_task(event.wait()) for event in events]
    try:
        await asyncio.wait(waiting, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for task in waiting:
            task.cancel()
