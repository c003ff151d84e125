"""Process with one entry of the gossip experiment, controlled by JSON lines on standard input."""

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
"""Interval at which the baseline pushes all states, equal to the probe interval."""


def upstream_fact(number: int) -> UpstreamFact:
    """Return the fact of an upstream, with fields of realistic length."""
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
    """Runs an entry and writes its events and reports to standard output as JSON lines."""

    def __init__(self, job: dict[str, Any]) -> None:
        self._job = job
        keys = PeerSettings(
            public_key=job["public_key"],
            secret_key=job["secret_key"],
            accepted_public_keys=[job["public_key"]],
        )
        self._transport = ZmqPeerTransport(job["entry_id"], keys, 1)
        self._saw_all_live = False

    async def run(self) -> None:
        """Run until the end of the input."""
        address = await self._transport.start()
        region = self._job["region"]
        entry = FleetEntry(self._transport, region, address, Ports(), self._job["seed"])
        entry.local.public_key = self._job["public_key"]
        self._entry = entry
        for number in range(self._job["upstreams"]):
            entry.table.apply(upstream_fact(number))
        entry.table.on_change(self._upstream_changed)
        entry.config.on_change(
            lambda configuration, _: self._publish_event("config", str(configuration.revision))
        )
        entry.membership.on_change(self._member_changed)
        self._write_line({"address": [address.host, address.port]})
        loop = asyncio.get_running_loop()
        while line := await loop.run_in_executor(None, sys.stdin.readline):
            await self._execute(json.loads(line))
        await entry.stop()

    async def _execute(self, command: dict[str, Any]) -> None:
        entry = self._entry
        if command["do"] == "start":
            for entry_id, host, port in command["seeds"]:
                peer = Peer(entry_id, Address(host, port), self._job["public_key"])
                entry.membership.add_seed(peer)
            entry.start()
            if self._job["mode"] == "all_states":
                entry.tasks.append(asyncio.create_task(self._push_all_states()))
        elif command["do"] == "leave":
            entry.feed.mark_leaving(command["upstream"], 30.0)
        elif command["do"] == "config":
            entry.config.offer(envelope(command["revision"], command["size_bytes"]))
        elif command["do"] == "report":
            self._write_report()

    async def _push_all_states(self) -> None:
        # The baseline sends only full states: changes are neither piggybacked on pings nor pushed.
        entry = self._entry
        rng = Random(entry.entry_id)
        exchange = entry.membership.exchange
        entry.feed._push = _no_push  # type: ignore[method-assign, assignment]
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
        if count == self._job["count"] and not self._saw_all_live:
            self._saw_all_live = True
            self._publish_event("met_all", "")
        if member.state in ("gone", "suspect", "alive"):
            self._publish_event(member.state, member.entry_id)

    def _upstream_changed(self, upstream: Upstream) -> None:
        if upstream.state == "leaving":
            self._publish_event("leaving", upstream.upstream_id)

    def _write_report(self) -> None:
        self._write_line(
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

    def _publish_event(self, event: str, subject: str) -> None:
        self._write_line({"event": event, "what": subject, "at_s": time.time()})

    def _write_line(self, line: dict[str, Any]) -> None:
        print(json.dumps(line), flush=True)


async def _no_push(*_: Any) -> None:
    return


if __name__ == "__main__":
    asyncio.run(GossipEntry(json.loads(sys.argv[1])).run())
