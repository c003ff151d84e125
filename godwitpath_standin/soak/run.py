"""Runs a soak: starts the world, lets faults happen, and checks the promises meanwhile."""

from __future__ import annotations

import asyncio
import json
import random
import tempfile
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from pathlib import Path

from godwitpath_standin.soak.callers import Balancer, Caller, probe
from godwitpath_standin.soak.faults import draw_fault
from godwitpath_standin.soak.history import History, Violation
from godwitpath_standin.soak.play import heal, play
from godwitpath_standin.soak.promises import violations
from godwitpath_standin.soak.world import World

READY_S = 60.0
"""Longest time until all daemons are ready at the start, on a busy machine."""

FAULT_GAP_S = 1.0
"""Mean time between two faults; many last longer than that."""

CHECK_S = 5.0
"""Time between two checks of the promises."""

RECOVERY_S = 12.0
"""Time after the last fault within which everything is served again: the platform's figure."""

CALLERS_PER_DAEMON = 3
ENGINES_PER_SERVICE = 2


@dataclass(slots=True, frozen=True)
class SoakPlan:
    """What a soak runs.

    :ivar duration_s: time during which faults begin
    :ivar daemons: daemon processes
    """

    seed: int
    duration_s: float
    daemons: int = 5


@dataclass(slots=True)
class SoakOutcome:
    """What came of a soak.

    :ivar faults: the faults with the time at which each began, in their order
    :ivar statuses: answers by status, 0 for none
    """

    plan: SoakPlan
    violations: list[Violation] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)
    statuses: Counter[int] = field(default_factory=Counter)

    def lines(self) -> Iterator[str]:
        """Yield the report."""
        plan = self.plan
        answers = ", ".join(f"{status}: {n}" for status, n in sorted(self.statuses.items()))
        verdict = f"{len(self.violations)} broken" if self.violations else "all promises held"
        yield (
            f"seed {plan.seed}: {verdict}; {plan.daemons} daemons, {len(self.faults)} faults in "
            f"{plan.duration_s:.0f} s, {self.statuses.total()} requests ({answers})"
        )
        if self.violations:
            yield from self.faults
            yield from map(str, self.violations)


async def run_soak(plan: SoakPlan, keep_logs: Path | None = None) -> SoakOutcome:
    """Run a soak to its end, or to the first promise that is broken.

    :param keep_logs: folder for the daemons' logs, None where they are not to be kept
    """
    outcome = SoakOutcome(plan)
    rng = random.Random(plan.seed)
    async with AsyncExitStack() as stack:
        folder = keep_logs
        if folder is None:
            folder = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="godwitpath-")))
        folder.mkdir(parents=True, exist_ok=True)
        world = World(rng, folder, stack)
        await world.start(plan.daemons, ENGINES_PER_SERVICE)
        balancer = Balancer(world.daemons)
        background = [asyncio.create_task(balancer.run())]
        stack.push_async_callback(_cancel, background)
        await _until(lambda: len(balancer.ready()) == plan.daemons, READY_S)
        callers = [
            Caller(world, balancer, random.Random(f"{plan.seed} {number}"), f"c{number}")
            for number in range(CALLERS_PER_DAEMON * plan.daemons)
        ]
        background += [asyncio.create_task(caller.run()) for caller in callers]
        await _play_faults(world, plan, outcome)
        if not outcome.violations:
            await _recover(world, balancer, outcome)
        outcome.violations = outcome.violations or list(violations(world.history))
        outcome.statuses = Counter(sent.answer.status for sent in world.history.ended())
        outcome.violations += unexplained(world.history, folder)
    return outcome


async def _play_faults(world: World, plan: SoakPlan, outcome: SoakOutcome) -> None:
    names = [daemon.name for daemon in world.daemons]
    began_s = world.now_s
    check_at_s = began_s + CHECK_S
    async with asyncio.TaskGroup() as group:
        while (now_s := world.now_s) < began_s + plan.duration_s and not outcome.violations:
            fault = draw_fault(world.rng, names, len(world.seats))
            outcome.faults.append(f"{now_s - began_s:7.2f} s  {fault}")
            group.create_task(play(fault, world))
            await asyncio.sleep(world.rng.expovariate(1 / FAULT_GAP_S))
            if world.now_s >= check_at_s:
                outcome.violations = list(violations(world.history))
                check_at_s = world.now_s + CHECK_S
    heal(world)


async def _recover(world: World, balancer: Balancer, outcome: SoakOutcome) -> None:
    """Check that everything is served again in time once nothing goes wrong any more."""
    await asyncio.sleep(RECOVERY_S)
    ready = {daemon.name for daemon in balancer.ready()}
    for daemon in world.daemons:
        if daemon.name not in ready:
            outcome.violations.append(Violation("recovers", f"{daemon.name} is not ready"))
            continue
        status = await probe(world, daemon)
        if status != 200:
            outcome.violations.append(Violation("recovers", f"{daemon.name} answers {status}"))


def unexplained(history: History, folder: Path) -> Iterator[Violation]:
    """Yield the refusals of which no daemon's log tells, where no line was left out."""
    told: set[str] = set()
    for path in folder.glob("*.log"):
        for line in path.read_text(errors="replace").splitlines():
            try:
                entry = json.loads(line)
            except ValueError:
                yield Violation("explained", f"{path.name}: no log line: {line[:200]}")
                continue
            if entry.get("left_out"):
                return
            told.add(str(entry.get("request", "")))
    for sent in history.ended():
        if b'"error"' not in sent.answer.body or sent.request_id in told:
            continue
        if not history.disturbed(sent.daemon, sent.sent_at_s, sent.ended_at_s + 1.0):
            yield Violation("explained", f"{sent.request_id}: {sent.answer.status}, no line")


async def _until(holds: Callable[[], bool], timeout_s: float) -> None:
    loop = asyncio.get_running_loop()
    end_s = loop.time() + timeout_s
    while not holds():
        if loop.time() > end_s:
            raise TimeoutError(f"not ready after {timeout_s:.0f} s")
        await asyncio.sleep(0.05)


async def _cancel(tasks: list[asyncio.Task[None]]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
