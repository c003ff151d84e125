"""State dump and readiness of one entry, and the fleet status as seen by that entry."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Any

from godwitpath import __version__
from godwitpath.entry.context import EntryContext
from godwitpath.ports.engine import EngineError
from godwitpath.upstreams.table import Upstream


@dataclass(slots=True)
class Readiness:
    """Whether an entry is ready to receive requests.

    :ivar why_not: reasons why the entry is not ready, empty when it is ready
    """

    entry_id: str
    ready: bool
    why_not: list[str]
    config_revision: int


def daemon_ready(context: EntryContext) -> Readiness:
    """Return whether this entry is ready to receive requests, and if not, why."""
    why_not = []
    if not context.config.ready:
        why_not.append("no configuration in force")
    if not context.upstreams_received():
        why_not.append("no news of the upstreams yet")
    if context.leaving:
        why_not.append("stopping")
    return Readiness(
        entry_id=context.settings.entry_id,
        ready=not why_not,
        why_not=why_not,
        config_revision=context.config.revision,
    )


def dump_state(context: EntryContext) -> dict[str, Any]:
    """Return the state of this process as JSON data, without secrets and request contents."""
    settings = context.settings
    return {
        "version": __version__,
        "entry_id": settings.entry_id,
        "region": settings.region,
        "availability_zone": settings.availability_zone,
        "stopping": context.stopping,
        "ready": daemon_ready(context),
        "background_tasks": len(context.tasks),
        **{name: dump() for name, dump in sorted(context.dumps.items())},
    }


@dataclass(slots=True)
class EntryStatus:
    """State of an entry as known to the queried entry."""

    entry_id: str
    region: str
    availability_zone: str
    state: str
    incarnation: int
    config_revision: int


@dataclass(slots=True)
class UpstreamStatus:
    """State of an upstream, with the model that it runs and the model in the configuration.

    :ivar runs: model and version reported by an engine, empty if it was not queried
    :ivar written: model and version in the configuration, empty for plain services
    """

    upstream_id: str
    service: str
    region: str
    availability_zone: str
    state: str
    reclaimable: bool
    price_per_h: float
    runs: str = ""
    written: str = ""


@dataclass(slots=True)
class FleetStatus:
    """State of the fleet as known to one entry.

    :ivar asked: identifier of the queried entry
    :ivar duties: names of the duties that the queried entry holds
    """

    asked: str
    config_revision: int
    duties: list[str]
    entries: list[EntryStatus]
    upstreams: list[UpstreamStatus]


async def fleet_status(context: EntryContext) -> FleetStatus:
    """Return all entries and upstreams known to this entry; query engines for their model."""
    members = sorted(context.membership.members(), key=lambda member: member.entry_id)
    upstreams = sorted(context.upstreams.all(), key=lambda upstream: upstream.upstream_id)
    return FleetStatus(
        asked=context.settings.entry_id,
        config_revision=context.config.revision,
        duties=context.held_duties(),
        entries=[
            EntryStatus(
                entry_id=member.entry_id,
                region=member.region,
                availability_zone=member.availability_zone,
                state=member.state,
                incarnation=member.incarnation,
                config_revision=member.config_revision,
            )
            for member in members
        ],
        upstreams=list(await asyncio.gather(*(_upstream_status(context, u) for u in upstreams))),
    )


async def _upstream_status(context: EntryContext, upstream: Upstream) -> UpstreamStatus:
    status = UpstreamStatus(
        upstream_id=upstream.upstream_id,
        service=upstream.service,
        region=upstream.region,
        availability_zone=upstream.availability_zone,
        state=upstream.state,
        reclaimable=upstream.reclaimable,
        price_per_h=upstream.price_per_h,
    )
    configuration = context.config.current
    service = configuration.services.get(upstream.service) if configuration else None
    if service is None or service.model is None or upstream.state == "gone":
        return status
    status.written = f"{service.model.name} {service.model.version}"
    try:
        running = await context.engine.status(upstream.address)
    except EngineError as error:
        status.runs = f"not known: {error}"
    else:
        status.runs = f"{running.model} {running.version}"
    return status
