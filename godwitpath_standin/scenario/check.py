"""Checks the expectations of a scenario against caller results and the counts of stand-ins."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from godwitpath_standin.load_result import LoadResult
from godwitpath_standin.scenario.session import ScenarioFailed, Session
from godwitpath_standin.scenario.steps import Expect, Target

DEFAULT_LOAD_S = 60.0
"""Time within which a load must end if the step gives no time."""

POLL_S = 0.1
"""Time between two checks of an expectation that must hold within a given time."""

QUIET_S = 2.0
"""Time during which an upstream is observed that must get no new work."""

Check = Callable[[Session, Expect], Awaitable[None]]


async def check(step: Expect, session: Session) -> None:
    """Check an expectation, repeatedly if the step gives a time.

    :raises ScenarioFailed: the expectation does not hold, or not within the time
    """
    await _CHECKS[step.check_name](session, step)


def _require(holds: bool, step: Expect, observed: object) -> None:
    if not holds:
        raise ScenarioFailed(f"{step.text}: seen {observed}")


async def _poll_until(step: Expect, observe: Callable[[], Awaitable[tuple[bool, object]]]) -> None:
    """Poll an observation until the expectation holds or the time of the step is over."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + step.within_s
    while True:
        holds, observed = await observe()
        if holds:
            return
        if loop.time() >= end_s:
            _require(False, step, observed)
        await asyncio.sleep(POLL_S)


async def _load(session: Session, step: Expect) -> LoadResult:
    return await session.load_result(str(step.arguments[0]), step.within_s or DEFAULT_LOAD_S)


async def _lost(session: Session, step: Expect) -> None:
    result = await _load(session, step)
    unfinished = [item for item in result.outcomes if item.state != "completed"]
    attempts = [item.failed_attempts for item in unfinished]
    _require(len(unfinished) == step.arguments[1], step, attempts)


async def _wrong(session: Session, step: Expect) -> None:
    result = await _load(session, step)
    _require(len(result.wrong) == step.arguments[1], step, [item.detail for item in result.wrong])


async def _cut(session: Session, step: Expect) -> None:
    """Check the number of connections that failed during a call, retried or not."""
    result = await _load(session, step)
    _require(result.errors.total() == step.arguments[1], step, result.failed_attempts)


async def _status(session: Session, step: Expect) -> None:
    results = session.results[str(step.arguments[0])]
    observed = [result.status for result in results]
    _require(all(status == step.arguments[1] for status in observed), step, observed)


async def _ran(session: Session, step: Expect) -> None:
    observed = [result.ran for result in session.results[str(step.arguments[0])]]
    _require(all(ran == step.arguments[1] for ran in observed), step, observed)


async def _executions_at_most(session: Session, step: Expect) -> None:
    executions = await session.fleet.executions()
    maximum = max(executions.values(), default=0)
    _require(maximum <= int(str(step.arguments[0])), step, maximum)


async def _executions_of(session: Session, step: Expect) -> None:
    async def observe() -> tuple[bool, object]:
        count = (await session.fleet.executions()).get(str(step.arguments[0]), 0)
        return count == step.arguments[1], count

    await _poll_until(step, observe)


def _running(session: Session) -> list[int]:
    numbers = range(1, len(session.fleet.entries) + 1)
    return [number for number in numbers if session.fleet.entry(number).running]


async def _revision(session: Session, step: Expect) -> None:
    async def observe() -> tuple[bool, object]:
        calls = (_revision_of(session, number) for number in _running(session))
        observed = await asyncio.gather(*calls)
        return all(revision == step.arguments[0] for revision, _ in observed), observed

    await _poll_until(step, observe)


async def _revision_of(session: Session, number: int) -> tuple[object, str]:
    """Return the revision in force on an entry, and how long the entry took to respond."""
    loop = asyncio.get_running_loop()
    asked_at_s = loop.time()
    state = await _admin(session, number, "/admin/ready")
    return state.get("config_revision"), f"{loop.time() - asked_at_s:.3f} s"


async def _admin(session: Session, number: int, path: str) -> dict[str, Any]:
    try:
        return await session.fleet.admin(number, path)
    except Exception as error:
        # A process that exits during the call reports no state.
        return {"error": repr(error)}


async def _ready(session: Session, step: Expect) -> None:
    async def observe() -> tuple[bool, object]:
        state = await _admin(session, int(str(step.arguments[0])), "/admin/ready")
        return state.get("ready") is True, state

    await _poll_until(step, observe)


async def _ended(session: Session, step: Expect) -> None:
    async def observe() -> tuple[bool, object]:
        process = session.fleet.entry(int(str(step.arguments[0])))
        return not process.running, "running"

    await _poll_until(step, observe)


async def _no_new_work(session: Session, step: Expect) -> None:
    """Check that no new request reaches an upstream after the time of the step."""
    target = step.arguments[0]
    assert isinstance(target, Target)
    await asyncio.sleep(step.within_s)
    name = session.process(target).name
    before = await session.fleet.stats(name)
    await asyncio.sleep(QUIET_S)
    after = await session.fleet.stats(name)
    _require(after["requests"] == before["requests"], step, after["requests"] - before["requests"])


_CHECKS: dict[str, Check] = {
    "lost": _lost,
    "wrong": _wrong,
    "cut": _cut,
    "status": _status,
    "ran": _ran,
    "executions_at_most": _executions_at_most,
    "executions_of": _executions_of,
    "revision": _revision,
    "no_new_work": _no_new_work,
    "ready": _ready,
    "ended": _ended,
}
