"""Tests of permits for sends to limited engines, in fleets of up to 340 simulated daemons."""

from __future__ import annotations

import asyncio

import pytest

from godwitpath_standin.gateway.limit_rule import LimitWindow, exceeded_windows
from test.permit_model import ModelDaemon, ModelEngine, ModelFleet

MIN_SHARE_USED = 0.7
"""Share of a limit that a sufficient demand uses at least."""


def exceeded(engine: ModelEngine, limit_per_s: float, since_s: float = 0.0) -> list[LimitWindow]:
    """Return the windows since a time that exceed the limit, without excused requests."""
    arrivals = [
        each for each in engine.arrivals if each.daemon != "excused" and each.at_s >= since_s
    ]
    return list(exceeded_windows(arrivals, limit_per_s))


def state_limit(engine: ModelEngine, limit_per_s: float) -> float:
    """Let an engine state a limit from now on, and return the loop time."""
    engine.limit_per_s = limit_per_s
    return asyncio.get_running_loop().time()


def grantors_of(fleet: ModelFleet, engine: ModelEngine) -> set[str | None]:
    return {daemon.permits._grantors.grantor(engine.entry) for daemon in fleet.daemons}


def grantor_of(fleet: ModelFleet, engine: ModelEngine) -> ModelDaemon:
    [name] = grantors_of(fleet, engine)
    assert name is not None
    return fleet.daemons[int(name[1:])]


@pytest.mark.looptime
class TestPermitsOfManyDaemons:
    @pytest.mark.parametrize(
        ("daemons", "limit_per_s", "for_s"),
        [
            (1, 2.0, 15.0),
            (7, 0.5, 15.0),
            (30, 1.0, 15.0),
            (100, 20.0, 10.0),
            (195, 0.5, 15.0),
            (300, 1.0, 8.0),
        ],
    )
    async def test_daemons_together_keep_a_limit_and_use_it(
        self, daemons: int, limit_per_s: float, for_s: float
    ) -> None:
        fleet = ModelFleet(daemons, engines=2, demand_per_s=60.0, seed=daemons)
        await fleet.run(1.0)
        limited, other = fleet.engines
        limited_at_s = state_limit(limited, limit_per_s)
        await fleet.run(for_s)
        assert exceeded(limited, limit_per_s, limited_at_s) == []
        # Until the first response arrives, no daemon knows the limit.
        used = [each for each in limited.arrivals if each.at_s >= limited_at_s + 1.0]
        assert len(used) >= MIN_SHARE_USED * limit_per_s * (for_s - 1.0)
        assert len(other.arrivals) >= 60.0 * for_s * 0.9
        await fleet.stop()

    @pytest.mark.parametrize("seed", range(6))
    async def test_restarts_pauses_and_cuts_of_daemons_do_not_exceed_a_limit(
        self, seed: int
    ) -> None:
        fleet = ModelFleet(30, engines=1, demand_per_s=40.0, seed=seed)
        await fleet.run(2.0)
        [engine] = fleet.engines
        limited_at_s = state_limit(engine, 3.0)
        await fleet.run(3.0)
        for _ in range(12):
            # The grantor is hit half of the time.
            daemon = fleet.rng.choice([fleet.rng.choice(fleet.daemons), *self._grantors(fleet)])
            event = fleet.rng.choice(("restart", "pause", "cut"))
            if event == "restart":
                fleet.restart(daemon)
            elif event == "pause":
                fleet.pause(daemon, fleet.rng.uniform(0.3, 4.0))
            else:
                daemon.cut = not daemon.cut
            await fleet.run(fleet.rng.uniform(0.2, 3.0))
        assert exceeded(engine, 3.0, limited_at_s) == []
        await fleet.stop()

    def _grantors(self, fleet: ModelFleet) -> list[ModelDaemon]:
        names = grantors_of(fleet, fleet.engines[0]) - {None}
        return [daemon for daemon in fleet.daemons if daemon.name in names]

    @pytest.mark.parametrize("daemons", [7, 195])
    async def test_daemons_that_hear_no_others_do_not_exceed_a_limit(self, daemons: int) -> None:
        fleet = ModelFleet(daemons, engines=1, demand_per_s=40.0, seed=daemons)
        await fleet.run(1.0)
        [engine] = fleet.engines
        limited_at_s = state_limit(engine, 3.0)
        await fleet.run(2.0)
        for daemon in [*fleet.daemons[::5], grantor_of(fleet, engine)]:
            daemon.deaf = True
        await fleet.run(6.0)
        for daemon in fleet.daemons:
            daemon.deaf = False
        await fleet.run(4.0)
        assert exceeded(engine, 3.0, limited_at_s) == []
        recent = [each for each in engine.arrivals if each.at_s >= limited_at_s + 10.0]
        assert recent
        await fleet.stop()

    @pytest.mark.parametrize("daemons", [3, 7, 30])
    async def test_a_grantor_that_hears_all_and_is_not_heard_does_not_grant_beside_its_successor(
        self, daemons: int
    ) -> None:
        fleet = ModelFleet(daemons, engines=1, demand_per_s=40.0, seed=daemons)
        await fleet.run(1.0)
        [engine] = fleet.engines
        limited_at_s = state_limit(engine, 6.0)
        await fleet.run(3.0)
        for _ in range(2):
            unheard = grantor_of(fleet, engine)
            unheard.unheard = True
            await fleet.run(8.0)
            assert grantors_of(fleet, engine) & {unheard.name} == set()
            since_s = asyncio.get_running_loop().time() - 4.0
            recent = [each for each in engine.arrivals if each.at_s >= since_s]
            assert len(recent) >= MIN_SHARE_USED * 6.0 * 4.0
            unheard.unheard = False
            await fleet.run(5.0)
        assert exceeded(engine, 6.0, limited_at_s) == []
        await fleet.stop()

    async def test_a_grantor_that_hears_nobody_is_replaced_while_the_others_hear_it(self) -> None:
        fleet = ModelFleet(7, engines=1, demand_per_s=40.0, seed=3)
        await fleet.run(1.0)
        [engine] = fleet.engines
        limited_at_s = state_limit(engine, 4.0)
        await fleet.run(2.0)
        grantor_of(fleet, engine).deaf = True
        await fleet.run(10.0)
        assert exceeded(engine, 4.0, limited_at_s) == []
        since_s = asyncio.get_running_loop().time() - 4.0
        recent = [each for each in engine.arrivals if each.at_s >= since_s]
        assert len(recent) >= MIN_SHARE_USED * 4.0 * 4.0
        await fleet.stop()

    async def test_both_halves_of_a_divided_fleet_do_not_grant(self) -> None:
        fleet = ModelFleet(9, engines=1, demand_per_s=30.0, seed=1)
        await fleet.run(2.0)
        [engine] = fleet.engines
        limited_at_s = state_limit(engine, 2.0)
        await fleet.run(4.0)
        for daemon in fleet.daemons[:4]:
            daemon.cut = True
        await fleet.run(8.0)
        assert exceeded(engine, 2.0, limited_at_s) == []
        assert all(
            daemon.permits._grantors.grantor(engine.entry) is None for daemon in fleet.daemons[:4]
        )
        recent = [each for each in engine.arrivals if each.at_s >= limited_at_s + 8.0]
        assert len(recent) >= MIN_SHARE_USED * 2.0 * 4.0
        await fleet.stop()

    async def test_another_daemon_grants_after_the_grantor_fell_silent(self) -> None:
        fleet = ModelFleet(12, engines=1, demand_per_s=30.0, seed=2)
        [engine] = fleet.engines
        engine.limit_per_s = 2.0
        await fleet.run(4.0)
        fleet.pause(grantor_of(fleet, engine), 60.0)
        silent_at_s = asyncio.get_running_loop().time()
        await fleet.run(10.0)
        recent = [each for each in engine.arrivals if each.at_s >= silent_at_s + 4.0]
        assert len(recent) >= MIN_SHARE_USED * 2.0 * 6.0
        assert exceeded(engine, 2.0) == []
        await fleet.stop()

    async def test_a_limit_that_ends_is_known_everywhere_within_a_moment(self) -> None:
        fleet = ModelFleet(30, engines=1, demand_per_s=40.0, seed=3)
        [engine] = fleet.engines
        engine.limit_per_s = 0.0
        await fleet.run(8.0)
        assert exceeded(engine, 0.0) == []
        engine.limit_per_s = None
        await fleet.run(8.0)
        assert all(daemon.limits.limit(engine.entry) is None for daemon in fleet.daemons)
        await fleet.stop()

    async def test_a_daemon_that_starts_learns_limits_from_the_others(self) -> None:
        fleet = ModelFleet(8, engines=1, demand_per_s=20.0, seed=4)
        [engine] = fleet.engines
        engine.limit_per_s = 1.0
        await fleet.run(4.0)
        fleet.restart(fleet.daemons[0])
        await asyncio.sleep(1.0)
        assert fleet.daemons[0].limits.limit(engine.entry) is not None
        await fleet.stop()

    async def test_a_pause_voids_a_permit(self) -> None:
        fleet = ModelFleet(8, engines=1, demand_per_s=20.0, seed=5)
        [engine] = fleet.engines
        engine.limit_per_s = 2.0
        await fleet.run(3.0)
        await asyncio.sleep(3.0)
        daemon = fleet.daemons[3]
        view = daemon.engines.get("e0")
        assert view is not None
        permit = await daemon.permits.acquire(view, 1, "r")
        assert permit is not None
        assert daemon.permits.covers(permit, engine.entry)
        await asyncio.sleep(1.5)
        assert not daemon.permits.covers(permit, engine.entry)
        await fleet.stop()

    async def test_an_engine_with_a_low_limit_does_not_count_as_an_engine(self) -> None:
        fleet = ModelFleet(3, engines=3, demand_per_s=10.0, seed=6)
        fleet.engines[0].limit_per_s = 1.0
        fleet.engines[1].limit_per_s = 8.0
        await fleet.run(3.0)
        permits = fleet.daemons[0].permits
        assert permits.missing_engines("lm", 30.0) == 1
        assert permits.missing_engines("lm", 3.0) == 0
        assert permits.missing_engines("other", 30.0) == 0
        await fleet.stop()

    async def test_a_grantor_that_was_paused_takes_over_anew(self) -> None:
        fleet = ModelFleet(1, engines=1, demand_per_s=5.0, seed=7)
        [engine], [daemon] = fleet.engines, fleet.daemons
        engine.limit_per_s = 5.0
        await fleet.run(4.0)
        fleet.pause(daemon, 3.0)
        await asyncio.sleep(3.0)
        view = daemon.engines.get("e0")
        assert view is not None
        assert await daemon.permits.acquire(view, 1, "r") is None
        assert daemon.permits.outcomes[("lm", "taking_over")] == 1
        await fleet.stop()
