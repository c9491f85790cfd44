"""Stand-ins for what a node meets: an agent that speaks discovery's watch, and quote servers.

`python -m scale.real.standins DELAY_MS` serves all loopback addresses at one port, which it prints:
so many listed servers, each with an address of its own, are answered by one process.
"""

from __future__ import annotations

import asyncio
import json
import socket
import sys
from collections import deque
from time import monotonic
from typing import Any, cast

import uvloop

Entry = dict[str, Any]  # of the list, in discovery's form

ZONES = 9
EMPTY = b"1\r\n\n\r\n"  # a line without a change
EMPTY_EVERY = 2.0  # s, as long as nothing changes
HISTORY = 256  # changes that the agent can tell again
ANSWER_BODY = b"q" * 512  # bytes of an answer
DIRECT = "127.0.0.1"  # no listed server has this address: requests to it come past the node
STREAM_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def entry(index: int, port: int, state: str = "Ready") -> Entry:
    """The listed server of this number: an address of its own within 127.0.0.0/8, zones in turn."""
    address = f"127.{10 + (index >> 16)}.{index >> 8 & 255}.{index & 255}:{port}"
    return {
        "id": f"s-{index:08x}",
        "addr": address,
        "zone": f"z{index % ZONES}",
        "kind": "m2",
        "cell": index % ZONES,
        "state": state,
        "weight": 1.0,
        "started_ms": 0,
    }


def list_document(version: int, full: bool, entries: list[Entry]) -> Entry:
    return {"version": version, "full": full, "servers": entries}


def line(document: Entry) -> bytes:
    """One line of a watch, as a chunk; whoever counts bytes counts its framing too."""
    text = json.dumps(document, separators=(",", ":")).encode() + b"\n"
    return b"%x\r\n%s\r\n" % (len(text), text)


class Agent:
    """The list, and the watches that follow it. Counts what it sends, in bytes."""

    def __init__(self, entries: list[Entry], version: int = 1) -> None:
        self.version = version
        self.sent = 0  # bytes
        self.opened: list[float] = []  # monotonic s, of each watch that was answered
        self.watches: set[Watch] = set()
        self._held = {one["id"]: one for one in entries}
        self._history: deque[tuple[int, list[Entry]]] = deque(maxlen=HISTORY)
        self._since = version  # the oldest version from which the history goes on
        self._whole: bytes = b""
        self._server: asyncio.Server | None = None
        self._ticker: asyncio.Task[None] | None = None
        self.address = ("127.0.0.1", 0)

    async def __aenter__(self) -> Agent:
        await self.listen()
        self._ticker = asyncio.create_task(self._tick())
        return self

    async def __aexit__(self, *_: object) -> None:
        if self._ticker is not None:
            self._ticker.cancel()
        self.refuse()

    async def listen(self) -> None:
        """Take watches; after `refuse`, at the same port again."""
        loop = asyncio.get_running_loop()
        own = socket.socket()
        own.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        own.bind(self.address)
        self.address = own.getsockname()
        self._server = await loop.create_server(lambda: Watch(self), sock=own, backlog=1024)

    def drop(self) -> None:
        """All watches end."""
        for watch in list(self.watches):
            watch.abort()

    def refuse(self) -> None:
        """An outage: all watches end, and new ones are refused."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self.drop()

    def entries(self) -> list[Entry]:
        return list(self._held.values())

    async def written(self) -> None:
        """Until all that was told is with the kernel."""
        while any(watch.unsent() for watch in self.watches):
            await asyncio.sleep(0.001)

    def forget(self) -> None:
        """As after a restart of the agent: whoever asks gets the whole list."""
        self._history.clear()
        self._since = self.version = self.version + 1
        self._whole = b""

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(EMPTY_EVERY)
            self._send(EMPTY)

    def _send(self, data: bytes) -> None:
        for watch in self.watches:
            watch.write(data)

    def change(self, entries: list[Entry]) -> int:
        """Tell all watches of changed entries; returns the bytes that each gets."""
        self.version += 1
        for one in entries:
            if one["state"] == "Gone":
                self._held.pop(one["id"], None)
            else:
                self._held[one["id"]] = one
        if len(self._history) == HISTORY:
            self._since = self._history[0][0]
        self._history.append((self.version, entries))
        self._whole = b""
        data = line(list_document(self.version, False, entries))
        self._send(data)
        return len(data)

    def push_whole(self) -> int:
        """Tell all watches the whole list; returns the bytes that each gets."""
        data = self.whole()
        self._send(data)
        return len(data)

    def whole(self) -> bytes:
        if not self._whole:
            self._whole = line(list_document(self.version, True, list(self._held.values())))
        return self._whole

    def first(self, since: int) -> bytes:
        """The first line of a watch from this version on."""
        if not self._since <= since <= self.version:
            return self.whole()
        changed = {one["id"]: one for version, entries in self._history if version > since for one in entries}
        return line(list_document(self.version, False, list(changed.values())))


class Watch(asyncio.Protocol):
    """One node's watch, or a connection that is to become one."""

    def __init__(self, agent: Agent) -> None:
        self._agent = agent
        self._transport: asyncio.Transport | None = None
        self._rest = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's is no subclass

    def data_received(self, data: bytes) -> None:
        self._rest += data
        head, end, _ = self._rest.partition(b"\r\n\r\n")
        if not end or self in self._agent.watches:
            return
        target = head.split(b" ", 2)[1]
        if not target.startswith(b"/discovery/hosts?watch=1&from="):
            self.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
            return
        self._agent.opened.append(monotonic())
        self.write(STREAM_HEAD + self._agent.first(int(target.rpartition(b"=")[2])))
        self._agent.watches.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._agent.watches.discard(self)
        self._transport = None

    def write(self, data: bytes) -> None:
        if self._transport is not None:
            self._agent.sent += len(data)
            self._transport.write(data)

    def unsent(self) -> int:
        return self._transport.get_write_buffer_size() if self._transport is not None else 0

    def abort(self) -> None:
        self._agent.watches.discard(self)
        if self._transport is not None:
            self._transport.abort()


class Counts:
    """What the listed stand-in servers of one process have seen together."""

    def __init__(self, delay: float) -> None:
        self.delay = delay  # s of service
        self.accepted = 0
        self.open = 0
        self.requests = 0
        self.addresses: set[str] = set()  # at which a request came

    def document(self) -> dict[str, float]:
        return vars(self) | {"addresses": len(self.addresses)}


class Service(asyncio.Protocol):
    """One connection to a stand-in server; each request is answered after the same time."""

    def __init__(self, counts: Counts) -> None:
        self._counts = counts
        self._transport: asyncio.Transport | None = None
        self._rest = b""
        self._listed = False
        self._address = ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        if not transport.get_extra_info("peername")[0].startswith("127."):
            self._transport.abort()  # the socket listens on all addresses so that it has all of loopback
            return
        self._address = transport.get_extra_info("sockname")[0]
        self._listed = self._address != DIRECT
        self._counts.accepted += self._listed
        self._counts.open += self._listed

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._counts.open -= self._listed

    def data_received(self, data: bytes) -> None:
        self._rest += data
        while True:
            head, end, body = self._rest.partition(b"\r\n\r\n")
            length = content_length(head) if end else 0
            if not end or len(body) < length:
                return
            self._rest = body[length:]
            self._serve(head)

    def _serve(self, head: bytes) -> None:
        target = head.split(b" ", 2)[1]
        if target == b"/api":
            if self._listed:
                self._counts.requests += 1
                self._counts.addresses.add(self._address)
            self._answer_at(monotonic() + self._counts.delay)
        elif target == b"/counts":
            self._answer(json.dumps(self._counts.document()).encode())
        else:
            self._answer(b"", b"404 Not Found")

    def _answer_at(self, due: float) -> None:
        """Never sooner: the loop counts in whole milliseconds, from a time that it reads once a turn."""
        left = due - monotonic()
        if left > 0:
            asyncio.get_running_loop().call_later(max(left, 0.001), self._answer_at, due)
        else:
            self._answer(ANSWER_BODY)

    def _answer(self, body: bytes, status: bytes = b"200 OK") -> None:
        if self._transport is not None:
            self._transport.write(b"HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body))


def content_length(head: bytes) -> int:
    """Bytes of the body that follows this head."""
    for field in head.split(b"\r\n")[1:]:
        name, _, value = field.partition(b":")
        if name.lower() == b"content-length":
            return int(value)
    return 0


async def serve(delay: float) -> None:
    """Stand-in servers until standard input ends; prints the port."""
    loop = asyncio.get_running_loop()
    counts = Counts(delay)
    server = await loop.create_server(lambda: Service(counts), "0.0.0.0", 0, backlog=1024)
    print(server.sockets[0].getsockname()[1], flush=True)
    await loop.run_in_executor(None, sys.stdin.read)  # ends with whoever started this
    server.close()


if __name__ == "__main__":
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(serve(float(sys.argv[1]) / 1000))
