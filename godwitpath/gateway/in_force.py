"""The configuration in force at this daemon; its store revision never decreases."""

from __future__ import annotations

from godwitpath.gateway.accounts import KeyIndex
from godwitpath.gateway.model import AccountSpec, Configuration, ServiceSpec
from godwitpath.gateway.routes import RouteTable
from godwitpath.gateway.store import era_of
from godwitpath.http1.limits import CallerLimits
from godwitpath.telemetry.decisions import decision


class ConfigurationInForce:
    """Holds the newest configuration that this daemon has received.

    :ivar current: the configuration in force, None before the first one was received
    :ivar value: bytes of that configuration as stored, sent to peers that cannot reach the store
    :ivar routes: lookup table of the configuration's routes
    :ivar keys: lookup table of the API keys of the configuration's accounts
    """

    def __init__(self) -> None:
        self.current: Configuration | None = None
        self.value = b""
        self.routes = RouteTable(())
        self.keys = KeyIndex(())
        self._accounts: dict[str, AccountSpec] = {}
        self._default_limits = CallerLimits()

    @property
    def revision(self) -> int:
        """Store revision of the configuration in force, 0 before the first configuration."""
        return self.current.revision if self.current else 0

    @property
    def version(self) -> int:
        """The operator's version of that configuration, 0 before the first configuration."""
        return self.current.version if self.current else 0

    @property
    def limits(self) -> CallerLimits:
        """Limits on the requests of callers; defaults before the first configuration."""
        return self.current.limits if self.current else self._default_limits

    def service(self, name: str) -> ServiceSpec | None:
        """Return a service by name, None if the configuration does not define it."""
        return self.current.services.get(name) if self.current else None

    def account(self, name: str) -> AccountSpec | None:
        """Return an account by name, None if the configuration does not define it."""
        return self._accounts.get(name)

    def is_older_than(self, revision: int, version: int) -> bool:
        """Return whether another configuration is newer than the one in force.

        Within an era of the store the later write is newer. A store that was restored from an older
        copy has the copy's configuration under a greater revision; there the operator's version
        tells.
        """
        if self.current is None:
            return revision > 0
        if era_of(revision) == era_of(self.revision):
            return revision > self.revision
        return version > self.current.version

    def apply(self, configuration: Configuration, value: bytes, source: str) -> bool:
        """Put a configuration in force if it is newer than the current one.

        :param value: the configuration's bytes as stored
        :param source: origin of the configuration, for the log
        :returns: whether it was newer
        """
        if not self.is_older_than(configuration.revision, configuration.version):
            return False
        previous_revision = self.revision
        self.routes = RouteTable(configuration.routes)
        self.keys = KeyIndex(configuration.accounts)
        self._accounts = {account.name: account for account in configuration.accounts}
        self.current = configuration
        self.value = value
        decision(
            "configuration_in_force",
            version=configuration.version,
            revision=configuration.revision,
            before=previous_revision,
            source=source,
            routes=len(configuration.routes),
            accounts=len(configuration.accounts),
        )
        return True
