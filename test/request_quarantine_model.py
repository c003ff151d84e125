"""Simulation of daemons before engines that copies of one request crash."""

from __future__ import annotations

from functools import lru_cache

from godwitpath.gateway.fingerprint import fingerprint
from godwitpath.http1.messages import Request
from test.quarantine_model import ModelDaemon, ModelEngine, ModelRequest, QuarantineModel

RETRY_S = 0.05
"""Time until a request whose engine broke is sent again, by its daemon or by its caller."""

TOLERATED_COPY_CRASHES = 3


@lru_cache(maxsize=100_000)
def copy_of(item: int) -> str:
    """Return the fingerprint of a read."""
    request = Request("GET", b"/stock/%d" % item, [(b"host", b"depots")], b"", 0.0, 0.0)
    return fingerprint(request, "hauliers")


CRASHING = copy_of(0)


class RequestModel(QuarantineModel):
    """A fleet under load of plain requests, some of them popular.

    :param skew: exponent of the popularity of the reads; a smaller one makes fewer of them popular
    """

    def __init__(
        self, daemons: int, engines: int, seed: int, crashing: bool = True, skew: float = 0.6
    ) -> None:
        super().__init__(daemons, engines, seed, CRASHING if crashing else "none")
        self.outcome.tolerated_crashes = TOLERATED_COPY_CRASHES
        self._skew = skew

    def send_ordinary(self) -> None:
        """Send a read, which is one of a few popular ones or a rare one."""
        item = int(self.rng.paretovariate(self._skew))
        self._send(self.rng.choice(self.daemons), (copy_of(item),))

    def send_crashing(self) -> None:
        """Send a copy of the request that crashes engines."""
        self._send(self.rng.choice(self.daemons), (CRASHING,))

    def end_zone(self, zone: int) -> None:
        """Crash the engines of a zone one after the other within a third of a second."""
        for engine in self.engines:
            if engine.number % 3 == zone:
                self.after(self.rng.uniform(0.0, 0.35), self.crash, engine)

    def end_zones_in_a_row(self) -> None:
        """Crash all engines of one zone after the other."""
        for zone in range(3):
            self.after(1.2 * zone, self.end_zone, zone)

    def _begin(self, engine: ModelEngine, request: ModelRequest) -> None:
        crashes = request in engine.requests and CRASHING in request.parts
        super()._begin(engine, request)
        if crashes and self._crashing_part == CRASHING and not request.repeated:
            self.after(RETRY_S, self._retry, request.daemon, request.parts)

    def _retry(self, daemon: ModelDaemon, parts: tuple[str, ...]) -> None:
        """Send a copy once more from its daemon, unless it is suspect, and then from its caller.

        The daemon may not know of the crash of the first engine yet.
        """
        if not daemon.quarantine.is_suspect(parts):
            self._send(daemon, parts, repeated=True)
        self.after(RETRY_S, self._send, self.rng.choice(self.daemons), parts, True)
