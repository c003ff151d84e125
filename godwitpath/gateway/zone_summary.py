"""Builds the summary of an availability zone from the reports of its daemons."""

from __future__ import annotations

from collections import Counter

from godwitpath.gateway.peer_messages import PeerReport, ZoneSummary
from godwitpath.gateway.peer_state import sum_loads
from godwitpath.gateway.peer_view import PeerView
from godwitpath.gateway.quarantine_report import QuarantineReport


def build_summary(
    view: PeerView, zone: str, own_report: PeerReport, quarantine: QuarantineReport
) -> ZoneSummary:
    """Return the summary of a zone.

    :param own_report: report of this daemon, the zone's aggregator
    :param quarantine: what the aggregator found, and what it heard of others
    """
    zone_peers = view.reporting_in_zone()
    # The version is that of the greatest revision.
    configuration_revision, configuration_version = max(
        [
            (own_report.configuration_revision, own_report.configuration_version),
            *(
                (state.configuration_revision, state.configuration_version)
                for _, state in zone_peers
            ),
        ]
    )
    return ZoneSummary(
        zone=zone,
        aggregator=own_report.name,
        incarnation=own_report.incarnation,
        sequence=own_report.sequence,
        members=[(own_report.name, own_report.incarnation), *(key for key, _ in zone_peers)],
        configuration_revision=configuration_revision,
        configuration_version=configuration_version,
        quota_used=dict(Counter(own_report.quota_used) + view.zone_quota_used),
        loads=sum_loads([own_report.loads, *(state.loads for _, state in zone_peers)]),
        prefill_tokens=dict(Counter(own_report.prefill_tokens) + view.zone_prefill_tokens),
        prompts=[
            *own_report.prompts,
            *(sent for _, state in zone_peers for sent in state.prompts),
        ],
        limits=own_report.limits,
        engines_revision=own_report.engines_revision,
        engines_age_s=own_report.engines_age_s,
        leaving=own_report.leaving,
        quarantine=quarantine,
        hears=view.hearing.hears_zones(),
        takes_pieces=all(state.takes_pieces for _, state in zone_peers),
    )
