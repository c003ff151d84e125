"""Watches of a store that has items which cannot be read: these are not taken for removed ones."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from random import Random

import pytest

from godwitpath.gateway.store import Change, HistoryLost, Item
from godwitpath.gateway.store_watch import StoreWatcher
from godwitpath_standin.gateway.store_core import FakeStore, StoreCore


class Watched:
    """A watcher of the prefix `k/` of a fake store, with what it reported.

    :ivar values: current values by key
    :ivar unreadable: keys that were reported as unreadable, in this order
    """

    def __init__(self) -> None:
        self.core = StoreCore()
        self.store = FakeStore(self.core)
        self.values: dict[str, bytes] = {}
        self.unreadable: list[str] = []
        self.watcher = StoreWatcher(
            self.store,
            "k/",
            self._on_item,
            lambda key, revision: self.values.pop(key, None),
            Random(1),
            5.0,
            on_unreadable=self.unreadable.append,
        )

    def _on_item(self, item: Item) -> None:
        self.values[item.key] = item.value


@asynccontextmanager
async def watched() -> AsyncIterator[Watched]:
    """Run a watcher that has listed `k/a` and `k/b`."""
    state = Watched()
    state.core.put("k/a", b"1")
    state.core.put("k/b", b"1")
    task = asyncio.create_task(state.watcher.run())
    await asyncio.sleep(1.0)
    assert state.values == {"k/a": b"1", "k/b": b"1"}
    yield state
    assert not task.done()
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


def by_listing(state: Watched) -> None:
    state.core.put("k/a", b"2")
    state.core.drop_history()


def by_change(state: Watched) -> None:
    state.core.put("k/a", b"2")


@pytest.mark.looptime
@pytest.mark.parametrize("learn", [by_listing, by_change])
@pytest.mark.parametrize("nameless", [False, True])
async def test_an_unreadable_item_is_not_taken_for_a_removed_one(
    learn: Callable[[Watched], None], nameless: bool
) -> None:
    async with watched() as state:
        state.store.faults.unreadable_keys = {"k/a"}
        state.store.faults.nameless = nameless
        learn(state)
        state.core.remove("k/b")
        state.core.put("k/c", b"3")
        await asyncio.sleep(2.0)
        assert state.values.keys() == {"k/a", "k/c"}
        assert (set(state.unreadable), state.watcher.unreadable_keys) == (
            (set(), set()) if nameless else ({"k/a"}, {"k/a"})
        )
        state.store.faults.unreadable_keys = set()
        state.core.put("k/a", b"4")
        await asyncio.sleep(1.0)
        assert state.values == {"k/a": b"4", "k/c": b"3"}
        assert state.watcher.unreadable_keys == set()


@pytest.mark.looptime
@pytest.mark.parametrize("nameless", [False, True])
async def test_the_removal_of_an_unreadable_item_is_noticed(nameless: bool) -> None:
    async with watched() as state:
        state.store.faults.unreadable_keys = {"k/a", "k/other"}
        state.store.faults.nameless = nameless
        state.core.put("k/other", b"1")
        state.core.put("k/a", b"2")
        await asyncio.sleep(1.0)
        assert "k/a" in state.values
        state.core.remove("k/a")
        await asyncio.sleep(1.0)
        state.core.put("k/other", b"2")
        state.core.drop_history()
        await asyncio.sleep(1.0)
        assert "k/a" not in state.values
        assert "k/a" not in state.watcher.unreadable_keys


@pytest.mark.looptime
async def test_a_failed_look_up_is_tried_again() -> None:
    async with watched() as state:
        state.store.faults.unreadable_keys = {"k/a"}
        get, failures = state.store.get, 0

        async def fail_twice(key: str) -> Item | None:
            nonlocal failures
            failures += 1
            state.store.faults.down = failures <= 2
            try:
                return await get(key)
            finally:
                state.store.faults.down = False

        state.store.get = fail_twice  # type: ignore[method-assign]
        state.core.put("k/a", b"2")
        await asyncio.sleep(3.0)
        assert failures == 3
        assert state.watcher.unreadable_keys == {"k/a"}
        assert state.watcher.outage_since_s is None


@pytest.mark.looptime
async def test_a_watch_without_a_response_ends_when_another_call_learns_of_a_restore() -> None:
    async with watched() as state:
        state.store.faults.watches_silent = True
        state.core.put("k/other", b"")
        await asyncio.sleep(0.2)
        snapshot = state.core.snapshot()
        state.core.put("k/a", b"lost")
        state.core.restore(snapshot)
        state.core.put("k/a", b"2")
        state.store.faults.watches_silent = False
        await asyncio.sleep(1.0)
        assert state.values["k/a"] == b"1"
        await state.store.get("x")
        await asyncio.sleep(0.1)
        assert state.values["k/a"] == b"2"


def always_a_change(state: Watched) -> list[Change]:
    revision = state.core.put("k/a", b"2")
    return [Change("k/a", revision, Item("k/a", b"2", revision, 1, 0))]


def never_a_change(state: Watched) -> list[Change]:
    return []


def no_history(state: Watched) -> list[Change]:
    raise HistoryLost("the history was removed")


@pytest.mark.looptime
@pytest.mark.parametrize(
    ("answer", "most_watches"),
    [(always_a_change, 500), (never_a_change, 110), (no_history, 20)],
)
async def test_a_store_that_answers_every_watch_at_once_is_not_asked_without_pause(
    answer: Callable[[Watched], list[Change]], most_watches: int
) -> None:
    async with watched() as state:
        watches = 0

        async def changes(prefix: str, after: int, wait_s: float) -> tuple[list[Change], int]:
            nonlocal watches
            watches += 1
            assert watches <= most_watches
            return answer(state), after

        state.store.changes = changes  # type: ignore[method-assign]
        state.core.put("k/a", b"2")
        await asyncio.sleep(10.0)
        assert 5 < watches <= most_watches


@pytest.mark.looptime
@pytest.mark.parametrize(("items", "value"), [(1_000, b"v"), (1, bytes(1_000_000))])
async def test_changes_of_ever_new_keys_are_not_kept_without_bound(
    items: int, value: bytes
) -> None:
    async with watched() as state:
        written = most_known = 0

        async def changes(prefix: str, after: int, wait_s: float) -> tuple[list[Change], int]:
            nonlocal written, most_known
            most_known = max(most_known, len(state.values))
            written += items
            keys = [f"k/new-{number}" for number in range(written - items, written)]
            return [Change(key, after, Item(key, value, after, after, 0)) for key in keys], after

        state.store.changes = changes  # type: ignore[method-assign]
        state.core.put("k/a", b"2")
        await asyncio.sleep(3.0)
        assert written >= 50 * items
        assert most_known * len(value) <= 35_000_000
        assert most_known <= 21_002
