"""Keeps background tasks running after errors that their own loops do not expect."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterator

from godwitpath.telemetry.decisions import decision

RESTART_DELAY_S = 1.0
"""Pause before a task that failed is started again."""


async def keep_running(name: str, run: Callable[[], Awaitable[None]]) -> None:
    """Run a task until it returns or is cancelled, and start it again whenever it fails.

    :param name: name of the task in log lines
    """
    while True:
        try:
            await run()
            return
        except Exception as error:
            decision("task_failed", task=name, errors=[repr(each) for each in _leaves(error)])
        await asyncio.sleep(RESTART_DELAY_S)


def _leaves(error: BaseException) -> Iterator[BaseException]:
    """Yield the errors of which an exception group consists."""
    if isinstance(error, BaseExceptionGroup):
        for each in error.exceptions:
            yield from _leaves(each)
    else:
        yield error
