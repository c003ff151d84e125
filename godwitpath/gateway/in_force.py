"""The configuration in force at this daemon; it only ever moves forward."""

from __future__ import annotations

from godwitpath.gateway.accounts import KeyIndex
from godwitpath.gateway.model import Configuration, ServiceSpec
from godwitpath.gateway.routes import RouteTable
from godwitpath.http1.limits import CallerLimits
from godwitpath.telemetry.decisions import decision


class ConfigurationInForce:
    """Holds the newest configuration that this daemon has heard of.

    :ivar current: the configuration, None before the first
    :ivar value: its bytes as they lie in the store, for other daemons
    """

    def __init__(self) -> None:
        self.current: Configuration | None = None
        self.value = b""
        self.routes = RouteTable(())
        self.keys = KeyIndex(())
        self._start_limits = CallerLimits()

    @property
    def revision(self) -> int:
        """Store revision of the configuration, 0 before the first."""
        return self.current.revision if self.current else 0

    @property
    def limits(self) -> CallerLimits:
        """Bounds on what callers may send."""
        return self.current.limits if self.current else self._start_limits

    def service(self, name: str) -> ServiceSpec | None:
        """Return a service of the configuration."""
        return self.current.services.get(name) if self.current else None

    def apply(self, configuration: Configuration, value: bytes, source: str) -> bool:
        """Put a configuration in force if it is newer; returns whether it was.

        :param source: where it came from, for the log
        """
        if configuration.revision <= self.revision:
            return False
        before = self.revision
        self.routes = RouteTable(configuration.routes)
        self.keys = KeyIndex(configuration.accounts)
        self.current = configuration
        self.value = value
        decision(
            "configuration_in_force",
            version=configuration.version,
            revision=configuration.revision,
            before=before,
            source=source,
            routes=len(configuration.routes),
            accounts=len(configuration.accounts),
        )
        return True
