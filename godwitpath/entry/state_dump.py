"""The state dump of one process, its readiness, and the status of the fleet as it sees it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from godwitpath import __version__
from godwitpath.entry.context import EntryContext


@dataclass(slots=True)
class Readiness:
    """Whether an entry may be sent requests.

    :ivar why_not: reasons, empty when ready
    """

    entry_id: str
    ready: bool
    why_not: list[str]
    config_revision: int


def daemon_ready(context: EntryContext) -> Readiness:
    """Return whether this entry may be sent requests, and why not."""
    why_not = []
    if not context.config.ready:
        why_not.append("no configuration in force")
    if context.leaving:
        why_not.append("stopping")
    return Readiness(
        entry_id=context.settings.entry_id,
        ready=not why_not,
        why_not=why_not,
        config_revision=context.config.revision,
    )


def dump_state(context: EntryContext) -> dict[str, Any]:
    """Return the state of this process as plain JSON data, without secrets or callers' texts."""
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


def fleet_status(context: EntryContext) -> dict[str, Any]:
    """Return every entry and upstream as this entry knows them."""
    entries = [
        {
            "entry_id": member.entry_id,
            "region": member.region,
            "availability_zone": member.availability_zone,
            "state": member.state,
            "incarnation": member.incarnation,
            "config_revision": member.config_revision,
        }
        for member in sorted(context.membership.members(), key=lambda member: member.entry_id)
    ]
    upstreams = [
        {
            "upstream_id": upstream.upstream_id,
            "service": upstream.service,
            "region": upstream.region,
            "availability_zone": upstream.availability_zone,
            "state": upstream.state,
            "reclaimable": upstream.reclaimable,
            "price_per_h": upstream.price_per_h,
        }
        for upstream in sorted(context.upstreams.all(), key=lambda one: one.upstream_id)
    ]
    return {
        "asked": context.settings.entry_id,
        "config_revision": context.config.revision,
        "entries": entries,
        "upstreams": upstreams,
    }
