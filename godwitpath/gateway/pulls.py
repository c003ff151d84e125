"""Pulls the configuration and the engines from other daemons, and responds to their pulls.

In a pull, a daemon requests the view that a peer has of the configuration and the engines, because
it does not watch the store itself or cannot reach it. The two are pulled independently: a
configuration can be a thousand times as large as the change of an engine.
"""

from __future__ import annotations

import asyncio
import math
import zlib
from collections import Counter
from collections.abc import Callable, Iterable
from random import Random

import msgspec

from godwitpath.decoding import Unreadable, decode
from godwitpath.gateway.catalogue import Catalogue
from godwitpath.gateway.context import GatewayContext
from godwitpath.gateway.members import MemberEntry, Members
from godwitpath.gateway.peer_messages import (
    CatalogueView,
    known_revision_decoder,
    seal,
    unseal,
    view_decoder,
    with_eras,
    without_eras,
)
from godwitpath.gateway.peer_state import PeerState, ZoneState
from godwitpath.gateway.peer_view import REPORT_TIMEOUT_S, PeerView
from godwitpath.gateway.store import era_of, without_era
from godwitpath.http1.messages import (
    NotSent,
    Request,
    ResponseHead,
    ResponseLost,
    encode_request_head,
)
from godwitpath.http1.pool import ConnectionPool
from godwitpath.http1.responder import Responder
from godwitpath.http1.transfers import read_transfer
from godwitpath.telemetry.decisions import decision

WATCH_LATE_S = 0.5
"""Time for which peers have newer engines' entries after which a daemon that watches the store
pulls them: its watch has fallen silent."""

OTHER_ZONES_S = 0.8
"""Time for which peers have newer engines' entries after which these are pulled from other zones:
two reports of the local zone's daemons, which learn of most changes themselves."""

PULL_POLL_S = 0.2
"""Interval at which a daemon checks whether a peer has newer state."""

PULL_TIMEOUT_S = 0.8
"""Longest time until the response to a pull begins, and longest time without progress after it."""

ANY_CONFIGURATION = 0
"""Known revision in a pull of a configuration of another era of the store, whose number may be
smaller: the response then contains it."""

WITHOUT_CONFIGURATION = 2**62
"""Known revision in a pull of the engines: the response then contains no configuration, so that the
entries, which are urgent and small, do not wait for it."""

BEHIND_S = 1.5
"""Time for which a peer has newer state that could not be pulled, after which this daemon watches
the store itself: less than half of the time within which a change has to be in force."""

FAILED_SOURCE_S = 3.0
"""Time after a failed pull for which its source is asked only if no other has newer state: a daemon
that is being restarted needs about two seconds until it reports again."""

MIN_COMPRESSED_BYTES = 1_024
"""Size from which a view is compressed: a smaller one fits into a packet or two."""

COMPRESSION_LEVEL = 1
"""Level of zlib; higher levels take longer and gain little on the text of a configuration."""

MAX_VIEW_BYTES = 16_777_216
"""Largest size of a view after decompression, several times the largest value of the store."""

ACCEPT_DEFLATE = (b"accept-encoding", b"deflate")
"""Header field of a pull by a daemon that decompresses views. Older builds do not send it."""

DEFLATE = (b"content-encoding", b"deflate")
"""Header field of a response whose view is compressed."""

PULL_TARGET = b"/catalogue"
"""Request target of a pull."""


class SourceChooser:
    """Chooses the peer to pull from, and avoids those whose last pull failed.

    The choice is random, so that the daemons of a zone do not all load the link of the same peer.
    """

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._failed_at_s: dict[str, float] = {}

    def choose(self, *groups: Iterable[str]) -> str | None:
        """Return the name of a peer, None if there is none.

        :param groups: names of the peers with newer state; an earlier group is preferred
        """
        now_s = asyncio.get_running_loop().time()
        failed_at_s = {
            name: at_s for name, at_s in self._failed_at_s.items() if now_s - at_s < FAILED_SOURCE_S
        }
        self._failed_at_s = failed_at_s
        candidates = [sorted(group) for group in groups]
        for group in candidates:
            if untried := [name for name in group if name not in failed_at_s]:
                return self._rng.choice(untried)
        names = [name for group in candidates for name in group]
        return min(names, key=lambda name: failed_at_s[name], default=None)

    def mark_failed(self, name: str) -> None:
        """Record that a pull from a peer failed, or that the peer had nothing newer."""
        self._failed_at_s[name] = asyncio.get_running_loop().time()


class CataloguePuller:
    """Pulls newer state of the catalogue from peers.

    :ivar counts: number of pulls so far, and of those that failed, by name
    :ivar responses: return the responses to other pulls, by request target
    """

    def __init__(
        self, ctx: GatewayContext, catalogue: Catalogue, members: Members, view: PeerView
    ) -> None:
        self.counts: Counter[str] = Counter()
        self.responses: dict[bytes, Callable[[], bytes]] = {}
        self._ctx = ctx
        self._catalogue = catalogue
        self._members = members
        self._view = view
        self._pool = ConnectionPool()
        # Loop time since which peers have newer state, by the kind of state.
        self._behind_since_s: dict[str, float] = {}
        self._loop = asyncio.get_running_loop()

    @property
    def behind(self) -> bool:
        """Whether peers have had newer state for :data:`BEHIND_S` that was not pulled from them."""
        since_s = min(self._behind_since_s.values(), default=math.inf)
        return self._loop.time() - since_s >= BEHIND_S

    def close(self) -> None:
        """Close the idle connections to peers."""
        self._pool.close()

    async def handle(self, request: Request, responder: Responder) -> None:
        """Respond to the pull of a peer."""
        secret = self._members.secret
        payload = unseal(secret, request.body) if secret else None
        if payload is not None and request.target in self.responses:
            responder.respond(200, [], seal(secret, self.responses[request.target]()))
            return
        if payload is None or request.target != PULL_TARGET:
            responder.respond(403, [], b"")
            return
        try:
            known_revision = decode(known_revision_decoder, payload)
        except Unreadable as error:
            self.counts["pulls_unreadable"] += 1
            decision("pull_unreadable", reason=str(error))
            responder.respond(400, [], b"")
            return
        in_force = self._ctx.in_force
        ages = self._catalogue.ages()
        view = CatalogueView(
            fresh=self._catalogue.fresh,
            configuration_revision=in_force.revision,
            configuration_version=in_force.version,
            value=in_force.value if without_era(in_force.revision) > known_revision else b"",
            entries=dict(self._catalogue.raw_entries),
            engines_revision=self._catalogue.engines_revision,
            configuration_age_s=ages.configuration_s,
            engines_age_s=ages.engines_s,
        )
        encoded = msgspec.msgpack.encode(without_eras(view))
        response_headers = []
        compress = request.header(ACCEPT_DEFLATE[0]) == ACCEPT_DEFLATE[1]
        if compress and len(encoded) >= MIN_COMPRESSED_BYTES:
            encoded = zlib.compress(encoded, COMPRESSION_LEVEL)
            response_headers.append(DEFLATE)
        responder.respond(200, response_headers, seal(secret, encoded))

    async def run(self) -> None:
        """Pull changes until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(
                self._pull_loop(self._configuration_source, self._known_configuration)
            )
            group.create_task(self._pull_loop(self._engines_source, lambda: WITHOUT_CONFIGURATION))

    async def _pull_loop(
        self,
        find_source: Callable[[SourceChooser], str | None],
        known_revision: Callable[[], int],
    ) -> None:
        """Pull from a peer whenever one has newer state, until cancelled.

        :param find_source: returns the name of that peer, None if there is no need to pull
        :param known_revision: returns the configuration revision that is sent with the pull
        """
        sources = SourceChooser(self._ctx.rng)
        while True:
            await asyncio.sleep(PULL_POLL_S)
            peer = find_source(sources)
            if peer is None:
                continue
            started_at_s = self._loop.time()
            try:
                view = await self._request_view(peer, known_revision())
            except (NotSent, ResponseLost, Unreadable) as error:
                sources.mark_failed(peer)
                self.counts["pulls_failed"] += 1
                decision(
                    "pull_failed",
                    peer=peer,
                    known_revision=self._ctx.in_force.revision,
                    known_engines_revision=self._catalogue.engines_revision,
                    took_s=round(self._loop.time() - started_at_s, 3),
                    reason=str(error) or repr(error),
                )
                continue
            if not self._apply_view(peer, view, started_at_s):
                sources.mark_failed(peer)

    def _configuration_source(self, sources: SourceChooser) -> str | None:
        """Return the name of a peer to pull a newer configuration from."""
        newer = self._newer_configurations()
        self._note_behind("configuration", bool(newer))
        if not newer or not self._members.secret:
            return None
        newest_version = max(newer.values())
        newest = {name for name, version in newer.items() if version == newest_version}
        zone = self._ctx.settings.zone
        in_zone = {name for name in newest if self._members.zone_of(name) == zone}
        return sources.choose(in_zone, newest - in_zone)

    def _known_configuration(self) -> int:
        """Return the known revision in a pull of the configuration, without its era."""
        own_revision = self._ctx.in_force.revision
        newer = self._newer_configurations().values()
        if all(era_of(revision) == era_of(own_revision) for _, revision in newer):
            return without_era(own_revision)
        return ANY_CONFIGURATION

    def _engines_source(self, sources: SourceChooser) -> str | None:
        """Return the name of a peer to pull newer engines' entries from."""
        known_revision = self._catalogue.seen_revision
        direct_states = self._view.reporting_directly()
        newer = {
            name for name, state in direct_states.items() if state.engines_revision > known_revision
        }
        in_zone = {name for name in newer if self._view.uses_reports_of(name)}
        elsewhere = newer - in_zone
        now_s = self._loop.time()
        for zone in self._view.zones.values():
            reports = now_s - zone.received_at_s < REPORT_TIMEOUT_S
            if reports and zone.engines_revision > known_revision:
                elsewhere.add(zone.aggregator[0])
        behind_s = self._note_behind("engines", bool(in_zone or elsewhere))
        if not self._members.secret or (self._catalogue.fresh and behind_s < WATCH_LATE_S):
            return None
        if behind_s < OTHER_ZONES_S:
            return sources.choose(in_zone)
        return sources.choose(in_zone, elsewhere)

    def _note_behind(self, kind: str, is_behind: bool) -> float:
        """Note whether peers have newer state; returns for how many seconds they have had it."""
        if not is_behind:
            self._behind_since_s.pop(kind, None)
            return 0.0
        now_s = self._loop.time()
        return now_s - self._behind_since_s.setdefault(kind, now_s)

    def _newer_configurations(self) -> dict[str, tuple[int, int]]:
        """Return version and revision of each newer configuration that a peer reports, by name."""
        states: dict[str, PeerState | ZoneState] = dict(self._view.reporting_directly())
        now_s = self._loop.time()
        for zone in self._view.zones.values():
            if now_s - zone.received_at_s < REPORT_TIMEOUT_S:
                states[zone.aggregator[0]] = zone
        is_older_than = self._ctx.in_force.is_older_than
        return {
            name: (state.configuration_version, state.configuration_revision)
            for name, state in states.items()
            if is_older_than(state.configuration_revision, state.configuration_version)
        }

    async def _request_view(self, peer: str, known_revision: int) -> CatalogueView:
        entry = self._members.entries.get(peer)
        if entry is None:
            raise NotSent(f"address of {peer} is not known")
        message = msgspec.msgpack.encode(known_revision)
        head, payload = await self.request(entry, PULL_TARGET, message)
        if head.header(DEFLATE[0]) == DEFLATE[1]:
            payload = decompress_view(payload)
        view = decode(view_decoder, payload)
        return with_eras(view, era_of(self._catalogue.seen_revision))

    async def request(
        self, entry: MemberEntry, target: bytes, message: bytes
    ) -> tuple[ResponseHead, bytes]:
        """Send a pull to a daemon and return its response, without its digest.

        :raises NotSent: the daemon cannot be reached
        :raises ResponseLost: no response that is signed by a daemon arrived
        """
        body = seal(self._members.secret, message)
        headers = [
            (b"host", entry.host.encode()),
            (b"content-length", b"%d" % len(body)),
            ACCEPT_DEFLATE,
        ]
        deadline_s = self._loop.time() + PULL_TIMEOUT_S
        connection = await self._pool.acquire(entry.host, entry.port, PULL_TIMEOUT_S, fresh=True)
        try:
            connection.send("POST", encode_request_head("POST", target, headers) + body)
            async with asyncio.timeout_at(deadline_s):
                head = await connection.head()
            response = await read_transfer(connection, PULL_TIMEOUT_S)
        except TimeoutError as error:
            raise ResponseLost("timed out before the response began") from error
        finally:
            connection.close()
        payload = unseal(self._members.secret, response)
        if payload is None:
            raise ResponseLost("the response is not signed by a daemon")
        return head, payload

    def _apply_view(self, peer: str, view: CatalogueView, requested_at_s: float) -> bool:
        """Apply the view of a peer; returns whether it was newer.

        :param requested_at_s: loop time at which the view was requested
        """
        self.counts["pulls"] += 1
        if view.value:
            self._catalogue.apply_configuration(
                view.value, view.configuration_revision, f"peer {peer}"
            )
        has_newer_engines = view.engines_revision > self._catalogue.seen_revision
        if has_newer_engines:
            self._catalogue.apply_peer_entries(view.entries, view.engines_revision, f"peer {peer}")
        self._catalogue.confirm_configuration(
            view.configuration_revision,
            view.configuration_version,
            view.configuration_age_s,
            requested_at_s,
        )
        self._catalogue.confirm_engines(view.engines_revision, view.engines_age_s, requested_at_s)
        return has_newer_engines or bool(view.value)


def decompress_view(data: bytes) -> bytes:
    """Return the encoded view of a compressed one.

    :raises ResponseLost: the data are damaged, or larger than :data:`MAX_VIEW_BYTES`
    """
    decompressor = zlib.decompressobj()
    try:
        view = decompressor.decompress(data, MAX_VIEW_BYTES)
    except zlib.error as error:
        raise ResponseLost(f"the view cannot be decompressed: {error}") from error
    if not decompressor.eof:
        raise ResponseLost(f"the view is incomplete or larger than {MAX_VIEW_BYTES} bytes")
    return view
