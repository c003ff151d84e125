"""Applies facts from the platform to the table of upstreams, and sends them to the other entries.

A few entries of each region, the pollers, poll the platform at short intervals. The other
entries poll it rarely, so that changes are detected even if no poller detects them. The fact that
an upstream is leaving is pushed to the other entries and then piggybacked on pings; anti-entropy
repairs losses.
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
from godwitpath.membership.pollers import is_source_poller
from godwitpath.membership.swim import Membership
from godwitpath.ports.kv import KeyValueStore
from godwitpath.ports.platform import Cloud, InstanceList, ReclaimNotice
from godwitpath.streams import until_idle
from godwitpath.upstreams.facts import UpstreamFact, decode_fact, encode_fact
from godwitpath.upstreams.list_view import InstanceListView
from godwitpath.upstreams.poll_intervals import POLLER_INTERVAL_S, list_interval_s, stops_interval_s
from godwitpath.upstreams.push_targets import push_targets
from godwitpath.upstreams.stop_view import StopView
from godwitpath.upstreams.stops import STOPS_PREFIX, Stop, decode_stop
from godwitpath.upstreams.table import UpstreamTable, fact_from_upstream, with_state

UPSTREAMS_TOPIC = "upstreams"

CALL_TIMEOUT_S = 2.0
"""Timeout of a call to the platform."""

NOTICE_SILENCE_TIMEOUT_S = 20.0
"""A stream of reclaim notices without an event for this time is reopened."""

GONE_RETENTION_S = 900.0
"""Time for which a gone upstream is kept; it exceeds the longest lag of the instance list."""

MAX_FACTS_PER_MESSAGE = 200
"""Maximum number of facts in one message."""


class UpstreamFeed:
    """Updates the table from the platform and from other entries.

    :ivar table: the known upstreams
    :ivar counts: number of failed polls, ended streams, redundant notices and malformed facts
    :ivar upstreams_received: whether a non-empty instance list or a fact of another entry was
        received
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
        self.upstreams_received = False
        self._outbox: list[tuple[UpstreamFact, str]] = []
        self._outbox_filled = asyncio.Event()
        membership.exchange.add_topic(UPSTREAMS_TOPIC, self)

    def on_stop(self, callback: Callable[[Stop], None]) -> None:
        """Register a callback for new stops of every kind."""
        self._stop_listeners.add(callback)

    def on_notice(self, callback: Callable[[ReclaimNotice], None]) -> None:
        """Register a callback for every reclaim notice that this entry receives."""
        self._notice_callbacks.append(callback)

    def mark_leaving(self, upstream_id: str, leaving_in_s: float = 0.0) -> bool:
        """Mark an upstream as leaving.

        :param leaving_in_s: time left until the upstream terminates, 0 if unknown
        :returns: whether the table changed
        """
        known = self.table.get(upstream_id)
        if known is None:
            return False
        return self.apply_fact(with_state(known, "leaving", leaving_in_s))

    def apply_fact(self, fact: UpstreamFact, from_region: str = "") -> bool:
        """Apply a fact and disseminate it if it changes the table.

        :param from_region: region of the entry that sent the fact, empty if this entry observed it
        :returns: whether the table changed
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
        """Poll the platform and disseminate changes until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._push_forever())
            group.create_task(self._poll_forever(self._poll_list, self._list_interval_s))
            group.create_task(self._poll_forever(self._poll_stops, stops_interval_s))
            if self._cloud is not None:
                group.create_task(self._watch_reclaim_notices_forever(self._cloud))

    def dump(self) -> dict[str, Any]:
        """Return the state for the state dump."""
        return {
            **self.table.dump(),
            "follower": self._is_poller(),
            "stops": self._stop_view.dump(),
            "feed_counts": dict(self.counts),
        }

    # Topic interface, called by the exchange.

    def comparable_states(self) -> Iterable[tuple[str, str]]:
        """Yield the name and the comparable state of each upstream that is not gone."""
        for upstream in self.table.all():
            if upstream.state != "gone":
                yield upstream.upstream_id, f"{upstream.incarnation} {upstream.state}"

    def names(self) -> Iterable[str]:
        """Yield the name of every upstream, except those gone for over half the retention time."""
        cutoff_s = asyncio.get_running_loop().time() - GONE_RETENTION_S / 2
        for upstream in self.table.all():
            if self._gone_at_s.get(upstream.upstream_id, cutoff_s) >= cutoff_s:
                yield upstream.upstream_id

    def payload(self, name: str) -> bytes:
        """Return the encoded fact of an upstream."""
        upstream = self.table.get(name)
        assert upstream is not None
        return encode_fact(fact_from_upstream(upstream))

    def receive(self, sender: str, payload: bytes) -> None:
        """Apply a fact from another entry."""
        fact = decode_fact(payload)
        if fact is None:
            self.counts["garbage_facts"] += 1
            return
        self.upstreams_received = True
        member = self._membership.get(sender)
        self.apply_fact(fact, member.region if member else self._membership.local.region)

    # Pushes to other entries.

    async def _push_forever(self) -> None:
        while True:
            await self._outbox_filled.wait()
            self._outbox_filled.clear()
            batch, self._outbox = self._outbox, []
            for region in {from_region for _, from_region in batch}:
                facts = [fact for fact, from_region in batch if from_region == region]
                await self._push(facts, region)

    async def _push(self, facts: list[UpstreamFact], from_region: str) -> None:
        recipients = push_targets(self._membership.local, self._membership.live(), from_region)
        for start in range(0, len(facts), MAX_FACTS_PER_MESSAGE):
            payloads = [encode_fact(fact) for fact in facts[start : start + MAX_FACTS_PER_MESSAGE]]
            await self._membership.exchange.send_now(UPSTREAMS_TOPIC, payloads, recipients)

    # Polls of the platform.

    def _is_poller(self) -> bool:
        return is_source_poller("upstreams", self._membership.local, self._membership.live())

    async def _poll_forever(
        self, poll: Callable[[], Coroutine[Any, Any, None]], interval_s: Callable[[bool], float]
    ) -> None:
        loop = asyncio.get_running_loop()
        last_poll_at_s = -math.inf
        while True:
            # Evaluated each time: an entry becomes a poller when a higher-ranked entry is gone.
            poll_interval_s = interval_s(self._is_poller()) * self._rng.uniform(0.7, 1.0)
            if loop.time() - last_poll_at_s >= poll_interval_s:
                last_poll_at_s = loop.time()
                await poll()
            await asyncio.sleep(POLLER_INTERVAL_S / 2)

    def _list_interval_s(self, is_poller: bool) -> float:
        return list_interval_s(is_poller, len(self.table))

    async def _poll_list(self) -> None:
        self._forget_expired()
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
            self.apply_fact(fact)
        # The list also contains the entries, so an empty list predates the deployment.
        self.upstreams_received = self.upstreams_received or bool(instances)

    async def _poll_stops(self) -> None:
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
        for stop in self._stop_view.new_stops(stops):
            self._stop_listeners.notify(stop)
        for fact in self._stop_view.observe(stops, self.table):
            self.apply_fact(fact)

    async def _watch_reclaim_notices_forever(self, cloud: Cloud) -> None:
        while True:
            if self._is_poller():
                await self._watch_notices(cloud)
            await asyncio.sleep(POLLER_INTERVAL_S)

    async def _watch_notices(self, cloud: Cloud) -> None:
        try:
            async for notice in until_idle(cloud.notices(), NOTICE_SILENCE_TIMEOUT_S):
                for callback in self._notice_callbacks:
                    callback(notice)
                if not self.mark_leaving(notice.instance_id, notice.notice_s):
                    self.counts["notices_without_news"] += 1
        except GodwitpathError:
            self.counts["notice_streams_ended"] += 1

    def _forget_expired(self) -> None:
        cutoff_s = asyncio.get_running_loop().time() - GONE_RETENTION_S
        for upstream_id, gone_at_s in list(self._gone_at_s.items()):
            if gone_at_s < cutoff_s:
                del self._gone_at_s[upstream_id]
                self.table.forget(upstream_id)
