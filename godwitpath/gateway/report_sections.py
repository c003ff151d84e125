"""Takes reports and zone summaries apart into items, and puts items together to messages.

An item is what a datagram has whole or not at all: one entry of a section, or one chunk of a
crashed engine's request.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterable, Iterator
from dataclasses import dataclass
from itertools import groupby
from typing import Any, TypeVar

import msgspec

from godwitpath.gateway.peer_messages import PeerReport, ZoneSummary
from godwitpath.gateway.placement import MAX_REPORTED_PARTS
from godwitpath.gateway.quarantine_report import QuarantineReport

Message = TypeVar("Message", bound=PeerReport | ZoneSummary)

STATE_SECTIONS = (
    "leaving",
    "limits",
    "members",
    "usage",
    "quota_used",
    "quota_levels",
    "prefill_tokens",
)
"""Sections that other daemons have to know whole, the most urgent first."""

LOAD_SECTIONS = ("loads", "read_speeds")
"""Sections that make placement better."""

MAX_CHUNK_BYTES = 480
"""Largest size of a chunk of a request's subjects: one fits into half of a datagram."""

NESTED_BYTES = 12
"""Size of the key and the length of a mapping within a section, such as a usage window's."""

_encode = msgspec.msgpack.Encoder().encode


@dataclass(slots=True)
class Item:
    """What a datagram has whole or not at all.

    :ivar section: name of the message's field
    :ivar key: tells the item from others of its section, also in later messages
    :ivar content: key and value of a mapping's entry, or the entry of a list
    :ivar parent: key of the mapping within the section that contains the item, if there is one
    """

    section: str
    key: Hashable
    content: Any
    parent: Hashable = None

    def size_bytes(self) -> int:
        """Return the encoded size, without the parent's key."""
        return len(_encode(self.content))


def state_items(message: PeerReport | ZoneSummary) -> Iterator[Item]:
    """Yield the items that other daemons have to know, the most urgent first."""
    for section in STATE_SECTIONS:
        value = getattr(message, section, None) or {}
        if section == "usage":
            for window, counts in value.items():
                for account, count in counts.items():
                    yield Item(section, (window, account), (account, count), window)
        elif section == "members":
            yield from (Item(section, member, member) for member in value)
        elif section == "limits":
            # A limit that has changed counts as a new one.
            yield from (
                Item(section, (each, limit), (each, limit)) for each, limit in value.items()
            )
        else:
            yield from (Item(section, key, (key, each)) for key, each in value.items())


def hearing_items(message: PeerReport | ZoneSummary) -> Iterator[Item]:
    """Yield the daemons that the sender hears."""
    yield from (Item("hears", name, (name, each)) for name, each in (message.hears or {}).items())


def load_items(message: PeerReport | ZoneSummary) -> Iterator[Item]:
    """Yield the items that make placement better."""
    for section in LOAD_SECTIONS:
        value = getattr(message, section, {})
        yield from (Item(section, key, (key, each)) for key, each in value.items())


def prompt_items(message: PeerReport | ZoneSummary) -> Iterator[Item]:
    """Yield the leading parts of the recently sent prompts, each once, the newest first."""
    seen: set[Hashable] = set()
    for engine_id, all_parts in reversed(message.prompts):
        parts = all_parts[:MAX_REPORTED_PARTS]
        key = (engine_id, tuple(part_id for part_id, _ in parts))
        if key not in seen:
            seen.add(key)
            yield Item("prompts", key, (engine_id, parts))


def quarantine_items(message: PeerReport | ZoneSummary) -> Iterator[Item]:
    """Yield what is reported of crashes and quarantine, which has taken its turns already."""
    if message.quarantine != QuarantineReport():
        yield Item("quarantine", "report", message.quarantine)


def without_items(message: Message) -> Message:
    """Return a message with empty sections."""
    changes: dict[str, Any] = {
        section: [] if section == "members" else {}
        for section in ("hears", *STATE_SECTIONS, *LOAD_SECTIONS)
        if getattr(message, section, None) is not None
    }
    return msgspec.structs.replace(message, **changes, prompts=[], quarantine=QuarantineReport())


def with_items(empty: Message, items: Iterable[Item], **changes: Any) -> Message:
    """Return a message with the items in its sections.

    :param empty: the message with empty sections
    :param changes: values of other fields
    """
    for section, group in groupby(sorted(items, key=_section), key=_section):
        contents = [(item.parent, item.content) for item in group]
        if section == "quarantine":
            [(_, changes[section])] = contents
        elif section in ("members", "prompts"):
            changes[section] = [content for _, content in contents]
        elif section == "usage":
            windows: dict[Any, dict[str, int]] = {}
            for window, (account, count) in contents:
                windows.setdefault(window, {})[account] = count
            changes[section] = windows
        else:
            changes[section] = dict(content for _, content in contents)
    return msgspec.structs.replace(empty, **changes)


def _section(item: Item) -> str:
    return item.section
