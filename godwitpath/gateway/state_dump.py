"""A daemon's state as plain data for operators, without API keys and callers' content.

The duty holder, which the state names, is the daemon that holds the deployment's duties under a
lease: it reports usage and orders engines.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Iterator, Mapping
from typing import Any

from godwitpath import __version__
from godwitpath.gateway.catalogue import Catalogue
from godwitpath.gateway.context import GatewayContext
from godwitpath.gateway.engines import EngineState
from godwitpath.gateway.holder import DutyHolder
from godwitpath.gateway.holder_entry import known_holder
from godwitpath.gateway.loop_delay import HoldCause
from godwitpath.gateway.members import Members
from godwitpath.gateway.peer_view import PeerView
from godwitpath.gateway.store_watch import StoreWatcher
from godwitpath.telemetry.instruments import Histogram


class StateDump:
    """Collects the state of a daemon's components.

    :param peer_events: number of events with other daemons by name
    """

    def __init__(
        self,
        ctx: GatewayContext,
        catalogue: Catalogue,
        members: Members,
        view: PeerView,
        holder: DutyHolder,
        peer_events: Mapping[str, int],
    ) -> None:
        self._ctx = ctx
        self._catalogue = catalogue
        self._members = members
        self._view = view
        self._holder = holder
        self._peer_events = peer_events

    def status(self) -> dict[str, Any]:
        """Return this daemon's view of the daemons, the engines and the duty holder."""
        ctx = self._ctx
        ages = self._catalogue.ages()
        return {
            "daemon": ctx.settings.name,
            "version": __version__,
            "informed": self._catalogue.is_loaded,
            "store": "followed" if self._catalogue.fresh else "not followed",
            "age_s": {
                "configuration": _rounded(ages.configuration_s),
                "engines": _rounded(ages.engines_s),
            },
            "configuration_revision": ctx.in_force.revision,
            "duties_holder": known_holder(self._members)[0],
            "daemons": list(self._daemons()),
            "engines": list(self._engines()),
        }

    def state(self) -> dict[str, Any]:
        """Return the status, and in addition the state on which this daemon bases its decisions."""
        ctx = self._ctx
        fencing_token = self._holder.fencing_token()
        current = ctx.in_force.current
        return self.status() | {
            "zone": ctx.settings.zone,
            "region": ctx.settings.region,
            "routes": [each.name for each in current.routes] if current else [],
            "services": sorted(current.services) if current else [],
            "accounts": [each.name for each in current.accounts] if current else [],
            "store_silent_s": {
                "configuration": self._since_response_s(self._catalogue.configuration_watcher),
                "engines": self._since_response_s(self._catalogue.entries_watcher),
            },
            "fence": fencing_token.number if fencing_token is not None else 0,
            "zones": {
                name: {"speaker": zone.aggregator[0], "daemons": len(zone.members)}
                for name, zone in self._view.zones.items()
            },
            "quota_share": round(ctx.quota_share(), 3),
            "quota_levels": ctx.quota.levels(),
            "quarantined_prompts": list(self._verdicts()),
            "repeats_denied": ctx.retry_budget.denied,
            "streams_moved": dict(ctx.evacuator.move_counts) if ctx.evacuator is not None else {},
            "datagrams": {
                "largest_bytes": int(_largest(ctx.instruments.datagram_bytes)),
                "not_sent": self._peer_events.get("datagrams_unsent_too_large", 0),
            },
            "loop_longest_s": {
                cause.value: round(_largest(ctx.instruments.loop_delay_s, cause=cause.value), 4)
                for cause in HoldCause
            },
            "answers": [
                {"route": route, "by": by, "reason": reason, "count": count}
                for (route, by, reason), count in ctx.instruments.responses.items()
            ],
        }

    def _daemons(self) -> Iterator[dict[str, Any]]:
        direct = self._view.reporting_directly()
        reporting = self._view.reporting()
        in_contact = self._view.hearing.in_contact()
        for name, entry in sorted(self._members.entries.items()):
            state = direct.get(name)
            yield {
                "name": name,
                "zone": entry.zone,
                "heard": name in reporting,
                "hears_this": name in in_contact if name in reporting else None,
                "configuration_revision": (
                    state.configuration_revision if state is not None else None
                ),
                "clock_offset_s": round(state.clock_offset_s, 3) if state is not None else None,
            }

    def _engines(self) -> Iterator[dict[str, Any]]:
        now_s = asyncio.get_running_loop().time()
        registry = self._ctx.engines
        services = {engine.entry.service for engine in registry.all()}
        usable_ids = {id(each) for service in services for each in registry.usable(service, now_s)}
        for engine in sorted(
            registry.all(), key=lambda each: (each.entry.service, each.entry.engine_id)
        ):
            entry = engine.entry
            ready = entry.state is EngineState.READY
            yield {
                "name": entry.engine_id,
                "service": entry.service,
                "zone": entry.zone,
                "state": entry.state.value,
                "reclaimable": entry.reclaimable,
                "left_out": ready and id(engine) not in usable_ids,
                "own_running": engine.running_requests,
                "running": engine.all_running,
                "waiting_tokens": engine.all_prompt_tokens,
                "pace": round(engine.slowdown, 2),
                "limit_per_s": self._ctx.permits.limit_per_s(engine),
            }

    def _verdicts(self) -> Iterator[dict[str, Any]]:
        now_s = asyncio.get_running_loop().time()
        quarantine = self._ctx.crashes.quarantine
        for verdict in quarantine.verdicts:
            yield {
                "parts": sorted(verdict.subjects),
                "crashes": verdict.crashes,
                "since_age_s": round(now_s - verdict.since_s, 3),
                "asked_age_s": round(now_s - verdict.asked_at_s, 3),
                "engines": [incarnation[0] for incarnation, _ in quarantine.crashes(verdict)],
            }

    def _since_response_s(self, watcher: StoreWatcher) -> float | None:
        since_response_s = watcher.since_response_s(asyncio.get_running_loop().time())
        return None if since_response_s is None else round(since_response_s, 3)


def _rounded(age_s: float) -> float | None:
    """Return an age in seconds for the dump, None while nothing is known."""
    return None if math.isinf(age_s) else round(age_s, 3)


def _largest(histogram: Histogram, **attributes: str) -> float:
    """Return the largest value of an attribute set of a histogram, 0 without one."""
    return max(0.0, histogram.bind(**attributes).largest)
