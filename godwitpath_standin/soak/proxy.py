"""A loopback proxy by which connections are delayed, held in one direction or both, or reset."""

from __future__ import annotations

import asyncio
import socket
from enum import StrEnum

from godwitpath.http1.server import RESET_ON_CLOSE
from godwitpath.ports.engine import Address

PIECE_BYTES = 65_536


class Way(StrEnum):
    """A direction of a connection, seen from who opened it."""

    UP = "up"
    DOWN = "down"


class LoopbackProxy:
    """Forwards the connections of one address to another.

    What is held goes on once the direction is open again, as over a network that repeats lost
    packets.

    :ivar delay_s: time by which each piece is late
    """

    __slots__ = ("_gates", "_server", "_target", "_tasks", "_writers", "address", "delay_s")

    def __init__(self, target: Address) -> None:
        self.address = Address("127.0.0.1", 0)
        self.delay_s = 0.0
        self._target = target
        self._gates = {way: asyncio.Event() for way in Way}
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self.heal()

    async def start(self) -> Address:
        """Listen; returns where."""
        self._server = await asyncio.start_server(self._opened, "127.0.0.1", 0)
        name = self._server.sockets[0].getsockname()
        self.address = Address(name[0], name[1])
        return self.address

    def hold(self, *ways: Way) -> None:
        """Let nothing pass in some directions; connections stay open."""
        for way in ways:
            self._gates[way].clear()

    def heal(self) -> None:
        """Let everything pass at once again."""
        self.delay_s = 0.0
        for gate in self._gates.values():
            gate.set()

    def reset(self) -> None:
        """Reset every connection at both ends."""
        for writer in list(self._writers):
            _reset(writer)

    async def stop(self) -> None:
        """Stop listening and reset what is open."""
        if self._server is not None:
            self._server.close()
        self.reset()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _opened(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.create_task(self._serve(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        upstream: asyncio.StreamWriter | None = None
        try:
            up_reader, upstream = await asyncio.open_connection(
                self._target.host, self._target.port
            )
            self._writers.add(upstream)
            async with asyncio.TaskGroup() as group:
                group.create_task(self._forward(Way.UP, reader, upstream))
                group.create_task(self._forward(Way.DOWN, up_reader, writer))
        except* OSError:
            # One end broke or left; the other one is told so below.
            pass
        finally:
            for each in (writer, upstream):
                if each is not None:
                    self._writers.discard(each)
                    _reset(each)

    async def _forward(
        self, way: Way, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while piece := await reader.read(PIECE_BYTES):
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            await self._gates[way].wait()
            writer.write(piece)
            await writer.drain()
        await self._gates[way].wait()
        if way is Way.UP:
            # Whoever opened the connection has left: nothing of the answer is of use any more.
            raise ConnectionAbortedError
        writer.close()


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()
