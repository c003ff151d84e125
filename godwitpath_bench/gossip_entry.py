"""One entry of the gossip experiment: a process that is told by lines of JSON what to do."""

from __future__ import annotations

import asyncio
import json
import resource
import sys
import time
from random import Random
from typing import Any

from godwitpath.membership.member import Member
from godwitpath.peers.zmq_transport import ZmqPeerTransport
from godwitpath.ports.engine import Address
from godwitpath.ports.peers import Peer
from godwitpath.settings import PeerSettings
from godwitpath.upstreams.facts import UpstreamFact
from godwitpath.upstreams.feed import UPSTREAMS_TOPIC
from godwitpath.upstreams.table import Upstream
from godwitpath_standin.fakes.peer_fleet import FleetEntry, Ports, envelope

PUSH_INTERVAL_S = 0.5
"""Interval of the baseline that pushes all states, the same as that of the probes."""


def upstream_fact(number: int) -> UpstreamFact:
    """Return one of the upstreams of the experiment, of a realistic length."""
    zone = f"region-{number % 3}-{number % 2}"
    return UpstreamFact(
        upstream_id=f"instance-{number:06d}",
        service=f"service-{number % 12}",
        region=zone[:8],
        availability_zone=zone,
        host=f"10.0.{number // 250}.{number % 250}",
        port=8000,
        reclaimable=True,
        machine_class="gpu-large",
        price_per_h=2.5,
    )


class GossipEntry:
    """The entry and what it tells the experiment."""

    def __init__(self, job: dict[str, Any]) -> None:
        self._job = job
        keys = PeerSettings(
            public_key=job["public_key"],
            secret_key=job["secret_key"],
            accepted_public_keys=[job["public_key"]],
        )
        self._transport = ZmqPeerTransport(job["entry_id"], keys, 1)
        self._met_all = False

    async def run(self) -> None:
        """Run until the input ends."""
        address = await self._transport.start()
        region = self._job["region"]
        entry = FleetEntry(self._transport, region, address, Ports(), self._job["seed"])
        entry.local.public_key = self._job["public_key"]
        self._entry = entry
        for number in range(self._job["upstreams"]):
            entry.table.apply(upstream_fact(number))
        entry.table.on_change(self._upstream_changed)
        entry.config.on_change(lambda env, _: self._tell("config", str(env.revision)))
        entry.membership.on_change(self._member_changed)
        self._say({"address": [address.host, address.port]})
        loop = asyncio.get_running_loop()
        while line := await loop.run_in_executor(None, sys.stdin.readline):
            await self._obey(json.loads(line))
        await entry.stop()

    async def _obey(self, order: dict[str, Any]) -> None:
        entry = self._entry
        if order["do"] == "start":
            for entry_id, host, port in order["seeds"]:
                peer = Peer(entry_id, Address(host, port), self._job["public_key"])
                entry.membership.add_seed(peer)
            entry.start()
            if self._job["mode"] == "all_states":
                entry.tasks.append(asyncio.create_task(self._push_all_states()))
        elif order["do"] == "leave":
            entry.feed.leaving(order["upstream"], 30.0)
        elif order["do"] == "config":
            entry.config.offer(envelope(order["revision"], order["size_bytes"]))
        elif order["do"] == "report":
            self._report()

    async def _push_all_states(self) -> None:
        # The baseline spreads nothing else: changes neither ride on pings nor are pushed.
        entry = self._entry
        rng = Random(entry.entry_id)
        exchange = entry.membership.exchange
        entry.feed._push = _nothing  # type: ignore[method-assign, assignment]
        put = exchange.put
        exchange.put = lambda topic, key, payload: (  # type: ignore[method-assign]
            put(topic, key, payload) if topic != UPSTREAMS_TOPIC else None
        )
        while True:
            await asyncio.sleep(PUSH_INTERVAL_S)
            others = entry.membership.live()[1:]
            if others:
                payloads = [entry.feed.payload(name) for name in entry.feed.names()]
                await exchange.send_now(UPSTREAMS_TOPIC, payloads, [rng.choice(others)])

    def _member_changed(self, member: Member) -> None:
        count = len(self._entry.membership.live())
        if count == self._job["count"] and not self._met_all:
            self._met_all = True
            self._tell("met_all", "")
        if member.state in ("gone", "suspect", "alive"):
            self._tell(member.state, member.entry_id)

    def _upstream_changed(self, upstream: Upstream) -> None:
        if upstream.state == "leaving":
            self._tell("leaving", upstream.upstream_id)

    def _report(self) -> None:
        self._say(
            {
                "report": {
                    "at_s": time.time(),
                    "cpu_s": time.process_time(),
                    "rss_mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1000,
                    "links": len(self._transport.dump()["open_links"]),
                    **self._transport.counts,
                }
            }
        )

    def _tell(self, event: str, what: str) -> None:
        self._say({"event": event, "what": what, "at_s": time.time()})

    def _say(self, line: dict[str, Any]) -> None:
        print(json.dumps(line), flush=True)


async def _nothing(*_: Any) -> None:
    return


if __name__ == "__main__":
    asyncio.run(GossipEntry(json.loads(sys.argv[1])).run())
