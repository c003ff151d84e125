"""What a daemon knows and does, as plain data for operators, without keys and callers' text."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from typing import Any

from godwitpath import __version__
from godwitpath.gateway.catalogue import Catalogue
from godwitpath.gateway.context import GatewayContext
from godwitpath.gateway.engines import EngineState
from godwitpath.gateway.follow import Follower
from godwitpath.gateway.holder import DutyHolder, known_holder
from godwitpath.gateway.members import Members
from godwitpath.gateway.peer_view import PeerView


class StateDump:
    """Puts together what the parts of a daemon know."""

    def __init__(
        self,
        ctx: GatewayContext,
        catalogue: Catalogue,
        members: Members,
        view: PeerView,
        holder: DutyHolder,
    ) -> None:
        self._ctx = ctx
        self._catalogue = catalogue
        self._members = members
        self._view = view
        self._holder = holder

    def status(self) -> dict[str, Any]:
        """Return the daemons and engines as this daemon knows them, and who holds the duties."""
        ctx = self._ctx
        return {
            "daemon": ctx.settings.name,
            "version": __version__,
            "informed": self._catalogue.complete,
            "store": "followed" if self._catalogue.fresh else "not followed",
            "configuration_revision": ctx.in_force.revision,
            "duties_holder": known_holder(self._members)[0],
            "daemons": list(self._daemons()),
            "engines": list(self._engines()),
        }

    def state(self) -> dict[str, Any]:
        """Return everything: the status, and what the daemon's own decisions rest on."""
        ctx = self._ctx
        proof = self._holder.proof()
        current = ctx.in_force.current
        return self.status() | {
            "zone": ctx.settings.zone,
            "region": ctx.settings.region,
            "routes": [each.name for each in current.routes] if current else [],
            "services": sorted(current.services) if current else [],
            "accounts": [each.name for each in current.accounts] if current else [],
            "store_silent_s": {
                "configuration": self._silent_s(self._catalogue.configuration),
                "engines": self._silent_s(self._catalogue.entries),
            },
            "fence": proof.token if proof is not None else 0,
            "zones": {
                name: {"speaker": zone.speaker[0], "daemons": len(zone.members)}
                for name, zone in self._view.zones.items()
            },
            "quota_share": round(ctx.quota_share(), 3),
            "quota_levels": ctx.quota.levels(),
            "repeats_denied": ctx.repeats.denied,
            "streams_moved": dict(ctx.evacuator.counts) if ctx.evacuator is not None else {},
            "answers": [
                {"route": route, "by": by, "reason": reason, "count": count}
                for (route, by, reason), count in ctx.instruments.answers.items()
            ],
        }

    def _daemons(self) -> Iterator[dict[str, Any]]:
        direct = self._view.heard_directly()
        heard = self._view.heard()
        for name, entry in sorted(self._members.entries.items()):
            state = direct.get(name)
            yield {
                "name": name,
                "zone": entry.zone,
                "heard": name in heard,
                "configuration_revision": state.configuration if state is not None else None,
                "clock_offset_s": round(state.clock_offset_s, 3) if state is not None else None,
            }

    def _engines(self) -> Iterator[dict[str, Any]]:
        now_s = asyncio.get_running_loop().time()
        book = self._ctx.engines
        services = {engine.entry.service for engine in book.all()}
        usable = {id(each) for service in services for each in book.usable(service, now_s)}
        for engine in sorted(
            book.all(), key=lambda each: (each.entry.service, each.entry.engine_id)
        ):
            entry = engine.entry
            ready = entry.state is EngineState.READY
            yield {
                "name": entry.engine_id,
                "service": entry.service,
                "zone": entry.zone,
                "state": entry.state.value,
                "reclaimable": entry.reclaimable,
                "left_out": ready and id(engine) not in usable,
                "own_running": engine.running,
                "running": engine.all_running,
                "waiting_tokens": engine.all_prompt_tokens,
                "pace": round(engine.pace, 2),
            }

    def _silent_s(self, follower: Follower) -> float | None:
        silent_s = follower.silent_s(asyncio.get_running_loop().time())
        return None if silent_s is None else round(silent_s, 3)
