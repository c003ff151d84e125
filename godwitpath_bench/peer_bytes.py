"""Peer messages experiment: sizes of reports between daemons, and bytes that a daemon sends.

It packs messages of deployments of several sizes, without sockets. "Whole" is the message before it
is packed, as the builds before packets sent it, if it fits into a datagram at all.
"""

from __future__ import annotations

from collections.abc import Iterator

import msgspec
import typer

from godwitpath.gateway.peer_messages import DIGEST_BYTES, PeerReport, ZoneSummary
from godwitpath.gateway.peer_view import MESH_MAX
from godwitpath.gateway.peers import REPORT_S
from godwitpath.gateway.quarantine_report import QuarantineReport, ReportedCrash
from godwitpath.gateway.report_budget import ReportPacker, pieces_allowed
from godwitpath.gateway.report_sender import MAX_UDP_BYTES

ZONES = 3
ACCOUNTS = 8
ENGINES_PER_DAEMON = 2
WINDOWS = 3
INCARNATION = 2**62
REPORTS = 40
"""Number of successive reports of which the mean size is taken."""

TRAFFIC = {
    "calm": (3, 3, 0),
    "burst": (64, 3, 0),
    "long": (12, 1_000, 0),
    "crashes": (12, 1_000, 4),
}
"""Prompts in .8 s, parts of a prompt, and engines that crashed under eight of them, by name."""

Prompts = list[tuple[str, list[tuple[str, int]]]]


def _prompts(daemon: int, count: int, parts: int) -> Prompts:
    return [
        (f"i-{each:012x}", [(f"{daemon:04x}{each:04x}{part:08x}", 800) for part in range(parts)])
        for each in range(count)
    ]


def _crashes(daemon: int, count: int, parts: int) -> QuarantineReport:
    requests = [
        tuple(f"{daemon:04x}{each:04x}{part:08x}" for part in range(parts)) for each in range(8)
    ]
    return QuarantineReport(
        [
            ReportedCrash(f"i-{each:012x}", 1_700_000_000_000, 0.25, requests)
            for each in range(count)
        ]
    )


def report(daemons: int, traffic: str, daemon: int = 0) -> PeerReport:
    """Return a report of a daemon.

    :param traffic: key of :data:`TRAFFIC`
    """
    prompts, parts, crashes = TRAFFIC[traffic]
    accounts = {f"account-{number:02d}": 123_456 for number in range(ACCOUNTS)}
    neighbours = daemons if daemons <= MESH_MAX else daemons // ZONES
    return PeerReport(
        name=f"edge-{daemon:03d}",
        incarnation=INCARNATION,
        sequence=70_000,
        configuration_revision=5_000,
        clock_s=1.7e9 + 0.1,
        quota_used=accounts,
        usage={353_445_120 + window: accounts for window in range(WINDOWS)},
        loads={f"i-{each:012x}": (9, 30_000) for each in range(ENGINES_PER_DAEMON * daemons)},
        prefill_tokens={"lm": 10**9, "chat": 10**9},
        prompts=_prompts(daemon, prompts, parts),
        holder=("edge-000", 2**50),
        quota_levels=accounts,
        configuration_age_s=0.123,
        engines_age_s=0.123,
        configuration_era=1,
        engines_era=1,
        read_speeds={"lm": 38_700.0, "chat": 38_700.0},
        quarantine=_crashes(daemon, crashes, parts),
        hears={f"edge-{number:03d}": 70_000 for number in range(neighbours)},
    )


def summary(daemons: int, traffic: str) -> ZoneSummary:
    """Return a summary of a zone; crashes were found by its aggregator alone."""
    own = report(daemons, traffic)
    members = range(daemons // ZONES)
    prompts, parts, _ = TRAFFIC[traffic]
    return ZoneSummary(
        zone="az-1",
        aggregator=own.name,
        incarnation=INCARNATION,
        sequence=70_000,
        members=[(f"edge-{number:03d}", INCARNATION) for number in members],
        configuration_revision=5_000,
        quota_used=own.quota_used,
        loads=own.loads,
        prefill_tokens=own.prefill_tokens,
        prompts=[each for number in members for each in _prompts(number, prompts, parts)],
        quarantine=own.quarantine,
        hears={f"edge-{number:03d}": 70_000 for number in range(ZONES)},
    )


def _size_bytes(message: PeerReport | ZoneSummary) -> int:
    return DIGEST_BYTES + len(msgspec.msgpack.encode(message))


def _packed(message: PeerReport | ZoneSummary, copies: int) -> tuple[int, float]:
    """Return the size of the largest datagram, and of all of a report on average."""
    packer: ReportPacker[PeerReport | ZoneSummary] = ReportPacker()
    sizes = [
        [_size_bytes(piece) for piece in packer.pieces(message, pieces_allowed(copies, REPORT_S))]
        for _ in range(REPORTS)
    ]
    return max(max(each) for each in sizes), sum(map(sum, sizes)) / REPORTS


def rows(daemons: int, traffic: str) -> Iterator[tuple[str, int, float, int, float]]:
    """Yield for each kind of message its name, and sizes in bytes.

    :returns: size of the whole message, and bytes per second of a daemon that sends or forwards it,
        0 if it is not sent; largest datagram, and bytes per second, of the packed one
    """
    neighbours = daemons - 1 if daemons <= MESH_MAX else daemons // ZONES - 1
    messages: list[tuple[str, PeerReport | ZoneSummary, int]] = [
        ("report", report(daemons, traffic), neighbours)
    ]
    if daemons > MESH_MAX:
        copies = (ZONES - 1) * (daemons // ZONES)
        messages.append(("zone", summary(daemons, traffic), copies))
    for name, message, copies in messages:
        whole_bytes = _size_bytes(message)
        whole_per_s = whole_bytes * copies / REPORT_S if whole_bytes <= MAX_UDP_BYTES else 0.0
        largest_bytes, packed_bytes = _packed(message, copies)
        packed_per_s = packed_bytes * copies / REPORT_S
        yield name, whole_bytes, whole_per_s, largest_bytes, packed_per_s


def register(app: typer.Typer) -> None:
    """Add the command `peer-bytes`."""

    @app.command("peer-bytes")
    def run(sizes: str = "7,30,100,195") -> None:
        """Print sizes of reports and summaries, and bytes per second of a daemon."""
        print(
            "| daemons | traffic | message | whole, B | whole, kB/s | datagram, B | packed, kB/s |"
        )
        print("|---|---|---|---|---|---|---|")
        for daemons in map(int, sizes.split(",")):
            for traffic in TRAFFIC:
                for name, whole, whole_per_s, largest, per_s in rows(daemons, traffic):
                    before = f"{whole_per_s / 1e3:,.0f}" if whole_per_s else "not sent"
                    print(
                        f"| {daemons} | {traffic} | {name} | {whole:,} | {before} "
                        f"| {largest:,} | {per_s / 1e3:,.0f} |"
                    )
