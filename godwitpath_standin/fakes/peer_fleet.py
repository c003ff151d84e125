"""Entries with their membership, upstream and configuration protocols, alone or as a fleet."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from godwitpath.config.envelope import ConfigEnvelope, text_digest
from godwitpath.config.model import Configuration
from godwitpath.config_sync.in_force import ConfigInForce
from godwitpath.membership.member import Member
from godwitpath.membership.swim import Membership
from godwitpath.peers.dispatch import DispatchingTransport
from godwitpath.ports.engine import Address
from godwitpath.ports.kv import KeyValueStore
from godwitpath.ports.peers import Peer
from godwitpath.ports.platform import Cloud, InstanceList
from godwitpath.settings import MembershipSettings
from godwitpath.upstreams.feed import UpstreamFeed
from godwitpath.upstreams.table import UpstreamTable
from godwitpath_standin.fakes.peers import FakePeerNetwork


def envelope(revision: int, size_bytes: int = 0) -> ConfigEnvelope:
    """Return an envelope with a configuration of a revision, padded with `size_bytes` of text."""
    padding = Random(revision).randbytes(size_bytes // 2).hex()
    text = f'{{"services": {{}}, "revision": {revision}, "filling": "{padding}"}}'
    return ConfigEnvelope(revision, text, text_digest(text), "ops", "", "", f"s{revision}")


def parse(text: str) -> Configuration:
    """Ignore the text and return a configuration without services."""
    return Configuration(services={})


FAKE_ADDRESS = Address("fake", 1)
SEED_COUNT = 6
"""Number of entries that every entry knows as seeds, to contact first, when it starts."""


@dataclass(slots=True)
class Ports:
    """Ports of an entry to the platform, None for a port that the entry does not use."""

    store: KeyValueStore | None = None
    instance_list: InstanceList | None = None
    cloud: Cloud | None = None


class FleetEntry:
    """An entry with its peer protocols.

    :ivar local: the entry as a member
    :ivar revisions: configuration revisions that came into force, in order
    :ivar tasks: running tasks of the protocols
    """

    def __init__(
        self,
        transport: DispatchingTransport,
        region: str,
        address: Address,
        ports: Ports,
        seed: int = 0,
    ) -> None:
        rng = Random(f"{transport.entry_id} {transport.incarnation} {seed}")
        self.entry_id = transport.entry_id
        self.transport = transport
        self.local = Member(
            self.entry_id, region, f"{region}-a", address, incarnation=transport.incarnation
        )
        self.membership = Membership(self.local, transport, MembershipSettings(), rng)
        self.table = UpstreamTable()
        self.feed = UpstreamFeed(
            self.table, self.membership, rng, ports.instance_list, ports.cloud, ports.store
        )
        self.config = ConfigInForce(ports.store, transport, self.membership, parse, rng)
        self.revisions: list[int] = []
        self.config.on_change(lambda env, _: self.revisions.append(env.revision))
        self.tasks: list[asyncio.Task[None]] = []
        if ports.store is None:
            self.config.offer(envelope(1))

    def start(self) -> None:
        """Start the tasks of the protocols."""
        runs = (self.membership.run(), self.feed.run(), self.config.run())
        self.tasks = [asyncio.create_task(run) for run in runs]

    async def stop(self) -> None:
        """Cancel every task, as when the process exits.

        :raises Exception: a task failed
        """
        for task in self.tasks:
            task.cancel()
        results = await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.transport.close()
        for result in results:
            if isinstance(result, Exception):
                raise result

    def states(self) -> dict[str, str]:
        """Return the state of each member in the view of this entry."""
        return {member.entry_id: member.state for member in self.membership.members()}


class Fleet:
    """Entries in several regions on one fake network.

    :ivar seed_count: number of entries that every entry knows as seeds at its start
    :ivar seed: seed of the random numbers of the network and of the entries
    :ivar region_of: region of each entry
    """

    def __init__(
        self,
        size: int,
        regions: int = 2,
        seed: int = 1,
        store: KeyValueStore | None = None,
        instance_list: InstanceList | None = None,
        cloud: Cloud | None = None,
        seed_count: int = SEED_COUNT,
    ) -> None:
        self.seed_count = seed_count
        self.network = FakePeerNetwork(Random(seed))
        self.seed = seed
        self.ports = Ports(store, instance_list, cloud)
        self.region_of = {f"e{i}": f"r{i % regions}" for i in range(size)}
        self.entries: dict[str, FleetEntry] = {}
        for entry_id in self.region_of:
            self.add(entry_id)

    def add(self, entry_id: str, incarnation: int = 0) -> FleetEntry:
        """Create and start an entry; it replaces an earlier entry with the same identifier."""
        transport = self.network.transport(entry_id, incarnation)
        region = self.region_of[entry_id]
        entry = FleetEntry(transport, region, FAKE_ADDRESS, self.ports, self.seed)
        for seed_id in list(self.region_of)[: self.seed_count]:
            entry.membership.add_seed(Peer(seed_id, FAKE_ADDRESS))
        self.entries[entry_id] = entry
        entry.start()
        return entry

    async def kill(self, entry_id: str) -> None:
        """Stop an entry without an announcement to its peers."""
        self.network.remove(entry_id)
        await self.entries.pop(entry_id).stop()

    async def stop(self) -> None:
        """Stop every entry."""
        for entry_id in list(self.entries):
            await self.kill(entry_id)

    def all_report(self, entry_id: str, state: str) -> bool:
        """Return whether an entry has a state in the view of every other entry."""
        others = (entry for name, entry in self.entries.items() if name != entry_id)
        return all(entry.states().get(entry_id) == state for entry in others)

    def all_alive(self) -> bool:
        """Return whether every entry is alive in the view of every other entry."""
        return all(self.all_report(entry_id, "alive") for entry_id in self.entries)


async def until(condition: Callable[[], bool], within_s: float, step_s: float = 0.05) -> float:
    """Poll a condition on the clock of the loop until it holds.

    :returns: time until the condition held, in seconds
    :raises AssertionError: the condition does not hold after `within_s`
    """
    loop = asyncio.get_running_loop()
    started_at_s = loop.time()
    while not condition():
        if loop.time() - started_at_s > within_s:
            raise AssertionError(f"condition does not hold after {within_s} s")
        await asyncio.sleep(step_s)
    return loop.time() - started_at_s
