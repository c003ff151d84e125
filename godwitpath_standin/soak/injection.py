"""Injects the faults of a soak and ends each of them after its duration."""

from __future__ import annotations

import asyncio
import signal
from functools import singledispatch

from godwitpath.platform.engines import ENGINES_PREFIX
from godwitpath_standin.soak.environment import (
    GRACE_S,
    HEARTBEAT_INTERVAL_S,
    RESTART_DELAY_S,
    Daemon,
    EnginePosition,
    SoakEnvironment,
)
from godwitpath_standin.soak.faults import (
    CloudOutage,
    CrashEngine,
    CutEngine,
    CutStore,
    DelayCloudCalls,
    DelayStoreWrites,
    DrainEngine,
    DropHistory,
    EndlessEngine,
    FailRequests,
    JunkCallers,
    KillDaemons,
    LimitEngine,
    LoseStoreResponses,
    MoveRoute,
    PauseDaemon,
    ReplaceKey,
    ResetLinks,
    RestoreStore,
    SignalReload,
    SlowStore,
    StopDaemons,
    StoreOutage,
)
from godwitpath_standin.soak.invariants import DRAIN_S
from godwitpath_standin.soak.junk import send_junk

DAEMON_START_S = 3.0
"""Longest time that a daemon takes to start."""

EXTRA_DRAIN_S = 6.0
"""Time for which a draining engine serves beyond `DRAIN_S`. Engines of the platform may serve many
seconds longer, and the extra time reveals daemons that still send to the engine."""

STORE_POLL_S = 0.1
"""Time between two checks whether the store accepts calls."""

INTERPRETER_START_S = 0.5
"""Time that the interpreter of a new process may need, on a busy machine, before the daemon
installs its signal handlers. SIGHUP ends the process until then."""


def _daemon_by_name(environment: SoakEnvironment, name: str) -> Daemon:
    return next(daemon for daemon in environment.daemons if daemon.name == name)


@singledispatch
async def inject(fault: object, environment: SoakEnvironment) -> None:
    """Inject a fault; returns when the fault is over.

    :raises TypeError: unknown kind of fault
    """
    raise TypeError(f"unknown fault: {fault}")


@inject.register
async def _(fault: KillDaemons, environment: SoakEnvironment) -> None:
    for name in fault.names:
        daemon = _daemon_by_name(environment, name)
        daemon.exit_expected = True
        environment.record_disruption(name, RESTART_DELAY_S + DAEMON_START_S, fatal=True)
        daemon.signal(signal.SIGKILL)


@inject.register
async def _(fault: PauseDaemon, environment: SoakEnvironment) -> None:
    daemon = _daemon_by_name(environment, fault.name)
    environment.record_disruption(fault.name, fault.for_s + 0.5, fatal=True)
    daemon.signal(signal.SIGSTOP)
    await asyncio.sleep(fault.for_s)
    daemon.signal(signal.SIGCONT)


@inject.register
async def _(fault: StopDaemons, environment: SoakEnvironment) -> None:
    async with asyncio.TaskGroup() as group:
        for name in fault.names:
            group.create_task(_stop(environment, _daemon_by_name(environment, name)))
            await asyncio.sleep(fault.gap_s)


async def _stop(environment: SoakEnvironment, daemon: Daemon) -> None:
    process = daemon.process
    if process is None or process.returncode is not None:
        return
    daemon.exit_expected = True
    environment.record_disruption(daemon.name, GRACE_S + RESTART_DELAY_S + DAEMON_START_S)
    daemon.signal(signal.SIGTERM)
    try:
        async with asyncio.timeout(GRACE_S):
            await process.wait()
    except TimeoutError:
        environment.record_disruption(daemon.name, RESTART_DELAY_S + DAEMON_START_S, fatal=True)
        if process.returncode is None:
            process.kill()


@inject.register
async def _(fault: SignalReload, environment: SoakEnvironment) -> None:
    for name in fault.names:
        daemon = _daemon_by_name(environment, name)
        daemon.write_settings()
        if environment.now_s - daemon.started_at_s < INTERPRETER_START_S:
            daemon.exit_expected = True
        daemon.signal(signal.SIGHUP)


@inject.register
async def _(fault: CutStore, environment: SoakEnvironment) -> None:
    link = _daemon_by_name(environment, fault.name).store_link
    environment.record_disruption(fault.name, fault.for_s)
    link.hold(*fault.ways)
    await asyncio.sleep(fault.for_s)
    link.clear_faults()


@inject.register
async def _(fault: ResetLinks, environment: SoakEnvironment) -> None:
    daemon = _daemon_by_name(environment, fault.name)
    environment.record_disruption(fault.name, 0.0)
    daemon.store_link.reset()
    daemon.cloud_link.reset()


@inject.register
async def _(fault: StoreOutage, environment: SoakEnvironment) -> None:
    environment.record_disruption_of_all(fault.for_s)
    if fault.refuse_with:
        environment.store.refuse_with = fault.refuse_with
    else:
        environment.store.no_response = True
    await asyncio.sleep(fault.for_s)
    environment.store.refuse_with = 0
    environment.store.no_response = False


@inject.register
async def _(fault: SlowStore, environment: SoakEnvironment) -> None:
    environment.record_disruption_of_all(fault.for_s)
    for daemon in environment.daemons:
        daemon.store_link.delay_s = fault.delay_s
    await asyncio.sleep(fault.for_s)
    for daemon in environment.daemons:
        daemon.store_link.delay_s = 0.0


@inject.register
async def _(fault: LoseStoreResponses, environment: SoakEnvironment) -> None:
    environment.record_disruption_of_all(0.0)
    environment.store.responses_to_lose += fault.count


@inject.register
async def _(fault: DelayStoreWrites, environment: SoakEnvironment) -> None:
    environment.record_disruption_of_all(0.0)
    environment.store.write_delays_s.extend(fault.delays_s)


@inject.register
async def _(fault: RestoreStore, environment: SoakEnvironment) -> None:
    store = environment.store
    async with environment.restoring:
        environment.record_disruption_of_all(fault.away_s)
        snapshot = environment.copies.of_age(fault.age_s)
        store.away = True
        store.resets_when_away = not fault.silent
        if store.resets_when_away:
            store.cut()
        await asyncio.sleep(fault.away_s)
        environment.core.restore(snapshot)
        store.away = False
    ended_engines = [
        key
        for key in environment.core.items
        if key.startswith(ENGINES_PREFIX) and key not in environment.entries
    ]
    await asyncio.sleep(fault.rewrite_s)
    await _wait_for_store(environment)
    environment.rewrite_entries()
    await asyncio.sleep(3 * HEARTBEAT_INTERVAL_S - fault.rewrite_s)
    await _wait_for_store(environment)
    for key in ended_engines:
        if key not in environment.entries and key in environment.core.items:
            environment.core.remove(key)


@inject.register
async def _(_fault: DropHistory, environment: SoakEnvironment) -> None:
    environment.record_disruption_of_all(0.0)
    environment.core.drop_history()


@inject.register
async def _(fault: CloudOutage, environment: SoakEnvironment) -> None:
    if fault.responses_to_lose:
        environment.cloud.responses_to_lose += fault.responses_to_lose
        return
    environment.cloud.down = True
    await asyncio.sleep(fault.for_s)
    environment.cloud.down = False


@inject.register
async def _(fault: DelayCloudCalls, environment: SoakEnvironment) -> None:
    environment.cloud.delays_s.extend(fault.delays_s)


@inject.register
async def _(fault: CrashEngine, environment: SoakEnvironment) -> None:
    position = environment.positions[fault.position]
    if not _reserve(position):
        return
    environment.record_disruption(position.engine.engine_id, 0.0, fatal=True)
    environment.silence(position.engine)
    await position.engine.stop()
    await position.link.stop()
    await asyncio.sleep(3 * HEARTBEAT_INTERVAL_S)
    environment.remove_engine_entry(position)
    await asyncio.sleep(fault.down_s)
    await environment.start_engine(position)
    position.busy = False


@inject.register
async def _(fault: DrainEngine, environment: SoakEnvironment) -> None:
    position = environment.positions[fault.position]
    if not _reserve(position):
        return
    environment.history.drained_at_s[position.engine.engine_id] = environment.now_s
    environment.write_engine_entry(position, state="draining")
    await asyncio.sleep(DRAIN_S + EXTRA_DRAIN_S)
    environment.remove_engine_entry(position)
    environment.record_disruption(position.engine.engine_id, 0.0, fatal=True)
    await position.engine.stop()
    await position.link.stop()
    await environment.start_engine(position)
    position.busy = False


@inject.register
async def _(fault: FailRequests, environment: SoakEnvironment) -> None:
    position = environment.positions[fault.position]
    position.engine.script.extend([fault.fault] * fault.count)


@inject.register
async def _(fault: LimitEngine, environment: SoakEnvironment) -> None:
    engine = environment.positions[fault.position].engine
    for limit in fault.limits:
        engine.limit = limit
        await asyncio.sleep(fault.for_s)
    engine.limit = ""


@inject.register
async def _(fault: CutEngine, environment: SoakEnvironment) -> None:
    position = environment.positions[fault.position]
    if not _reserve(position):
        return
    link = position.link
    environment.record_disruption(position.engine.engine_id, fault.for_s, fatal=True)
    if fault.delay_s:
        link.delay_s = fault.delay_s
    else:
        link.hold(*fault.ways)
    await asyncio.sleep(fault.for_s)
    link.clear_faults()
    if fault.for_s > 3.0:
        link.reset()
    position.busy = False


@inject.register
async def _(fault: EndlessEngine, environment: SoakEnvironment) -> None:
    engine = environment.positions[fault.position].engine
    engine.endless = fault.kind
    await asyncio.sleep(fault.for_s)
    engine.endless = None


@inject.register
async def _(fault: JunkCallers, environment: SoakEnvironment) -> None:
    await send_junk(_daemon_by_name(environment, fault.name).caller_port, fault.kind, fault.for_s)


@inject.register
async def _(fault: MoveRoute, environment: SoakEnvironment) -> None:
    await _wait_for_store(environment)
    environment.services[fault.route] = fault.service
    environment.write_configuration()


@inject.register
async def _(fault: ReplaceKey, environment: SoakEnvironment) -> None:
    await _wait_for_store(environment)
    environment.keys[fault.account] = f"key-{len(environment.history.written)}-of-{fault.account}"
    environment.write_configuration()


async def _wait_for_store(environment: SoakEnvironment) -> None:
    """Wait until the store accepts writes, as an operator does."""
    while True:
        if environment.store.reachable:
            return
        await asyncio.sleep(STORE_POLL_S)


def _reserve(position: EnginePosition) -> bool:
    """Reserve an engine position for a fault.

    :returns: False if another fault uses the position
    """
    if position.busy:
        return False
    position.busy = True
    return True


def heal(environment: SoakEnvironment) -> None:
    """End the faults that are still active."""
    environment.store.refuse_with = 0
    environment.store.no_response = False
    environment.store.responses_to_lose = 0
    environment.store.write_delays_s.clear()
    environment.cloud.down = False
    environment.cloud.responses_to_lose = 0
    environment.cloud.delays_s.clear()
    for daemon in environment.daemons:
        daemon.store_link.clear_faults()
        daemon.cloud_link.clear_faults()
        daemon.signal(signal.SIGCONT)
    for position in environment.positions:
        position.link.clear_faults()
        position.engine.script.clear()
        position.engine.limit = ""
        position.engine.endless = None
    environment.crashing_parts.clear()
    environment.crashing_requests.clear()
