"""Limits of the daemon's ports: on requests to those not for callers, and on open connections."""

from __future__ import annotations

import resource

from godwitpath.http1.limits import CallerLimits
from godwitpath.http1.open_connections import OpenConnections

SERVICE_PORT_LIMITS = CallerLimits(max_header_bytes=16_384, max_body_bytes=4_096)
"""Limits of the ports for readiness, metrics and pulls. Probes and scrapes have no body, and a pull
has one of some 50 bytes, which is received before its signature is checked."""

CALLER_SHARE = 0.375
"""Share of the files that a process may open for connections of callers, each of whose requests may
need another one for its engine."""

PEER_SHARE = 0.1
"""Share for pulls of other daemons."""

PROBE_SHARE = 0.02
"""Share for probes of readiness, and another one for scrapes of metrics."""

MAX_CALLERS = 4_096
"""Maximum number of connections of callers, however many files may be opened."""

MIN_CONNECTIONS = 2
"""Number of connections that a port accepts, however few files may be opened."""


class PortConnections:
    """Open connections of each port of a daemon.

    :param max_files: number of files that the process may open
    """

    __slots__ = ("callers", "metrics", "peers", "readiness")

    def __init__(self, max_files: float) -> None:
        # The shares of a limit that allows callers their maximum number.
        files = min(max_files, MAX_CALLERS / CALLER_SHARE)
        self.callers = _connections("callers", files * CALLER_SHARE)
        self.peers = _connections("peers", files * PEER_SHARE)
        self.readiness = _connections("readiness", files * PROBE_SHARE)
        self.metrics = _connections("metrics", files * PROBE_SHARE)

    def all(self) -> tuple[OpenConnections, ...]:
        """Return the open connections of each port."""
        return (self.callers, self.peers, self.readiness, self.metrics)


def max_open_files() -> float:
    """Return the number of files that this process may open."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return float("inf") if soft == resource.RLIM_INFINITY else soft


def _connections(port: str, max_open: float) -> OpenConnections:
    return OpenConnections(port, max(MIN_CONNECTIONS, int(max_open)))
