"""Decodes the entries of engines, and logs those that name no engine to use."""

from __future__ import annotations

from typing import Protocol

from godwitpath.decoding import Unreadable
from godwitpath.gateway.engines import EngineEntry
from godwitpath.gateway.model import Configuration
from godwitpath.gateway.unreadable import UnreadableValues


class StoreSchema(Protocol):
    """Keys and value formats of the platform's store.

    :ivar configuration_key: key of the configuration
    :ivar configuration_prefix: prefix under which changes of the configuration are watched
    :ivar engines_prefix: prefix of the keys of the engines' entries; the engine's id follows it
    """

    configuration_key: str
    configuration_prefix: str
    engines_prefix: str

    def decode_configuration(self, value: bytes, revision: int) -> Configuration:
        """Decode the value of the configuration's key.

        :param revision: store revision of the value
        :raises GodwitpathError: the value is damaged
        """

    def decode_entry(self, key: str, value: bytes) -> EngineEntry:
        """Decode the value of an engine's key.

        :raises Unreadable: it names no engine to use
        """


class EntryReader:
    """Decodes the entries of engines, which any writer may have left.

    :ivar unreadable: the entries that name no engine to use
    """

    def __init__(self, schema: StoreSchema) -> None:
        self.unreadable = UnreadableValues("engine_entry_damaged")
        self._schema = schema

    def read(self, key: str, value: bytes, revision: int, source: str) -> EngineEntry | None:
        """Return the engine of an entry, None if it names no engine to use.

        :param revision: store revision of the value, or of a peer's view that contains it
        :param source: the store or the name of that peer, for the log
        """
        try:
            entry = self._schema.decode_entry(key, value)
        except Unreadable as error:
            self.unreadable.note(key, str(error), revision=revision, source=source)
            return None
        self.unreadable.forget(key)
        return entry
