"""Lets the faults of a soak happen; each begins, lasts and heals by itself."""

from __future__ import annotations

import asyncio
import signal
from functools import singledispatch

from godwitpath_standin.soak.faults import (
    CloudOutage,
    CrashEngine,
    CutEngine,
    CutStore,
    DrainEngine,
    FailRequests,
    ForgetHistory,
    KillDaemons,
    LoseStoreAnswers,
    MoveRoute,
    PauseDaemon,
    ReplaceKey,
    ResetLinks,
    SignalReload,
    SlowStore,
    StopDaemons,
    StoreOutage,
)
from godwitpath_standin.soak.promises import DRAIN_S
from godwitpath_standin.soak.world import GRACE_S, HEARTBEAT_S, RESTART_S, Daemon, Seat, World

START_S = 3.0
"""Time that a daemon may take to start."""

LINGER_S = 6.0
"""Time for which an engine that leaves serves on beyond what it must: the platform's may be many
seconds, and whoever still sends to it is seen."""

STORE_LOOK_S = 0.1
"""Time between two looks whether the store answers again."""

INTERPRETER_S = 0.5
"""Time in which a new process may not have run any code of its own yet, on a busy machine; a signal
ends it then."""


def _daemon(world: World, name: str) -> Daemon:
    return next(daemon for daemon in world.daemons if daemon.name == name)


@singledispatch
async def play(fault: object, world: World) -> None:
    """Let a fault happen; returns when it has healed."""
    raise TypeError(f"no such fault: {fault}")


@play.register
async def _(fault: KillDaemons, world: World) -> None:
    for name in fault.names:
        daemon = _daemon(world, name)
        daemon.ending = True
        world.disrupt(name, RESTART_S + START_S, fatal=True)
        daemon.signal(signal.SIGKILL)


@play.register
async def _(fault: PauseDaemon, world: World) -> None:
    daemon = _daemon(world, fault.name)
    world.disrupt(fault.name, fault.for_s + 0.5, fatal=True)
    daemon.signal(signal.SIGSTOP)
    await asyncio.sleep(fault.for_s)
    daemon.signal(signal.SIGCONT)


@play.register
async def _(fault: StopDaemons, world: World) -> None:
    async with asyncio.TaskGroup() as group:
        for name in fault.names:
            group.create_task(_stop(world, _daemon(world, name)))
            await asyncio.sleep(fault.gap_s)


async def _stop(world: World, daemon: Daemon) -> None:
    process = daemon.process
    if process is None or process.returncode is not None:
        return
    daemon.ending = True
    world.disrupt(daemon.name, GRACE_S + RESTART_S + START_S)
    daemon.signal(signal.SIGTERM)
    try:
        async with asyncio.timeout(GRACE_S):
            await process.wait()
    except TimeoutError:
        world.disrupt(daemon.name, RESTART_S + START_S, fatal=True)
        if process.returncode is None:
            process.kill()


@play.register
async def _(fault: SignalReload, world: World) -> None:
    for name in fault.names:
        daemon = _daemon(world, name)
        daemon.write_settings()
        if world.now_s - daemon.started_at_s < INTERPRETER_S:
            daemon.ending = True
        daemon.signal(signal.SIGHUP)


@play.register
async def _(fault: CutStore, world: World) -> None:
    link = _daemon(world, fault.name).store
    world.disrupt(fault.name, fault.for_s)
    link.hold(*fault.ways)
    await asyncio.sleep(fault.for_s)
    link.heal()


@play.register
async def _(fault: ResetLinks, world: World) -> None:
    daemon = _daemon(world, fault.name)
    world.disrupt(fault.name, 0.0)
    daemon.store.reset()
    daemon.cloud.reset()


@play.register
async def _(fault: StoreOutage, world: World) -> None:
    world.disrupt_all(fault.for_s)
    if fault.refuse_with:
        world.store.refuse_with = fault.refuse_with
    else:
        world.store.mute = True
    await asyncio.sleep(fault.for_s)
    world.store.refuse_with = 0
    world.store.mute = False


@play.register
async def _(fault: SlowStore, world: World) -> None:
    world.disrupt_all(fault.for_s)
    for daemon in world.daemons:
        daemon.store.delay_s = fault.delay_s
    await asyncio.sleep(fault.for_s)
    for daemon in world.daemons:
        daemon.store.delay_s = 0.0


@play.register
async def _(fault: LoseStoreAnswers, world: World) -> None:
    world.disrupt_all(0.0)
    world.store.lose_answers += fault.count


@play.register
async def _(_fault: ForgetHistory, world: World) -> None:
    world.disrupt_all(0.0)
    world.core.forget_history()


@play.register
async def _(fault: CloudOutage, world: World) -> None:
    if fault.lost:
        world.cloud.lose += fault.lost
        return
    world.cloud.down = True
    await asyncio.sleep(fault.for_s)
    world.cloud.down = False


@play.register
async def _(fault: CrashEngine, world: World) -> None:
    seat = world.seats[fault.seat]
    if not _take(seat):
        return
    world.disrupt(seat.engine.engine_id, 0.0, fatal=True)
    await seat.engine.stop()
    await seat.link.stop()
    await asyncio.sleep(3 * HEARTBEAT_S)
    world.remove_entry(seat)
    await asyncio.sleep(fault.down_s)
    await world.seat_engine(seat)
    seat.busy = False


@play.register
async def _(fault: DrainEngine, world: World) -> None:
    seat = world.seats[fault.seat]
    if not _take(seat):
        return
    world.history.drained[seat.engine.engine_id] = world.now_s
    world.enter(seat, state="draining")
    await asyncio.sleep(DRAIN_S + LINGER_S)
    world.remove_entry(seat)
    world.disrupt(seat.engine.engine_id, 0.0, fatal=True)
    await seat.engine.stop()
    await seat.link.stop()
    await world.seat_engine(seat)
    seat.busy = False


@play.register
async def _(fault: FailRequests, world: World) -> None:
    seat = world.seats[fault.seat]
    seat.engine.script.extend([fault.fault] * fault.count)


@play.register
async def _(fault: CutEngine, world: World) -> None:
    seat = world.seats[fault.seat]
    if not _take(seat):
        return
    link = seat.link
    world.disrupt(seat.engine.engine_id, fault.for_s, fatal=True)
    if fault.delay_s:
        link.delay_s = fault.delay_s
    else:
        link.hold(*fault.ways)
    await asyncio.sleep(fault.for_s)
    link.heal()
    if fault.for_s > 3.0:
        link.reset()
    seat.busy = False


@play.register
async def _(fault: MoveRoute, world: World) -> None:
    await _until_store_answers(world)
    world.services[fault.route] = fault.service
    world.configure()


@play.register
async def _(fault: ReplaceKey, world: World) -> None:
    await _until_store_answers(world)
    world.keys[fault.account] = f"key-{len(world.history.written)}-of-{fault.account}"
    world.configure()


async def _until_store_answers(world: World) -> None:
    """Wait as the operator has to, whose writes the store does not confirm either."""
    while True:
        if not world.store.mute and not world.store.refuse_with:
            return
        await asyncio.sleep(STORE_LOOK_S)


def _take(seat: Seat) -> bool:
    """Take a seat's engine for a fault; returns whether no other fault has it."""
    if seat.busy:
        return False
    seat.busy = True
    return True


def heal(world: World) -> None:
    """End what has not healed by itself."""
    world.store.refuse_with = 0
    world.store.mute = False
    world.store.lose_answers = 0
    world.cloud.down = False
    world.cloud.lose = 0
    for daemon in world.daemons:
        daemon.store.heal()
        daemon.cloud.heal()
        daemon.signal(signal.SIGCONT)
    for seat in world.seats:
        seat.link.heal()
        seat.engine.script.clear()
