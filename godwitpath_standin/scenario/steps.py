"""Typed steps of a scenario."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True, frozen=True)
class Target:
    """A process of the fleet.

    :ivar kind: `entry`, `engine`, `service`, `store` or `platform`
    :ivar service: service of an engine or of a plain service, else empty
    :ivar number: number within its kind and service, from 1; 0 for the store and the platform
    """

    kind: str
    service: str = ""
    number: int = 0


@dataclass(slots=True)
class Step:
    """A step of a scenario file.

    :ivar line: line number in the file, from 1
    :ivar text: text of the line
    """

    line: int
    text: str


@dataclass(slots=True)
class StartFleet(Step):
    """Start the fleet of a deployment with a number of entries."""

    deployment: str
    entries: int


@dataclass(slots=True)
class Wait(Step):
    """Wait for a time."""

    duration_s: float


@dataclass(slots=True)
class Load(Step):
    """Start a bounded load in the background.

    :ivar generations: whether the load consists of generations, else of non-idempotent calls
    :ivar count: number of generations or calls
    :ivar duration_s: time over which their starts are distributed
    :ivar keyed: whether callers send idempotency keys; otherwise they ask by request identifier
    """

    name: str
    generations: bool
    count: int
    duration_s: float
    keyed: bool = True


@dataclass(slots=True)
class Call(Step):
    """Send one call through several entries at the same moment."""

    name: str
    method: str
    path: str
    key: str
    entries: list[int]


@dataclass(slots=True)
class RepeatCall(Step):
    """Repeat an earlier call with the same idempotency key through other entries."""

    name: str
    entries: list[int]


@dataclass(slots=True)
class ProcessAction(Step):
    """Apply an action to a process: kill, pause, wake, stop, restart or silence."""

    action: str
    target: Target


@dataclass(slots=True)
class SetFault(Step):
    """Set a fault of a stand-in."""

    target: Target
    fault: str
    value: object


@dataclass(slots=True)
class Reclaim(Step):
    """Reclaim every instance of an availability zone after a notice period."""

    zone: str
    notice_s: float


@dataclass(slots=True)
class AnnounceStop(Step):
    """Announce a planned stop, as an operator does."""

    kind: str
    name: str


@dataclass(slots=True)
class Submit(Step):
    """Change one value of the configuration and submit the result.

    :ivar pointer: JSON pointer of the value
    """

    pointer: str
    value: object
    author: str


@dataclass(slots=True)
class Race(Step):
    """Submit two values of one field by two operators at the same moment.

    :ivar pointer: JSON pointer of the field
    """

    pointer: str
    first: object
    second: object


@dataclass(slots=True)
class Expect(Step):
    """Check an expectation, at once or within a time.

    :ivar check_name: name of the check
    :ivar arguments: arguments of the check
    :ivar within_s: time within which the expectation must hold, 0 for at once
    """

    check_name: str
    arguments: list[object] = field(default_factory=list)
    within_s: float = 0.0
