"""A stand-in for a discovery service that takes its time, for tests."""

from __future__ import annotations

import asyncio
import json
from contextlib import suppress

from rig import Server, read_message

WATCH_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
PIECE_COUNT = 20  # pieces in which a slow head or list is sent
HEARTBEAT_SECONDS = 2.0  # period of the empty lines of a watch


class SlowDiscovery:
    """Answers each watch late with the complete list, and keeps working on watches that were closed.

    It listens while the block is active.
    """

    def __init__(self, *servers: Server, wait: float = 0.0, head: float = 0.0, body: float = 0.0) -> None:
        """Answer after `wait`, with a head that takes `head` and a list that takes `body`, in seconds."""
        self.servers = servers
        self.wait_seconds = wait
        self.head_seconds = head
        self.body_seconds = body
        self.stalls = False  # sends a part of the list only
        self.is_silent = False  # accepts watches, and never answers those that begin meanwhile
        self.version = 41
        self.calls = 0
        self.open = 0  # connections that the node has not closed
        self.max_open = 0
        self.address = ""
        self._watches: set[asyncio.StreamWriter] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def __aenter__(self) -> SlowDiscovery:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self

    async def __aexit__(self, *_: object) -> None:
        assert self._server is not None
        self._server.close()
        self.cut()

    def cut(self) -> None:
        """Abort all connections."""
        for writer in self._writers:
            writer.transport.abort()

    async def change(self, *servers: Server, seconds: float = 0.0) -> None:
        """Send the entries of changed servers, in a time, on all watches that have their list."""
        self.version += 1
        update = self._chunk(servers, full=False)
        watches = tuple(self._watches)
        self._watches.clear()  # no empty line within an update
        await asyncio.gather(*(self._send(writer, update, seconds) for writer in watches))
        self._watches.update(watches)

    def _chunk(self, servers: tuple[Server, ...], full: bool) -> bytes:
        entries = [server.entry() for server in servers]
        text = json.dumps({"version": self.version, "full": full, "servers": entries}).encode() + b"\n"
        return b"%x\r\n%s\r\n" % (len(text), text)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.calls += 1
        self.open += 1
        self.max_open = max(self.max_open, self.open)
        self._writers.add(writer)
        with suppress(asyncio.IncompleteReadError, OSError):
            await read_message(reader)
            answer = asyncio.create_task(self._answer(writer))
            with suppress(OSError):
                await reader.read()  # until the node closes or resets the connection
            self.open -= 1
            await answer
        self._writers.discard(writer)
        self._watches.discard(writer)
        writer.close()

    async def _answer(self, writer: asyncio.StreamWriter) -> None:
        if self.is_silent:
            return
        update = self._chunk(self.servers, full=True)  # as of the call
        await asyncio.sleep(self.wait_seconds)
        await self._send(writer, WATCH_HEAD, self.head_seconds)
        if self.stalls:
            writer.write(update[: len(update) // 2])
            return
        await self._send(writer, update, self.body_seconds)
        self._watches.add(writer)
        while not writer.is_closing():
            await asyncio.sleep(HEARTBEAT_SECONDS)
            if writer in self._watches:
                writer.write(b"1\r\n\n\r\n")

    async def _send(self, writer: asyncio.StreamWriter, data: bytes, seconds: float) -> None:
        """Send data in pieces, spread over a time."""
        if not seconds:
            writer.write(data)
            return
        piece_bytes = -(-len(data) // PIECE_COUNT)
        for begin in range(0, len(data), piece_bytes):
            await asyncio.sleep(seconds / PIECE_COUNT)
            writer.write(data[begin : begin + piece_bytes])
