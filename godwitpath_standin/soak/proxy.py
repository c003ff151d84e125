"""Loopback proxy that delays, blocks or resets the connections that it forwards."""

from __future__ import annotations

import asyncio
import socket
from enum import StrEnum

from godwitpath.http1.resets import reset
from godwitpath.ports.engine import Address

CHUNK_BYTES = 65_536


class Way(StrEnum):
    """Direction of traffic on a connection, from the client to the server (up) or back (down)."""

    UP = "up"
    DOWN = "down"


class LoopbackProxy:
    """Forwards the connections of one address to another.

    Bytes in a blocked direction are delivered after the block ends, as over a network that
    retransmits lost packets.

    :ivar address: address on which the proxy listens
    :ivar delay_s: delay of each chunk
    """

    __slots__ = (
        "_direction_open",
        "_kept_port",
        "_server",
        "_target",
        "_tasks",
        "_writers",
        "address",
        "delay_s",
    )

    def __init__(self, target: Address) -> None:
        self.address = Address("127.0.0.1", 0)
        self.delay_s = 0.0
        self._target = target
        self._direction_open = {way: asyncio.Event() for way in Way}
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self._kept_port: socket.socket | None = None
        self.clear_faults()

    async def start(self) -> Address:
        """Listen and return the address."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        socket_name = self._server.sockets[0].getsockname()
        self.address = Address(socket_name[0], socket_name[1])
        return self.address

    def hold(self, *ways: Way) -> None:
        """Block some directions; connections stay open."""
        for way in ways:
            self._direction_open[way].clear()

    def clear_faults(self) -> None:
        """End every block and delay."""
        self.delay_s = 0.0
        for direction_open in self._direction_open.values():
            direction_open.set()

    def reset(self) -> None:
        """Reset every open connection at both ends."""
        for writer in list(self._writers):
            reset(writer.transport)

    async def stop(self, *, keep_port: bool = False) -> None:
        """Stop listening and reset every open connection.

        :param keep_port: whether the port refuses connections until the proxy is stopped again,
            rather than being free for another program, which would get requests meant for this one
        """
        if self._kept_port is not None:
            self._kept_port.close()
            self._kept_port = None
        if self._server is not None:
            self._server.close()
        self.reset()
        if keep_port:
            self._kept_port = socket.socket()
            self._kept_port.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._kept_port.bind((self.address.host, self.address.port))
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.create_task(self._serve(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        upstream_writer: asyncio.StreamWriter | None = None
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(
                self._target.host, self._target.port
            )
            self._writers.add(upstream_writer)
            async with asyncio.TaskGroup() as group:
                group.create_task(self._forward(Way.UP, reader, upstream_writer))
                group.create_task(self._forward(Way.DOWN, upstream_reader, writer))
        except* OSError:
            # One end failed or closed; both ends are reset below.
            pass
        finally:
            for end in (writer, upstream_writer):
                if end is not None:
                    self._writers.discard(end)
                    reset(end.transport)

    async def _forward(
        self, way: Way, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while chunk := await reader.read(CHUNK_BYTES):
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            await self._direction_open[way].wait()
            writer.write(chunk)
            await writer.drain()
        await self._direction_open[way].wait()
        if way is Way.UP:
            # The client has closed the connection, so the rest of the response has no reader.
            raise ConnectionAbortedError
        writer.close()
