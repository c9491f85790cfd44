"""Stand-ins for a node's peers: a discovery agent that serves watches, and quote servers.

`python -m scale.real.standins DELAY_MS` listens on one port of all loopback addresses, and prints the port.
So one process answers for many listed servers, each of which has an address of its own. A request is
answered after DELAY_MS milliseconds.
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

Entry = dict[str, Any]
"""An entry of the endpoint list, or an update of the list, in the form that discovery sends."""

ZONE_COUNT = 9
EMPTY_LINE_CHUNK = b"1\r\n\n\r\n"
"""A watch's line without a change, as a chunk."""
EMPTY_LINE_INTERVAL_SECONDS = 2.0  # between two empty lines, whether or not the list changes meanwhile
MAX_HISTORY_COUNT = 256  # changes that the agent keeps for watches that reconnect
RESPONSE_BODY = b"q" * 512
DIRECT_ADDRESS = "127.0.0.1"
"""No listed server has this address, so requests to it were not forwarded by a node."""
WATCH_RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def entry(index: int, port: int, state: str = "Ready") -> Entry:
    """Return the entry of a server by its number.

    Numbers below 246 * 2**16 have distinct addresses within 127.0.0.0/8; zones are assigned round robin.
    """
    address = f"127.{10 + (index >> 16)}.{index >> 8 & 255}.{index & 255}:{port}"
    return {
        "id": f"s-{index:08x}",
        "addr": address,
        "zone": f"z{index % ZONE_COUNT}",
        "kind": "m2",
        "cell": index % ZONE_COUNT,
        "state": state,
        "weight": 1.0,
        "started_ms": 0,
    }


def update_document(version: int, full: bool, entries: list[Entry]) -> Entry:
    """Return an update of the endpoint list, a snapshot if `full` and a delta otherwise."""
    return {"version": version, "full": full, "servers": entries}


def encode_chunk(document: Entry) -> bytes:
    """Return an update as one line of a watch, framed as a chunk; byte counts include the framing."""
    body_line = json.dumps(document, separators=(",", ":")).encode() + b"\n"
    return b"%x\r\n%s\r\n" % (len(body_line), body_line)


class Agent:
    """A discovery agent that holds an endpoint list, and pushes its changes to all watches.

    It listens within an `async with` block.
    """

    def __init__(self, entries: list[Entry], version: int = 1) -> None:
        self.version = version
        self.sent_bytes = 0  # on all watches
        self.watch_opened_at: list[float] = []  # of each accepted watch, in seconds of the monotonic clock
        self.watches: set[Watch] = set()
        self._entries = {listed["id"]: listed for listed in entries}
        self._history: deque[tuple[int, list[Entry]]] = deque(maxlen=MAX_HISTORY_COUNT)
        self._oldest_version = version  # the oldest version from which a delta can be built
        self._snapshot: bytes = b""
        self._server: asyncio.Server | None = None
        self._ticker: asyncio.Task[None] | None = None
        self.address = ("127.0.0.1", 0)

    async def __aenter__(self) -> Agent:
        await self.listen()
        self._ticker = asyncio.create_task(self._send_empty_lines())
        return self

    async def __aexit__(self, *_: object) -> None:
        if self._ticker is not None:
            self._ticker.cancel()
        self.start_outage()

    async def listen(self) -> None:
        """Accept watches; after `start_outage`, at the same port again."""
        loop = asyncio.get_running_loop()
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(self.address)
        self.address = listener.getsockname()
        self._server = await loop.create_server(lambda: Watch(self), sock=listener, backlog=1024)

    def drop_watches(self) -> None:
        """Abort all watches."""
        for watch in list(self.watches):
            watch.abort()

    def start_outage(self) -> None:
        """Abort all watches, and refuse connections until `listen` is called."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self.drop_watches()

    def entries(self) -> list[Entry]:
        """Return the current entries of the list."""
        return list(self._entries.values())

    async def wait_until_written(self) -> None:
        """Wait until the kernel has accepted all bytes that were sent."""
        while any(watch.unsent_bytes() for watch in self.watches):
            await asyncio.sleep(0.001)

    def clear_history(self) -> None:
        """Discard the changes, as a restart of the agent does: each new watch gets a snapshot first."""
        self._history.clear()
        self._oldest_version = self.version = self.version + 1
        self._snapshot = b""

    async def _send_empty_lines(self) -> None:
        while True:
            await asyncio.sleep(EMPTY_LINE_INTERVAL_SECONDS)
            self._send(EMPTY_LINE_CHUNK)

    def _send(self, data: bytes) -> None:
        for watch in self.watches:
            watch.write(data)

    def push_change(self, entries: list[Entry]) -> int:
        """Apply changed entries and push them to all watches; return the bytes that each watch gets.

        An entry in the state `Gone` is removed from the list.
        """
        self.version += 1
        for listed in entries:
            if listed["state"] == "Gone":
                self._entries.pop(listed["id"], None)
            else:
                self._entries[listed["id"]] = listed
        if len(self._history) == MAX_HISTORY_COUNT:
            self._oldest_version = self._history[0][0]
        self._history.append((self.version, entries))
        self._snapshot = b""
        data = encode_chunk(update_document(self.version, False, entries))
        self._send(data)
        return len(data)

    def push_snapshot(self) -> int:
        """Push a snapshot to all watches; return the bytes that each watch gets."""
        data = self.snapshot_chunk()
        self._send(data)
        return len(data)

    def snapshot_chunk(self) -> bytes:
        """Return the complete list as a chunk."""
        if not self._snapshot:
            self._snapshot = encode_chunk(update_document(self.version, True, list(self._entries.values())))
        return self._snapshot

    def first_chunk(self, since_version: int) -> bytes:
        """Return the first line of a watch of a node that has a version of the list.

        It is a delta if the agent knows that version and still has all later changes; otherwise it is a
        snapshot.
        """
        if not self._oldest_version <= since_version <= self.version:
            return self.snapshot_chunk()
        changed = {
            listed["id"]: listed
            for version, entries in self._history
            if version > since_version
            for listed in entries
        }
        return encode_chunk(update_document(self.version, False, list(changed.values())))


class Watch(asyncio.Protocol):
    """A connection to the agent; it becomes a watch once its request was accepted."""

    def __init__(self, agent: Agent) -> None:
        self._agent = agent
        self._transport: asyncio.Transport | None = None
        self._buffer = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport of the connection."""
        self._transport = cast(asyncio.Transport, transport)  # uvloop's class is not a subclass of it

    def data_received(self, data: bytes) -> None:
        """Answer the request for a watch, and any other request with 404."""
        self._buffer += data
        head, end, _ = self._buffer.partition(b"\r\n\r\n")
        if not end or self in self._agent.watches:
            return
        target = head.split(b" ", 2)[1]
        if not target.startswith(b"/discovery/hosts?watch=1&from="):
            self.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
            return
        self._agent.watch_opened_at.append(monotonic())
        self.write(WATCH_RESPONSE_HEAD + self._agent.first_chunk(int(target.rpartition(b"=")[2])))
        self._agent.watches.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the watch from the agent's watches."""
        self._agent.watches.discard(self)
        self._transport = None

    def write(self, data: bytes) -> None:
        """Send bytes and count them, unless the connection is closed."""
        if self._transport is not None:
            self._agent.sent_bytes += len(data)
            self._transport.write(data)

    def unsent_bytes(self) -> int:
        """Return how many bytes wait to be accepted by the kernel."""
        return self._transport.get_write_buffer_size() if self._transport is not None else 0

    def abort(self) -> None:
        """Abort the connection, and remove the watch from the agent's watches."""
        self._agent.watches.discard(self)
        if self._transport is not None:
            self._transport.abort()


class Counts:
    """Counters of all listed stand-in servers of one process; requests to `DIRECT_ADDRESS` don't count.

    The attributes are keys of the message that `/counts` returns.
    """

    def __init__(self, delay: float) -> None:
        self.delay = delay  # service time of a request in seconds
        self.accepted = 0  # connections
        self.open = 0  # connections
        self.requests = 0
        self.addresses: set[str] = set()  # that received a request

    def document(self) -> dict[str, float]:
        """Return the message that `/counts` returns, with the number of addresses."""
        return vars(self) | {"addresses": len(self.addresses)}


class ServerConnection(asyncio.Protocol):
    """A connection to a stand-in server, which answers each request after the same service time."""

    def __init__(self, counts: Counts) -> None:
        self._counts = counts
        self._transport: asyncio.Transport | None = None
        self._buffer = b""
        self._listed = False
        self._address = ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection if it is to a listed server.

        The socket listens on all addresses of the machine in order to cover all loopback addresses, so a
        connection from elsewhere is aborted.
        """
        self._transport = cast(asyncio.Transport, transport)
        if not transport.get_extra_info("peername")[0].startswith("127."):
            self._transport.abort()
            return
        self._address = transport.get_extra_info("sockname")[0]
        self._listed = self._address != DIRECT_ADDRESS
        self._counts.accepted += self._listed
        self._counts.open += self._listed

    def connection_lost(self, exc: Exception | None) -> None:
        """Count the connection as closed."""
        self._transport = None
        self._counts.open -= self._listed

    def data_received(self, data: bytes) -> None:
        """Answer each request whose body has arrived."""
        self._buffer += data
        while True:
            head, end, body = self._buffer.partition(b"\r\n\r\n")
            length = content_length(head) if end else 0
            if not end or len(body) < length:
                return
            self._buffer = body[length:]
            self._handle_request(head)

    def _handle_request(self, head: bytes) -> None:
        target = head.split(b" ", 2)[1]
        if target == b"/api":
            if self._listed:
                self._counts.requests += 1
                self._counts.addresses.add(self._address)
            self._respond_at(monotonic() + self._counts.delay)
        elif target == b"/counts":
            self._respond(json.dumps(self._counts.document()).encode())
        else:
            self._respond(b"", b"404 Not Found")

    def _respond_at(self, due: float) -> None:
        """Respond at a time of the monotonic clock in seconds, and never earlier.

        The event loop rounds timers to milliseconds, from a clock that it reads once an iteration, so a timer
        may fire early; the method then waits again.
        """
        remaining_seconds = due - monotonic()
        if remaining_seconds > 0:
            asyncio.get_running_loop().call_later(max(remaining_seconds, 0.001), self._respond_at, due)
        else:
            self._respond(RESPONSE_BODY)

    def _respond(self, body: bytes, status: bytes = b"200 OK") -> None:
        if self._transport is not None:
            self._transport.write(b"HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body))


def content_length(head: bytes) -> int:
    """Return the Content-Length of a request or response head in bytes; 0 without that header."""
    for field in head.split(b"\r\n")[1:]:
        name, _, value = field.partition(b":")
        if name.lower() == b"content-length":
            return int(value)
    return 0


async def serve(delay: float) -> None:
    """Print the port, and run the stand-in servers until standard input ends; `delay` is in seconds."""
    loop = asyncio.get_running_loop()
    counts = Counts(delay)
    server = await loop.create_server(lambda: ServerConnection(counts), "0.0.0.0", 0, backlog=1024)
    print(server.sockets[0].getsockname()[1], flush=True)
    await loop.run_in_executor(None, sys.stdin.read)  # returns when the parent process exits or closes it
    server.close()


if __name__ == "__main__":
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(serve(float(sys.argv[1]) / 1000))
