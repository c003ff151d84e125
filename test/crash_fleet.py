"""Fleet of daemons as processes before engines that requests can crash."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path

from godwitpath_standin.gateway.caller import ask
from godwitpath_standin.soak.callers import Balancer
from godwitpath_standin.soak.environment import RESTART_DELAY_S, Daemon, SoakEnvironment
from godwitpath_standin.soak.run import wait_until

READY_S = 30.0


@asynccontextmanager
async def crash_environment(
    folder: Path, daemons: int, engines: int
) -> AsyncIterator[SoakEnvironment]:
    """Run daemons as processes.

    :param engines: number of engines of each service
    """
    async with AsyncExitStack() as stack:
        environment = SoakEnvironment(random.Random(1), folder, stack)
        await environment.start(daemons, engines)
        balancer = Balancer(environment.daemons)
        polling = asyncio.create_task(balancer.run())
        stack.callback(polling.cancel)
        await wait_until(lambda: len(balancer.ready()) == daemons, READY_S)
        await asyncio.sleep(1.0)
        yield environment


async def until_all_ready(environment: SoakEnvironment) -> None:
    """Wait until killed daemons have exited and every daemon is ready again.

    :raises TimeoutError: one is not ready in time
    """
    await asyncio.sleep(RESTART_DELAY_S)
    async with asyncio.timeout(READY_S):
        for daemon in environment.daemons:
            while True:
                if await _is_ready(daemon):
                    break
                await asyncio.sleep(0.1)


async def _is_ready(daemon: Daemon) -> bool:
    try:
        return (await ask(daemon.ready_port, "/readyz", key="", timeout_s=1.0)).status == 200
    except (OSError, TimeoutError):
        return False
