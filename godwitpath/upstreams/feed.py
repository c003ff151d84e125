"""Brings facts about upstreams from the platform into the table, and spreads them.

A few entries of each region follow the platform closely; the others look now and then, so that
news still arrives when no follower hears of it. An upstream that is leaving is told to the other
entries at once and then rides on the pings; the comparison of topics brings what was lost.
"""

from __future__ import annotations

import asyncio
import math
from collections import Counter
from collections.abc import Callable, Coroutine, Iterable
from random import Random
from typing import Any

from godwitpath.errors import GodwitpathError
from godwitpath.listeners import Listeners
from godwitpath.membership.followers import follows
from godwitpath.membership.swim import Membership
from godwitpath.ports.kv import KeyValueStore
from godwitpath.ports.platform import Cloud, InstanceList, ReclaimNotice
from godwitpath.streams import until_silent
from godwitpath.upstreams.facts import UpstreamFact, decode_fact, encode_fact
from godwitpath.upstreams.list_view import InstanceListView
from godwitpath.upstreams.pace import FOLLOWER_INTERVAL_S, list_interval_s, stops_interval_s
from godwitpath.upstreams.receivers import receivers
from godwitpath.upstreams.stop_view import StopView
from godwitpath.upstreams.stops import STOPS_PREFIX, Stop, decode_stop
from godwitpath.upstreams.table import UpstreamTable, fact_of, with_state

UPSTREAMS_TOPIC = "upstreams"

CALL_TIMEOUT_S = 2.0
"""Longest time that a call of the platform may take."""

NOTICES_RENEW_S = 20.0
"""A stream of reclaim notices that brought nothing for so long is opened anew."""

GONE_KEEP_S = 900.0
"""How long an upstream that is gone is remembered, longer than the instance list ever lags."""

BATCH_FACTS = 200
"""Most facts in one message."""


class UpstreamFeed:
    """Keeps the table up to date.

    :ivar table: the upstreams
    :ivar counts: events by name
    :ivar informed: whether the instance list was seen, or another entry told of an upstream
    """

    def __init__(
        self,
        table: UpstreamTable,
        membership: Membership,
        rng: Random,
        instance_list: InstanceList | None = None,
        cloud: Cloud | None = None,
        store: KeyValueStore | None = None,
    ) -> None:
        self.table = table
        self.counts: Counter[str] = Counter()
        self._membership = membership
        self._rng = rng
        self._instance_list = instance_list
        self._cloud = cloud
        self._store = store
        self._list_view = InstanceListView()
        self._stop_view = StopView()
        self._stop_listeners: Listeners[[Stop]] = Listeners(self.counts)
        self._notice_callbacks: list[Callable[[ReclaimNotice], None]] = []
        self._gone_at_s: dict[str, float] = {}
        self.informed = False
        self._outbox: list[tuple[UpstreamFact, str]] = []
        self._outbox_filled = asyncio.Event()
        membership.exchange.add_topic(UPSTREAMS_TOPIC, self)

    def on_stop(self, callback: Callable[[Stop], None]) -> None:
        """Call back with each newly announced stop, whatever it stops."""
        self._stop_listeners.add(callback)

    def on_notice(self, callback: Callable[[ReclaimNotice], None]) -> None:
        """Call back with each reclaim notice that this entry hears, whatever it is about."""
        self._notice_callbacks.append(callback)

    def leaving(self, upstream_id: str, leaving_in_s: float = 0.0) -> bool:
        """Take note that an upstream is leaving, whoever saw it; returns whether it was news."""
        known = self.table.get(upstream_id)
        if known is None:
            return False
        return self.learn(with_state(known, "leaving", leaving_in_s))

    def learn(self, fact: UpstreamFact, from_region: str = "") -> bool:
        """Take in a fact and spread it if it is news.

        :param from_region: region of the entry that told it, empty when it was seen here
        """
        if not self.table.apply(fact):
            return False
        if fact.state == "gone":
            self._gone_at_s[fact.upstream_id] = asyncio.get_running_loop().time()
        else:
            self._gone_at_s.pop(fact.upstream_id, None)
        self._membership.exchange.put(UPSTREAMS_TOPIC, fact.upstream_id, encode_fact(fact))
        if fact.state == "leaving":
            self._outbox.append((fact, from_region))
            self._outbox_filled.set()
        return True

    async def run(self) -> None:
        """Follow the platform and spread what it tells until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._push_forever())
            group.create_task(self._look_forever(self._look_at_list, self._list_interval_s))
            group.create_task(self._look_forever(self._look_at_stops, stops_interval_s))
            if self._cloud is not None:
                group.create_task(self._notices_forever(self._cloud))

    def dump(self) -> dict[str, Any]:
        """Return the state as plain data."""
        return {
            **self.table.dump(),
            "follower": self._follower(),
            "stops": self._stop_view.dump(),
            "feed_counts": dict(self.counts),
        }

    # Topic of the upstreams: what the exchange asks for.

    def statements(self) -> Iterable[tuple[str, str]]:
        """Yield the name and statement of each upstream that is not gone."""
        for upstream in self.table.all():
            if upstream.state != "gone":
                yield upstream.upstream_id, f"{upstream.incarnation} {upstream.state}"

    def names(self) -> Iterable[str]:
        """Yield the name of every upstream, of those gone only while the news is fresh."""
        fresh_s = asyncio.get_running_loop().time() - GONE_KEEP_S / 2
        for upstream in self.table.all():
            if self._gone_at_s.get(upstream.upstream_id, fresh_s) >= fresh_s:
                yield upstream.upstream_id

    def payload(self, name: str) -> bytes:
        """Return an upstream in its spread form."""
        upstream = self.table.get(name)
        assert upstream is not None
        return encode_fact(fact_of(upstream))

    def receive(self, sender: str, payload: bytes) -> None:
        """Take in a fact from another entry."""
        fact = decode_fact(payload)
        if fact is None:
            self.counts["garbage_facts"] += 1
            return
        self.informed = True
        member = self._membership.get(sender)
        self.learn(fact, member.region if member else self._membership.local.region)

    # Spreading.

    async def _push_forever(self) -> None:
        while True:
            await self._outbox_filled.wait()
            self._outbox_filled.clear()
            batch, self._outbox = self._outbox, []
            for region in {from_region for _, from_region in batch}:
                facts = [fact for fact, from_region in batch if from_region == region]
                await self._push(facts, region)

    async def _push(self, facts: list[UpstreamFact], from_region: str) -> None:
        told = receivers(self._membership.local, self._membership.live(), from_region)
        for start in range(0, len(facts), BATCH_FACTS):
            payloads = [encode_fact(fact) for fact in facts[start : start + BATCH_FACTS]]
            await self._membership.exchange.send_now(UPSTREAMS_TOPIC, payloads, told)

    # The platform.

    def _follower(self) -> bool:
        return follows("upstreams", self._membership.local, self._membership.live())

    async def _look_forever(
        self, look: Callable[[], Coroutine[Any, Any, None]], interval_s: Callable[[bool], float]
    ) -> None:
        loop = asyncio.get_running_loop()
        looked_at_s = -math.inf
        while True:
            # An entry becomes a follower when one that ranked before it is gone.
            due_s = interval_s(self._follower()) * self._rng.uniform(0.7, 1.0)
            if loop.time() - looked_at_s >= due_s:
                looked_at_s = loop.time()
                await look()
            await asyncio.sleep(FOLLOWER_INTERVAL_S / 2)

    def _list_interval_s(self, follower: bool) -> float:
        return list_interval_s(follower, len(self.table))

    async def _look_at_list(self) -> None:
        self._forget_long_gone()
        if self._instance_list is None:
            return
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                instances = await self._instance_list.instances()
        except (GodwitpathError, TimeoutError):
            self.counts["list_failures"] += 1
            return
        now_s = asyncio.get_running_loop().time()
        for fact in self._list_view.observe(instances, self.table, now_s):
            self.learn(fact)
        # The list names the entries too, so an empty one is older than the fleet.
        self.informed = self.informed or bool(instances)

    async def _look_at_stops(self) -> None:
        if self._store is None:
            return
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                values = await self._store.scan(STOPS_PREFIX)
        except (GodwitpathError, TimeoutError):
            self.counts["store_failures"] += 1
            return
        decoded = (decode_stop(value.value) for value in values)
        stops = {stop for stop in decoded if stop is not None}
        for stop in self._stop_view.fresh(stops):
            self._stop_listeners.notify(stop)
        for fact in self._stop_view.observe(stops, self.table):
            self.learn(fact)

    async def _notices_forever(self, cloud: Cloud) -> None:
        while True:
            if self._follower():
                await self._follow_notices(cloud)
            await asyncio.sleep(FOLLOWER_INTERVAL_S)

    async def _follow_notices(self, cloud: Cloud) -> None:
        try:
            async for notice in until_silent(cloud.notices(), NOTICES_RENEW_S):
                for callback in self._notice_callbacks:
                    callback(notice)
                if not self.leaving(notice.instance_id, notice.notice_s):
                    self.counts["notices_without_news"] += 1
        except GodwitpathError:
            self.counts["notice_streams_ended"] += 1

    def _forget_long_gone(self) -> None:
        forgotten_s = asyncio.get_running_loop().time() - GONE_KEEP_S
        for upstream_id, gone_at_s in list(self._gone_at_s.items()):
            if gone_at_s < forgotten_s:
                del self._gone_at_s[upstream_id]
                self.table.forget(upstream_id)
