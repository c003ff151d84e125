"""Bounds what one response, and all responses together, may cost the process that reads them.

Bytes alone bound neither memory nor work: a header field of ten bytes takes as much memory as some
hundred bytes of body, and a body in pieces of one byte takes a call of the parser for each. The
decisions have no access to the network. They answer the load of any number of faulty servers at
once; what a response costs is bounded by itself, and all bodies are bounded together.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Hashable

from godwitpath.http1.messages import ResponseLost

MAX_HEAD_BYTES = 131_072
"""Maximum size of the head of a response with the interim responses before it."""

MAX_FIELDS = 200
"""Maximum number of header and trailer fields of a message. Common servers accept about 100."""

MAX_INTERIM_RESPONSES = 16
"""Maximum number of interim responses before a response."""

MAX_SKIPPED_RESPONSES = 4
"""Number of responses to other requests that are skipped before a connection is closed."""

FRAMING_BYTES_PER_BODY_BYTE = 8
"""Bytes of chunk sizes and chunk extensions that each byte of a body allows, beyond
:data:`MAX_HEAD_BYTES`: a chunk of a single byte has five. Without any byte of the body, as in a
trailer, :data:`MAX_HEAD_BYTES` may arrive in a row."""

FREE_PIECES = 1_024
"""Number of pieces of any size in which a body may arrive."""

MIN_MEAN_PIECE_BYTES = 2
"""Smallest mean size of the pieces of a body that arrives in more than :data:`FREE_PIECES`. An
engine that sends each line of an event by itself has a mean of five."""

MAX_BODY_BYTES = 16_777_216
"""Maximum size of a body that is read as a whole."""

UNSHARED_BODY_BYTES = 262_144
"""Size of a body up to which it does not count towards the sums, so that ordinary responses are
read while engines fail with endless ones."""

MAX_SERVER_BODY_BYTES = 50_331_648
"""Maximum size of all larger bodies from one server at the same time. It leaves room for one of the
maximum size from another."""

MAX_SHARED_BODY_BYTES = 67_108_864
"""Maximum size of all larger bodies at the same time."""


class ResponseLimitExceeded(ResponseLost):
    """A response would cost more than it may.

    :ivar limit: name of the limit
    :ivar amount: the amount that exceeds it, in the limit's unit
    :ivar shared: whether the limit is one of all servers together, so that the response itself need
        not be at fault
    """

    def __init__(self, limit: str, amount: int, shared: bool = False) -> None:
        super().__init__(f"the response exceeds the limit of {limit}: {amount}")
        self.limit = limit
        self.amount = amount
        self.shared = shared


def limit_exceeded(error: BaseException) -> ResponseLimitExceeded | None:
    """Return the limit for which a callback made the parser fail, None for another error."""
    causes = (error, error.__cause__, error.__context__)
    return next((each for each in causes if isinstance(each, ResponseLimitExceeded)), None)


def pieces_allowed(pieces: int, body_bytes: int) -> bool:
    """Return whether a body, or the part of it so far, may arrive in a number of pieces."""
    return pieces <= FREE_PIECES + body_bytes // MIN_MEAN_PIECE_BYTES


class ResponseCost:
    """What the response to one request has cost so far.

    :ivar body_bytes: bytes of its body, without those of skipped responses
    :ivar pieces: number of pieces in which the body arrived
    """

    __slots__ = (
        "_body_bytes_before",
        "_bytes_in_a_row",
        "_fields",
        "_interim_responses",
        "_skipped_responses",
        "_wire_bytes",
        "body_bytes",
        "pieces",
    )

    def __init__(self) -> None:
        self.body_bytes = 0
        self.pieces = 0
        self._wire_bytes = 0
        self._body_bytes_before = 0
        self._bytes_in_a_row = 0
        self._fields = 0
        self._interim_responses = 0
        self._skipped_responses = 0

    @property
    def skipped_any(self) -> bool:
        """Whether a response to another request was skipped."""
        return self._skipped_responses > 0

    def add_received(self, wire_bytes: int, complete: bool) -> None:
        """Count received bytes once their pieces were counted.

        :param complete: whether the response ended with them
        :raises ResponseLimitExceeded: too few of them belong to the body
        """
        if self.body_bytes > self._body_bytes_before:
            self._bytes_in_a_row = 0
        else:
            self._bytes_in_a_row += wire_bytes
        self._body_bytes_before = self.body_bytes
        self._wire_bytes += wire_bytes
        framing_bytes = self._wire_bytes - self.body_bytes
        allowed_bytes = MAX_HEAD_BYTES + FRAMING_BYTES_PER_BODY_BYTE * self.body_bytes
        too_many = framing_bytes > allowed_bytes or self._bytes_in_a_row > MAX_HEAD_BYTES
        if too_many and not complete:
            raise ResponseLimitExceeded("framing bytes", framing_bytes)

    def add_field(self) -> None:
        """Count a header or trailer field.

        :raises ResponseLimitExceeded: there are too many
        """
        self._fields += 1
        if self._fields > MAX_FIELDS:
            raise ResponseLimitExceeded("fields", self._fields)

    def add_interim_response(self) -> None:
        """Count an interim response, whose fields are dropped.

        :raises ResponseLimitExceeded: there are too many
        """
        self._fields = 0
        self._interim_responses += 1
        if self._interim_responses > MAX_INTERIM_RESPONSES:
            raise ResponseLimitExceeded("interim responses", self._interim_responses)

    def add_skipped_response(self) -> None:
        """Count a response to another request, whose fields are dropped.

        :raises ResponseLimitExceeded: there are too many
        """
        self._fields = 0
        self._skipped_responses += 1
        if self._skipped_responses > MAX_SKIPPED_RESPONSES:
            raise ResponseLimitExceeded("skipped responses", self._skipped_responses)

    def add_piece(self, size_bytes: int) -> None:
        """Count a piece of the body.

        :raises ResponseLimitExceeded: there are too many for its size
        """
        self.body_bytes += size_bytes
        self.pieces += 1
        if not pieces_allowed(self.pieces, self.body_bytes):
            raise ResponseLimitExceeded("pieces", self.pieces)


class BodyBudget:
    """Bounds the memory of bodies and events that are being received at the same time.

    :ivar shared_bytes: bytes of those beyond :data:`UNSHARED_BODY_BYTES` each, by server
    """

    __slots__ = ("shared_bytes",)

    def __init__(self) -> None:
        self.shared_bytes: Counter[Hashable] = Counter()

    def reserve(self, server: Hashable) -> BodyReservation:
        """Return the reservation of a body that is about to arrive from a server."""
        return BodyReservation(self, server)

    def _add(self, server: Hashable, added_bytes: int) -> None:
        server_bytes = self.shared_bytes[server] + added_bytes
        if added_bytes > 0 and server_bytes > MAX_SERVER_BODY_BYTES:
            raise ResponseLimitExceeded("body bytes of its server", server_bytes)
        total_bytes = self.shared_bytes.total() + added_bytes
        if added_bytes > 0 and total_bytes > MAX_SHARED_BODY_BYTES:
            raise ResponseLimitExceeded("body bytes of all servers", total_bytes, shared=True)
        self.shared_bytes[server] = server_bytes
        if not server_bytes:
            del self.shared_bytes[server]


class BodyReservation:
    """Memory of one body, or one event, that is being received."""

    __slots__ = ("_budget", "_server", "_shared_bytes")

    def __init__(self, budget: BodyBudget, server: Hashable) -> None:
        self._budget = budget
        self._server = server
        self._shared_bytes = 0

    def resize(self, size_bytes: int) -> None:
        """Change the reservation to a size.

        :raises ResponseLimitExceeded: it, or all reservations together, are too large
        """
        if size_bytes > MAX_BODY_BYTES:
            raise ResponseLimitExceeded("body bytes", size_bytes)
        shared_bytes = max(0, size_bytes - UNSHARED_BODY_BYTES)
        if shared_bytes != self._shared_bytes:
            self._budget._add(self._server, shared_bytes - self._shared_bytes)
            self._shared_bytes = shared_bytes

    def release(self) -> None:
        """Give the memory back."""
        self.resize(0)
