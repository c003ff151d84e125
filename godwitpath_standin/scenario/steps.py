"""The typed steps of a scenario."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True, frozen=True)
class Target:
    """A process of the fleet.

    :ivar kind: `entry`, `engine`, `service`, `store` or `platform`
    :ivar service: service that an engine or plain service belongs to
    :ivar number: counted from 1
    """

    kind: str
    service: str = ""
    number: int = 0


@dataclass(slots=True)
class Step:
    """A step as written.

    :ivar line: line of the file, counted from 1
    :ivar text: the line's text
    """

    line: int
    text: str


@dataclass(slots=True)
class StartFleet(Step):
    """Start a deployment with a number of entries."""

    deployment: str
    entries: int


@dataclass(slots=True)
class Wait(Step):
    """Let time pass."""

    duration_s: float


@dataclass(slots=True)
class Load(Step):
    """Start a bounded load in the background.

    :ivar generations: whether it is generations, else calls that may not be repeated
    :ivar keyed: whether callers give idempotency keys; without, they ask by request identifier
    """

    name: str
    generations: bool
    count: int
    duration_s: float
    keyed: bool = True


@dataclass(slots=True)
class Call(Step):
    """Make one call through several entries at the same moment."""

    name: str
    method: str
    path: str
    key: str
    entries: list[int]


@dataclass(slots=True)
class AskAgain(Step):
    """Repeat an earlier call with its key through other entries."""

    name: str
    entries: list[int]


@dataclass(slots=True)
class Act(Step):
    """Do something to a process: kill, pause, wake, stop, restart or silence."""

    action: str
    target: Target


@dataclass(slots=True)
class SetFault(Step):
    """Switch a fault of a stand-in."""

    target: Target
    fault: str
    value: object


@dataclass(slots=True)
class Reclaim(Step):
    """Let the cloud take back every reclaimable instance of a zone."""

    zone: str
    notice_s: float


@dataclass(slots=True)
class AnnounceStop(Step):
    """Announce a planned stop as an operator does."""

    kind: str
    name: str


@dataclass(slots=True)
class Submit(Step):
    """Change one value of the configuration and submit it."""

    pointer: str
    value: object
    author: str


@dataclass(slots=True)
class Race(Step):
    """Let two operators submit different values of one field at the same moment."""

    pointer: str
    first: object
    second: object


@dataclass(slots=True)
class Expect(Step):
    """Check something, at once or within a time.

    :ivar what: name of the check
    :ivar arguments: its arguments
    """

    what: str
    arguments: list[object] = field(default_factory=list)
    within_s: float = 0.0
