"""A real node on loopback sockets for tests, with scripted servers, a discovery agent and clients."""

from __future__ import annotations

import asyncio
import copy
import json
import socket
from collections.abc import Awaitable, Callable, Coroutine
from contextlib import AsyncExitStack
from itertools import count
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any, NamedTuple

import uvloop

from moleport.config.node_config import Config, load
from moleport.node.dispatcher import Dispatcher
from moleport.node.graceful_shutdown import ShutdownPlan, shut_down
from moleport.node.listener import Listener
from moleport.node.node_factory import build_node
from moleport.node.request import RESPONSE_TRANSIT_NS
from moleport.policy import interface as api

TEST_TIMEOUT_SECONDS = 20.0  # timeout in seconds, which only a failing test reaches


def run(test: Coroutine[Any, Any, None]) -> None:
    """Run a test on the event loop that the node uses; raises TimeoutError."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(asyncio.wait_for(test, TEST_TIMEOUT_SECONDS * 2))


async def until(condition: Callable[[], object]) -> None:
    """Poll until a condition is true; raises TimeoutError."""
    async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
        while not condition():
            await asyncio.sleep(0.002)


class LoopLag:
    """Measures the longest delay of the event loop's timers while the block is active."""

    PERIOD_SECONDS = 0.002

    def __init__(self) -> None:
        self.longest_s = 0.0

    async def __aenter__(self) -> LoopLag:
        self._task = asyncio.create_task(self._measure())
        return self

    async def __aexit__(self, *_: object) -> None:
        self._task.cancel()

    async def _measure(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due_at = loop.time() + self.PERIOD_SECONDS
            await asyncio.sleep(self.PERIOD_SECONDS)
            self.longest_s = max(self.longest_s, loop.time() - due_at)

    def results_of_an_expired_attempt(self) -> list[list[api.AttemptResult]]:
        """Return the results that the policy may see of one attempt without a response.

        An attempt expires RESPONSE_TRANSIT_NS before its client's deadline. Only an event loop whose delay is
        longer than that finds both due at once, and may answer the client first.
        """
        transit_s = RESPONSE_TRANSIT_NS / 1e9
        if self.longest_s < transit_s - self.PERIOD_SECONDS:
            return [[api.AttemptResult.TIMEOUT]]
        return [[api.AttemptResult.TIMEOUT], [api.AttemptResult.CANCELLED]]


class Message(NamedTuple):
    """A request or response: `first` is its first line, and header names are in lower case."""

    first: str
    headers: dict[str, str]
    body: bytes


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a message with a Content-Length or without a body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    first, *lines = head.rstrip().split("\r\n")
    headers = {name.lower(): value for name, value in (line.split(": ", 1) for line in lines)}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(first, headers, body)


def answer(status: int = 200, body: bytes = b"frame", **headers: str) -> bytes:
    """Return a response; an underscore in a header name stands for a hyphen."""
    lines = "".join(f"{name.replace('_', '-')}: {value}\r\n" for name, value in headers.items())
    return f"HTTP/1.1 {status} X\r\n{lines}Content-Length: {len(body)}\r\n\r\n".encode() + body


Script = Callable[[Message, asyncio.StreamWriter], Awaitable[None]]
"""Handles a request that a server received, and writes the response."""


async def respond_ok(_: Message, writer: asyncio.StreamWriter) -> None:
    """Answer 200 to each request."""
    writer.write(answer())


def respond_with(data: bytes, close: bool = False, abort: bool = False) -> Script:
    """Return a script that sends the data, and then closes or resets the connection."""

    async def script(_: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(data)
        await writer.drain()
        if close:
            writer.close()
        if abort:
            reset(writer)

    return script


def respond_when(release: asyncio.Event, data: bytes = answer()) -> Script:
    """Return a script that sends the data once `release` is set."""

    async def script(_: Message, writer: asyncio.StreamWriter) -> None:
        await release.wait()
        writer.write(data)

    return script


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection; without SO_LINGER an abort closes it in order if no received data is unread."""
    connection_socket = writer.get_extra_info("socket")
    connection_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
    writer.transport.abort()


async def never_respond(_: Message, __: asyncio.StreamWriter) -> None:
    """Send nothing."""


class Server:
    """A server that handles each request with its script; it listens while the block is active."""

    def __init__(self, name: str, script: Script = respond_ok) -> None:
        self.name = name
        self.script = script
        self.seen: list[Message] = []  # received requests
        self.connections = 0  # accepted so far
        self.open = 0  # connections
        self.state = "Ready"
        self.started_ms = 0
        self.address = ""
        self._server: asyncio.Server | None = None

    async def __aenter__(self) -> Server:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 20)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self

    async def __aexit__(self, *_: object) -> None:
        self.stop()

    def stop(self) -> None:
        """Stop listening; connections stay open."""
        if self._server is not None:
            self._server.close()
            self._server = None

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self.open += 1
        try:
            while True:
                message = await read_message(reader)
                self.seen.append(message)
                await self.script(message, writer)
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self.open -= 1
            writer.close()

    def entry(self) -> dict[str, Any]:
        """Return the server's entry in an endpoint list."""
        return {
            "id": self.name,
            "addr": self.address,
            "zone": "room",
            "kind": "box",
            "cell": 0,
            "state": self.state,
            "weight": 1.0,
            "started_ms": self.started_ms,
        }


class Discovery:
    """A discovery agent that accepts watches and keeps them open; it listens while the block is active."""

    def __init__(self) -> None:
        self.targets: list[str] = []  # request lines of the watches
        self.reply = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        self.address = ""
        self._writers: list[asyncio.StreamWriter] = []
        self._server: asyncio.Server | None = None

    async def __aenter__(self) -> Discovery:
        await self.listen()
        return self

    async def listen(self) -> None:
        """Listen at a free address, or again at the earlier one."""
        _, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", int(port or 0))
        host, port_number = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port_number}"

    async def refuse(self) -> None:
        """Refuse connections until `listen` is called again."""
        assert self._server is not None
        self._server.close()
        await self._server.wait_closed()

    async def __aexit__(self, *_: object) -> None:
        assert self._server is not None
        self._server.close()
        self.drop()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        message = await read_message(reader)
        writer.write(self.reply)
        self._writers.append(writer)
        self.targets.append(message.first)
        await reader.read()

    def is_watched(self) -> bool:
        """Return whether the newest watch is open, as far as this side knows."""
        return not self._writers[-1].transport.is_closing()

    def push_raw(self, data: bytes) -> None:
        """Send bytes on the newest watch."""
        self._writers[-1].write(data)

    def push_bytes(self, data: bytes) -> None:
        """Send one chunk on the newest watch."""
        self._writers[-1].write(b"%x\r\n%s\r\n" % (len(data), data))

    def push(self, version: int, *servers: Server, full: bool = False) -> None:
        """Send an endpoint list update on the newest watch."""
        entries = [server.entry() for server in servers]
        self.push_bytes(json.dumps({"version": version, "full": full, "servers": entries}).encode() + b"\n")

    def drop(self) -> None:
        """Abort all watches."""
        for writer in self._writers:
            writer.transport.abort()
        self._writers.clear()


def request_class(
    name: str, semantics: str, deadline_ms: int = 10_000, aim_ms: int = 10_000
) -> dict[str, Any]:
    """Return a request class as the configuration file writes it."""
    return {
        "Aim": aim_ms * 10**6,
        "Deadline": deadline_ms * 10**6,
        "Group": "all",
        "LateShare": 0.0,
        "MemorySpan": 5 * 10**9,
        "Name": name,
        "Semantics": semantics,
        "Stream": False,
        "Worth": 1.0,
    }


SETTINGS: dict[str, Any] = {
    "Contract": {"AskWithin": 10**10, "Cold": 10**9, "ColdShare": 0.5, "StopSendingWithin": 5 * 10**8},
    "Feedback": {"Fields": ["load_share", "depth"], "How": "answers"},
    "Grades": [request_class("page", "repeatable"), request_class("order", "once")],
    "Kinds": ["box"],
    "Zones": ["room"],
    "Tenants": [],
    "MembershipMode": "on_request",
    "Limits": {
        "DialTimeout": 5 * 10**9,
        "IdleClose": 30 * 10**9,
        "MaxRetryAfter": 1_500_000_000,
        "OpenCap": 20000,
        "RetryAfter": True,
        "SendCap": 5,
    },
    "PeersTotal": 1,
    "WorthBy": "request",
}


def configuration(*servers: Server, discovery: str = "127.0.0.1:9", **limits: Any) -> dict[str, Any]:
    """Return a node's configuration document; `limits` replace entries of `Limits` in SETTINGS."""
    settings = copy.deepcopy(SETTINGS)
    settings["Limits"].update(limits)
    return {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": discovery,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": settings,
        "known": {"version": 7, "full": True, "servers": [server.entry() for server in servers]},
    }


class Spy:
    """Wraps a node's balancer and records its events; `replace_actions` may replace its actions."""

    def __init__(self, node: Dispatcher) -> None:
        self.events: list[api.Event] = []
        self.replace_actions: Callable[[api.Event], list[api.Action] | None] = lambda event: None
        self._balancer = node._balancer
        node._balancer = self  # type: ignore[assignment]

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        """Record an event; return the actions of `replace_actions`, or the balancer's if it returns None."""
        self.events.append(event)
        actions = self.replace_actions(event)
        return self._balancer.handle(now, event) if actions is None else actions

    def attempts_in_flight(self) -> int:
        """Return the number of attempts in flight as the balancer counts it."""
        return self._balancer.attempts_in_flight()

    def outcomes(self) -> list[api.AttemptOutcome]:
        """Return the recorded outcomes of attempts."""
        return [event for event in self.events if isinstance(event, api.AttemptOutcome)]

    def endpoint_updates(self, kind: api.EndpointUpdateKind) -> list[api.EndpointUpdate]:
        """Return the recorded endpoint list updates of a kind."""
        return [
            event for event in self.events if isinstance(event, api.EndpointUpdate) and event.kind is kind
        ]


class Rig:
    """A node in the process of the test."""

    def __init__(self, document: dict[str, Any]) -> None:
        self._document = document
        self._stack = AsyncExitStack()
        self.config: Config
        self.node: Dispatcher
        self.listener: Listener
        self.spy: Spy
        self.address: tuple[str, int]

    async def __aenter__(self) -> Rig:
        with TemporaryDirectory() as folder:
            path = Path(folder, "config.json")
            path.write_text(json.dumps(self._document))
            self.config = load({"BALANCER_CONFIG": str(path)})
        self.node, self.listener = build_node(self.config)
        self.spy = Spy(self.node)
        self.node._balancer.start = self.spy._balancer.start  # type: ignore[method-assign]
        self.address = self.listener.listen()
        self.node.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.shut_down(within=0.0)
        self.node.endpoint_list.discovery.close()

    async def shut_down(self, within: float) -> None:
        """Shut down as after SIGTERM, but without a period in which requests are still accepted.

        `within` is the time in seconds for open requests.
        """
        await shut_down(self.listener, self.node, ShutdownPlan(lame_duck_s=0.0, finish_within_s=within))

    async def client(self) -> Client:
        """Connect a client to the node."""
        return Client(*await asyncio.open_connection(*self.address, limit=1 << 20))

    def watch(self) -> None:
        """Open the discovery watch now, instead of when the balancer does so, within seconds."""
        self.node._execute_action(api.WatchEndpoints())


DISCONNECT_MODES = ("sending", "close", "reset")
"""The ways in which a client may disconnect: by a half close, a close or a reset."""
request_numbers = count(1)


def request(
    kind: str = "", method: str = "", target: str = "/api", body: bytes = b"", **headers: str
) -> bytes:
    """Return a request.

    `kind` is the request class: by default `order` with a body, and `page` without one. The method is by
    default GET for a `page`, and POST otherwise. An underscore in a header name stands for a hyphen, and an
    empty value omits the header.
    """
    kind = kind or ("order" if body else "page")
    method = method or ("GET" if kind == "page" else "POST")
    header_fields = {
        "Host": "service.internal",
        "X-Request-Id": f"{next(request_numbers):016x}",
        "X-Class": kind,
    }
    header_fields |= {name.replace("_", "-"): value for name, value in headers.items()}
    if body or method != "GET":
        header_fields["Content-Length"] = str(len(body))
    lines = "".join(f"{name}: {value}\r\n" for name, value in header_fields.items() if value)
    return f"{method} {target} HTTP/1.1\r\n{lines}\r\n".encode() + body


class Client:
    """A client's connection to the node."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    async def read(self) -> Message:
        """Read a response."""
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            return await read_message(self.reader)

    async def exchange(self, data: bytes) -> Message:
        """Send a request and read its response."""
        self.writer.write(data)
        return await self.read()

    def disconnect(self, how: str) -> None:
        """Disconnect in one of the ways in LEAVE."""
        if how == "sending":
            self.writer.write_eof()
        elif how == "close":
            self.writer.close()
        else:
            reset(self.writer)

    async def read_to_end(self) -> bytes:
        """Return the bytes that arrive until the node closes the connection; none if it resets it."""
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            try:
                return await self.reader.read()
            except OSError:
                return b""


def status(message: Message) -> int:
    """Return the status code of a response."""
    return int(message.first.split(" ")[1])
