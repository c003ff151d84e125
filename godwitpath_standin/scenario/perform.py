"""Performs the steps of a scenario on real processes."""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from functools import singledispatch
from typing import Any

from godwitpath.config.submit import ConfigConflict, SubmitResult, submit
from godwitpath.ports.kv import ABSENT
from godwitpath.upstreams.stops import Stop, encode_stop, stop_key
from godwitpath_standin.demo import load_plan
from godwitpath_standin.fleet import Fleet
from godwitpath_standin.load import Load
from godwitpath_standin.scenario import steps
from godwitpath_standin.scenario.check import check
from godwitpath_standin.scenario.session import CallResult, ScenarioFailed, Session

LOAD_TOKENS = 240
"""Output tokens of each generation of a load."""


@singledispatch
async def perform(step: steps.Step, session: Session) -> None:
    """Perform a step.

    :raises ScenarioFailed: the step could not be performed, or an expectation did not hold
    """
    raise ScenarioFailed(f"unknown kind of step: {type(step).__name__}")


@perform.register
async def _(step: steps.StartFleet, session: Session) -> None:
    fleet = Fleet(
        step.deployment,
        entries=step.entries,
        seed=session.seed,
        disabled_mechanism=session.disabled_mechanism,
    )
    session.started_fleet = await session.stack.enter_async_context(fleet)


@perform.register
async def _(step: steps.Wait, session: Session) -> None:
    await asyncio.sleep(step.duration_s)


@perform.register
async def _(step: steps.Load, session: Session) -> None:
    rate_per_s = step.count / step.duration_s
    generations, calls = (step.count, 0) if step.generations else (0, step.count)
    plan = load_plan(session.fleet, generations, calls, rate_per_s, session.seed)
    plan.urls = session.balanced_urls
    plan.max_tokens = LOAD_TOKENS
    plan.keyed = step.keyed
    session.start_load(step.name, Load(plan))


@perform.register
async def _(step: steps.Call, session: Session) -> None:
    session.calls[step.name] = step
    await _call_through(step, step.entries, session)


@perform.register
async def _(step: steps.RepeatCall, session: Session) -> None:
    if step.name not in session.calls:
        raise ScenarioFailed(f"there is no call {step.name}")
    await _call_through(session.calls[step.name], step.entries, session)


async def _call_through(call: steps.Call, entries: list[int], session: Session) -> None:
    results = await asyncio.gather(*(session.call(call, entry) for entry in entries))
    session.results[call.name] = list(results)
    for text, count in sorted(Counter(_describe_result(result) for result in results).items()):
        session.record(f"{count} x {text}")


def _describe_result(result: CallResult) -> str:
    if not result.status:
        return "connection lost"
    reason = ""
    if result.status >= 400:
        reason = " " + str(json.loads(result.body)["error"]["code"])
    return f"{result.status}{reason}, ran: {result.ran}"


@perform.register
async def _(step: steps.ProcessAction, session: Session) -> None:
    process = session.process(step.target)
    if step.action == "kill":
        process.kill()
    elif step.action == "pause":
        process.pause()
    elif step.action == "wake":
        process.resume()
    elif step.action == "silence":
        await session.fleet.set_faults(process.name, {"silence_connections": True})
    elif step.action == "restart":
        await process.start()
        session.out_of_rotation.discard(process.name)
    else:
        process.terminate()
        session.out_of_rotation.add(process.name)


@perform.register
async def _(step: steps.SetFault, session: Session) -> None:
    process = session.process(step.target)
    await session.fleet.set_faults(process.name, {step.fault: step.value})


@perform.register
async def _(step: steps.Reclaim, session: Session) -> None:
    """Announce the reclaim and kill every instance of the zone after the notice period."""
    instance_names = await session.instances_of_zone(step.zone)
    notice = {"reclaim": step.zone, "notice_s": step.notice_s}
    await session.fleet.set_faults("platform", notice)
    # The load balancer belongs to the platform and stops using the instances at the notice.
    session.out_of_rotation.update(instance_names)
    session.record(f"{len(instance_names)} instances go")

    async def kill_all() -> None:
        await asyncio.sleep(step.notice_s)
        for process in [*session.fleet.entries, *session.fleet.engines]:
            if process.name in instance_names:
                process.kill()

    task = asyncio.create_task(kill_all())
    session.stack.callback(task.cancel)


@perform.register
async def _(step: steps.AnnounceStop, session: Session) -> None:
    stop = Stop(step.kind, step.name, "2026-01-01T00:00:00Z")  # type: ignore[arg-type]
    store = session.store()
    try:
        await store.put(stop_key(stop), encode_stop(stop), ABSENT)
    finally:
        await store.close()
    if step.kind == "zone":
        # The load balancer belongs to the platform and stops using the zone at once.
        session.out_of_rotation.update(await session.instances_of_zone(step.name))
    else:
        session.out_of_rotation.add(step.name)


@perform.register
async def _(step: steps.Submit, session: Session) -> None:
    result_text = await _submit(session, step.pointer, step.value, step.author)
    session.record(result_text)


@perform.register
async def _(step: steps.Race, session: Session) -> None:
    result_texts = await asyncio.gather(
        _submit(session, step.pointer, step.first, "alice"),
        _submit(session, step.pointer, step.second, "bob"),
    )
    for line in sorted(text.partition(" by ")[0] for text in result_texts):
        session.record(line)


async def _submit(session: Session, pointer: str, value: object, author: str) -> str:
    new_configuration = _replace_value(session.fleet.deployment.configuration(), pointer, value)
    store = session.store()
    try:
        result = await submit(store, json.dumps(new_configuration, indent=2), author, "scenario")
    except ConfigConflict as error:
        return f"conflict by {author}: {error}"
    finally:
        await store.close()
    return _describe_accepted(result, author)


def _describe_accepted(result: SubmitResult, author: str) -> str:
    return f"revision {result.envelope.revision} by {author}"


def _replace_value(configuration: dict[str, Any], pointer: str, value: object) -> dict[str, Any]:
    *parent_path, field_name = pointer.strip("/").split("/")
    container: Any = configuration
    for parent_name in parent_path:
        container = container[parent_name]
    container[field_name] = value
    return configuration


@perform.register
async def _(step: steps.Expect, session: Session) -> None:
    await check(step, session)
