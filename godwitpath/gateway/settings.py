"""Settings of one daemon on the platform."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass

from godwitpath.ports.engine import Address


@dataclass(slots=True, frozen=True)
class Bounds:
    """Bounds that the deployment requires of the daemons.

    :ivar contact_s: time without disruption after which every bound holds
    :ivar drain_s: longest time for which an engine is used after it was announced as leaving
    :ivar grace_s: time between the stop signal and the kill
    :ivar config_apply_s: time within which a new configuration is in force
    :ivar retry_ratio: repeated sends as a fraction of the requests, over all daemons
    :ivar retry_window_s: length of the window in which repeated sends are counted
    :ivar retry_slack: repeated sends in a window in addition to the ratio, over all daemons
    :ivar quota_window_s: length of the window in which the quota units of an account are counted
    :ivar quota_overage: fraction by which the quota units of a window may exceed the quota
    :ivar quota_slack: quota units by which they may exceed the quota in addition to that fraction
    :ivar lease_s: time after which a duty holder may be replaced
    :ivar fencing_checked: whether the platform refuses calls with an older fencing token
    :ivar usage_window_s: length of a usage window
    :ivar usage_late_s: time after a usage window's end at which its report is due
    """

    contact_s: float = 4.0
    drain_s: float = 2.5
    grace_s: float = 8.0
    config_apply_s: float = 2.5
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 0.0
    quota_window_s: float = 8.0
    quota_overage: float = 0.0
    quota_slack: float = 0.0
    lease_s: float = 3.0
    fencing_checked: bool = False
    usage_window_s: float = 5.0
    usage_late_s: float = 10.0

    @property
    def change_s(self) -> float:
        """Time within which each change in the store has to be known: the shorter of the two."""
        return min(self.drain_s, self.config_apply_s)


@dataclass(slots=True, frozen=True)
class StoreRates:
    """Limits of the platform's store.

    :ivar writes_per_s: writes per second over all daemons
    :ivar reads_per_s: reads per second over all daemons
    :ivar min_lease_s: shortest time to live of a lease
    """

    writes_per_s: float = 100.0
    reads_per_s: float = 500.0
    min_lease_s: float = 1.0


@dataclass(slots=True, frozen=True)
class GatewaySettings:
    """Settings of one daemon.

    :ivar name: name of the daemon, unique in the deployment
    :ivar host: IP address of the daemon
    :ivar zone: availability zone of the daemon
    :ivar region: region of the daemon
    :ivar zone_regions: region of each availability zone
    :ivar caller_address: address at which the daemon receives callers' requests
    :ivar readiness_address: address for the load balancer's readiness probes
    :ivar metrics_address: address at which the daemon serves its metrics and state
    :ivar peer_ports: first and last port for traffic between daemons
    :ivar store_address: address of the platform's store
    :ivar store: limits of the store
    :ivar cloud_address: address of the cloud API for usage reports and engine orders, None if the
        deployment has no cloud API
    :ivar duties: names of the duties that the deployment requires
    :ivar duty_calls_per_s: limit on the calls to the cloud API per second, over all daemons
    :ivar bounds: bounds that the deployment requires
    :ivar max_sockets: number of sockets that the platform lets the daemon open
    """

    name: str
    host: str
    zone: str
    region: str
    zone_regions: Mapping[str, str]
    caller_address: Address
    readiness_address: Address
    metrics_address: Address
    peer_ports: tuple[int, int]
    store_address: Address
    store: StoreRates
    cloud_address: Address | None
    duties: tuple[str, ...]
    duty_calls_per_s: float
    bounds: Bounds
    max_sockets: float = math.inf

    def region_of(self, zone: str) -> str:
        """Return the region of an availability zone, empty if the zone is unknown."""
        return self.zone_regions.get(zone, "")
