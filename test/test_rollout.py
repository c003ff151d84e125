"""Rollout: load limit, dependency order, latency target, and stop on a failed version."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from godwitpath.config.model import Configuration, FleetSpec, ModelSpec, Service
from godwitpath.duties.duty import Duty, FencingToken
from godwitpath.ports.engine import (
    Address,
    Engine,
    EngineOrder,
    EngineStatus,
    LoadReport,
    OrderFenced,
)
from godwitpath.rollout.duty import UNFENCED_ORDER_MARGIN_S, RolloutDuty
from godwitpath.rollout.plan import (
    DRAIN_AHEAD_FACTOR,
    RETRY_FAILED_S,
    RETRY_PROVEN_S,
    EngineObservation,
    RolloutPlan,
    plan_rollout,
)
from godwitpath.upstreams.announce import MIN_DRAIN_S
from godwitpath.upstreams.table import Upstream, UpstreamTable, fact_from_upstream, with_state
from godwitpath_standin.fakes.kv import FakeKeyValueStore, loop_core

LOAD_S = 20.0


def service(version: str, depends_on: tuple[str, ...] = (), checks_fencing: bool = True) -> Service:
    fleet = FleetSpec(checks_fencing=checks_fencing)
    model = ModelSpec("m", version, ["a"])
    return Service("generation", list(depends_on), model=model, fleet=fleet)


def status(
    version: str, state: str = "serving", service_name: str = "lm", detail: str = ""
) -> EngineStatus:
    return EngineStatus("i", state, service_name, "m", version, ["a"], "unified", 0, detail)


def observed(statuses: list[EngineStatus], service_name: str = "lm") -> list[EngineObservation]:
    address = Address("test", 1)
    return [
        EngineObservation(f"{service_name}-{n}", service_name, address, each)
        for n, each in enumerate(statuses)
    ]


def ordered_ids(plan: RolloutPlan) -> list[str]:
    return [each.observation.upstream_id for each in plan.orders]


def test_the_first_engine_of_a_version_loads_alone() -> None:
    """Guards against several engines out of service because they all load a broken version."""
    plan = plan_rollout({"lm": service("2")}, observed([status("1")] * 5), {"lm": 2}, 3)
    assert ordered_ids(plan) == ["lm-0"]
    loading = observed([status("2", "loading"), *[status("1")] * 4])
    assert not plan_rollout({"lm": service("2")}, loading, {"lm": 2}, 3).orders


def test_a_failed_version_stops_the_rollout_with_a_reason() -> None:
    """Guards against further engines that are ordered to load a version that failed to load."""
    engines = observed([status("2", "failed", detail="broken"), *[status("1")] * 4])
    engines[0] = replace(engines[0], since_order_s=5.0)
    plan = plan_rollout({"lm": service("2")}, engines, {"lm": 2}, 3)
    assert not plan.orders
    assert plan.hold_reasons["lm"] == "stopped: lm-0 failed to load m 2: broken"
    # The configured version is reverted: the failed engine is ordered to load it.
    assert ordered_ids(plan_rollout({"lm": service("1")}, engines, {"lm": 2}, 3)) == ["lm-0"]


def test_an_engine_that_restarts_with_old_weights_is_corrected() -> None:
    """Guards against an engine that keeps the previous version after it restarted with it."""
    engines = observed([status("2"), status("1"), status("2")])
    assert ordered_ids(plan_rollout({"lm": service("2")}, engines, {"lm": 2}, 3)) == ["lm-1"]


def test_a_failed_load_is_retried_sooner_if_the_version_is_proven() -> None:
    """Guards against an engine blocked for long by a failure of the weight store.

    Only a version that no engine has loaded needs the longer time before a retry.
    """
    failed = observed([status("2", "failed", detail="store")])
    for others, retry_s in ((status("2"), RETRY_PROVEN_S), (status("1"), RETRY_FAILED_S)):
        for ago_s, expected_ids in ((retry_s - 1, []), (retry_s, ["lm-0"])):
            engines = [replace(failed[0], since_order_s=ago_s), *observed([others] * 3)[1:]]
            assert (
                ordered_ids(plan_rollout({"lm": service("2")}, engines, {"lm": 2}, 3))
                == expected_ids
            )


def test_dependencies_are_updated_first() -> None:
    """Guards against the update of a service before the service that it depends on."""
    services = {"app": service("2", ("lm",)), "lm": service("2")}
    old = observed([status("1", service_name="app")] * 3, "app")
    plan = plan_rollout(services, [*old, *observed([status("1")] * 3)], {}, 3)
    assert ordered_ids(plan) == ["lm-0"]
    assert plan.hold_reasons["app"] == "waits until lm is as written"
    plan = plan_rollout(services, [*old, *observed([status("2")] * 3)], {}, 3)
    assert ordered_ids(plan) == ["app-0"]


def test_changed_adapters_and_roles_need_no_load() -> None:
    """Guards against engines out of service when only their adapters or role change."""
    plan = plan_rollout(
        {"lm": service("1")}, observed([replace(status("1"), role="decode")] * 4), {"lm": 4}, 1
    )
    assert len(plan.orders) == 4
    assert not any(each.loads for each in plan.orders)


@given(
    st.lists(
        st.tuples(st.sampled_from("12"), st.sampled_from(["serving", "loading", "failed"])),
        max_size=9,
    ),
    st.integers(1, 6),
    st.integers(1, 4),
)
def test_no_plan_violates_the_latency_target_or_the_load_limit(
    engines: list[tuple[str, str]], needed: int, loads_at_once: int
) -> None:
    """A plan could stop engines that the load needs, or exceed the limit of concurrent loads."""
    statuses = [status(version, state) for version, state in engines]
    plan = plan_rollout({"lm": service("2")}, observed(statuses), {"lm": needed}, loads_at_once)
    status_by_id = {each.upstream_id: each.status for each in observed(statuses)}
    ordered = [status_by_id[name] for name in ordered_ids(plan)]
    serving = sum(each.state == "serving" for each in statuses)
    stopped = sum(each is not None and each.state == "serving" for each in ordered)
    assert stopped == 0 or serving - stopped >= needed
    loading = sum((each.version, each.state) == ("2", "loading") for each in statuses)
    assert not ordered or loading + len(ordered) <= DRAIN_AHEAD_FACTOR * loads_at_once
    assert plan.free_loads == loads_at_once - loading
    assert all(each != status("2") for each in ordered)


async def always_idle(_: str) -> bool:
    return True


class FakeEngine(Engine):
    """Engines that load weights for a fixed time on the event loop's clock.

    :ivar status_by_port: current status of each engine by port
    :ivar checks_fencing: whether orders with an older fencing token are refused
    :ivar bad_version: version that fails to load
    :ivar busy: number of running calls by port
    :ivar fewest_serving: smallest number of serving engines after an order
    :ivar most_loading: largest number of loading engines after an order
    """

    def __init__(self, ports: range, version: str = "1", checks_fencing: bool = True) -> None:
        self.status_by_port = {port: status(version) for port in ports}
        self.checks_fencing = checks_fencing
        self.bad_version = ""
        self.busy: dict[int, int] = {}
        self.fewest_serving = len(ports)
        self.most_loading = 0

    async def status(self, address: Address) -> EngineStatus:
        return self.status_by_port[address.port]

    async def order(self, address: Address, order: EngineOrder) -> EngineStatus:
        known = self.status_by_port[address.port]
        if self.checks_fencing and order.fencing < known.fencing:
            raise OrderFenced("older")
        fencing = max(known.fencing, order.fencing)
        new = replace(known, version=order.version, state="loading", fencing=fencing)
        self.status_by_port[address.port] = new
        asyncio.get_running_loop().call_later(LOAD_S, self._end, address.port, new)
        states = [each.state for each in self.status_by_port.values()]
        self.fewest_serving = min(self.fewest_serving, states.count("serving"))
        self.most_loading = max(self.most_loading, states.count("loading"))
        return new

    def _end(self, port: int, loaded: EngineStatus) -> None:
        if self.status_by_port[port] is loaded:
            broken = loaded.version == self.bad_version
            state = "failed" if broken else "serving"
            self.status_by_port[port] = replace(loaded, state=state, detail="broken" * broken)

    def versions(self) -> list[str]:
        return [each.version for each in self.status_by_port.values()]

    def generate(self, address, call):  # type: ignore[no-untyped-def]
        raise NotImplementedError

    def resume(self, address, stream_id, attempt_id, after_tokens):  # type: ignore[no-untyped-def]
        raise NotImplementedError

    async def cancel(self, address, stream_id):  # type: ignore[no-untyped-def]
        raise NotImplementedError

    async def load(self, address: Address) -> LoadReport:
        return LoadReport(self.busy.get(address.port, 0), 0, 0, 0, 0.0)

    async def cache_events(self, address, after_sequence):  # type: ignore[no-untyped-def]
        raise NotImplementedError

    async def export_cache(self, address, stream_id):  # type: ignore[no-untyped-def]
        raise NotImplementedError

    async def import_cache(self, address, cache):  # type: ignore[no-untyped-def]
        raise NotImplementedError


class FakeDutyManager:
    """A duty manager that always holds the duty with the same remaining lease time.

    :ivar number: number of the fencing token, 0 for a duty that is not held
    :ivar left_s: remaining time of the lease
    """

    def __init__(self, number: int, left_s: float = 9.0) -> None:
        self.number = number
        self.left_s = left_s

    def fencing_token(self, duty: Duty) -> FencingToken | None:
        now_s = asyncio.get_running_loop().time()
        return FencingToken(duty, self.number, now_s + self.left_s) if self.number else None


def new_table(engine: FakeEngine) -> UpstreamTable:
    table = UpstreamTable()
    for port in engine.status_by_port:
        upstream = Upstream(f"e{port}", "lm", "r0", "r0-a", Address("test", port))
        table.apply(fact_from_upstream(upstream))
    return table


def new_duty(
    engine: FakeEngine,
    keeper: FakeDutyManager,
    version: str,
    checks_fencing: bool = True,
    store: FakeKeyValueStore | None = None,
    table: UpstreamTable | None = None,
) -> RolloutDuty:
    configuration = Configuration({"lm": service(version, checks_fencing=checks_fencing)})
    return RolloutDuty(
        "r0",
        keeper,  # type: ignore[arg-type]
        store or FakeKeyValueStore(),
        engine,
        table or new_table(engine),
        lambda: configuration,
        lambda: {"lm": 4},
        always_idle,
        Random(1),
        2,
    )


async def run_for(duty: RolloutDuty, duration_s: float) -> None:
    task = asyncio.create_task(duty.run())
    await asyncio.sleep(duration_s)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


@pytest.mark.looptime
class TestRolloutDuty:
    async def test_engines_reach_the_configured_version(self) -> None:
        """Guards against rollouts that stall, stop too many engines or exceed the load limit."""
        engine = FakeEngine(range(1, 9))
        await run_for(new_duty(engine, FakeDutyManager(5), "2"), 200)
        assert engine.versions() == ["2"] * 8
        assert engine.fewest_serving >= 4
        assert engine.most_loading == 2

    async def test_an_engine_is_held_back_while_it_loads_across_holders(self) -> None:
        """Guards against work for a loading engine, or a leftover stop, after a change of holder.

        A stop is the notice in the store that keeps new work off an engine.
        """
        engine, core = FakeEngine(range(1, 9)), loop_core()
        store = FakeKeyValueStore(core)
        first = new_duty(engine, FakeDutyManager(5), "2", store=store)
        await run_for(first, MIN_DRAIN_S / 2)
        assert [item.key for item in await store.scan("stops/")] == ["stops/upstream/e1"]
        assert engine.versions() == ["1"] * 8
        await run_for(new_duty(engine, FakeDutyManager(6), "2", store=store), MIN_DRAIN_S + LOAD_S)
        assert engine.versions() == ["2"] + ["1"] * 7
        assert [item.key for item in await store.scan("stops/")] == ["stops/upstream/e1"]
        await run_for(new_duty(engine, FakeDutyManager(7), "2", store=store), 250)
        assert engine.versions() == ["2"] * 8
        assert not await store.scan("stops/")

    async def test_a_stop_is_withdrawn_when_its_engine_is_removed(self) -> None:
        """Guards against a stop that stays after its engine is removed and affects a new engine.

        The new engine has the same id as the removed one.
        """
        engine, store = FakeEngine(range(1, 9)), FakeKeyValueStore()
        table = new_table(engine)
        duty = new_duty(engine, FakeDutyManager(5), "2", store=store, table=table)
        await run_for(duty, MIN_DRAIN_S / 2)
        upstream = table.get("e1")
        assert upstream is not None
        table.apply(with_state(upstream, "gone"))
        await run_for(duty, 3)
        assert "stops/upstream/e1" not in [item.key for item in await store.scan("stops/")]

    async def test_a_broken_version_affects_one_engine(self) -> None:
        """Guards against a broken version that takes more than one engine out of service."""
        engine = FakeEngine(range(1, 9))
        engine.bad_version = "2"
        duty = new_duty(engine, FakeDutyManager(5), "2")
        await run_for(duty, 200)
        assert engine.versions() == ["2"] + ["1"] * 7
        assert "broken" in duty.plan.hold_reasons["lm"]

    async def test_a_former_holder_is_fenced(self) -> None:
        """Guards against a rollout reverted by a former holder that believes it holds the duty."""
        engine = FakeEngine(range(1, 9))
        await run_for(new_duty(engine, FakeDutyManager(5), "2"), 200)
        former = new_duty(engine, FakeDutyManager(4), "1")
        await run_for(former, 30)
        assert engine.versions() == ["2"] * 8
        assert former.counters.fenced > 0

    async def test_an_engine_without_fencing_checks_is_corrected(self) -> None:
        """Guards against a version ordered by a former holder that stays on an unfenced engine."""
        engine = FakeEngine(range(1, 9), "2", checks_fencing=False)
        await run_for(
            new_duty(engine, FakeDutyManager(4), "1", checks_fencing=False), MIN_DRAIN_S + 4
        )
        assert engine.versions().count("1") == 1
        holder = new_duty(engine, FakeDutyManager(5), "2", checks_fencing=False)
        await run_for(holder, 90)
        assert engine.versions() == ["2"] * 8

    async def test_no_order_without_fencing_checks_near_the_end_of_the_lease(self) -> None:
        """Guards against orders that reach an unfenced engine after the lease has lapsed."""
        engine = FakeEngine(range(1, 9), checks_fencing=False)
        short_lease = FakeDutyManager(5, UNFENCED_ORDER_MARGIN_S - 1)
        await run_for(new_duty(engine, short_lease, "2", checks_fencing=False), 30)
        assert engine.versions() == ["1"] * 8
        await run_for(new_duty(engine, short_lease, "2"), 30)
        assert "2" in engine.versions()
