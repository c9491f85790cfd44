"""The watch that keeps the list of servers current."""

from __future__ import annotations

import asyncio
import json
import logging
import re
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import cast

import httptools

from moleport.config.endpoints import (
    DiscoveredEndpoint,
    DiscoveryUpdate,
    EndpointListError,
    parse_endpoints,
    parse_update_header,
)

log = logging.getLogger(__name__)

ANSWER = 0.5  # s until a new watch must be answered by an agent on this machine, which replies at once
QUEUED_ANSWER = 2.5  # the same where lists are asked for: calls wait their turn at a discovery that all share
FIRST = 2.5  # s until its first line, an empty one at the least
SILENCE = 3.0  # s until each further line: an empty one comes every 2 s
OBJECT_MOST = 4 << 20  # bytes of one change
SLICE = 512  # entries of a list that are read at once, in a ms or less
# All up to a brace outside of strings, and the brace; none where a string goes on or at the end of what came.
# Possessive: nothing is tried twice. One brace at a time: a list of 1 MB has 90,000 strings.
MARK = re.compile(rb'(?:[^"{}]++|"[^"\\]*+(?:\\.[^"\\]*+)*+")*+([{}]?)', re.DOTALL)


@dataclass(slots=True, eq=False)
class _Reading:
    """A list whose entries are being read; it is told once all could be."""

    watch: WatchConnection
    version: int
    full: bool
    entries: list[object]
    hosts: list[DiscoveredEndpoint] = field(default_factory=list)


class DiscoveryClient:
    """Keeps one watch at most, opened when it is told to. Each watch that ends is reported once."""

    def __init__(
        self,
        address: tuple[str, int],
        version: int,
        on_list: Callable[[DiscoveryUpdate], None],
        on_failed: Callable[[], None],
        answer_within: float = ANSWER,
    ) -> None:
        self.answer_within = answer_within  # s
        self._address = address
        self._version = version
        self._on_list = on_list
        self._on_failed = on_failed
        self._watch: WatchConnection | None = None
        self._opening: asyncio.Task[None] | None = None
        self._reading: _Reading | None = None
        self._loop = asyncio.get_running_loop()

    def watch(self) -> None:
        if self._watch is not None:
            return  # it stands or is being opened, and will tell of its end: a second one is load
        self._watch = WatchConnection(self)
        self._opening = self._loop.create_task(self._open(self._watch))

    def move(self, address: tuple[str, int]) -> None:
        """Watch at another address from now on. The end of the old watch is no failure and is not told.
        Versions are the other place's own, so the first line has to be the whole list."""
        if address == self._address:
            return
        self.finish()
        self._address = address
        self._version = 0
        self.close()
        self.watch()

    def close(self) -> None:
        watch, self._watch, self._reading = self._watch, None, None
        if self._opening is not None:
            self._opening.cancel()
            self._opening = None
        if watch is not None:
            watch.close()

    def request(self) -> bytes:
        host, port = self._address
        target = f"/discovery/hosts?watch=1&from={self._version}"
        return f"GET {target} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode()

    async def _open(self, watch: WatchConnection) -> None:
        try:
            await self._loop.create_connection(lambda: watch, *self._address)
        except OSError as problem:
            self.failed(watch, f"no connection: {problem!r}")

    def is_current(self, watch: WatchConnection) -> bool:
        return watch is self._watch

    def received(self, watch: WatchConnection, text: bytes) -> None:
        self.finish()
        if watch is not self._watch:
            return
        try:
            version, full, entries = parse_update_header(json.loads(text))
            # One from before the list that is held, whole or not, would undo what was told since. An agent
            # that counts anew is believed on the next watch, which asks for the whole list.
            if version < self._version:
                raise EndpointListError(f"version {version} comes after {self._version}")
        except (ValueError, RecursionError, EndpointListError) as problem:
            self._refuse(watch, problem)
            return
        self._reading = _Reading(watch, version, full, entries)
        self._read_on()
        if self._reading is not None:
            self._loop.call_soon(self._read_and_yield, self._reading)

    def _read_and_yield(self, reading: _Reading) -> None:
        """Between two slices the loop looks at its sockets: requests are served meanwhile."""
        if reading is self._reading:
            self._read_on()
        if reading is self._reading:
            self._loop.call_soon(self._read_and_yield, reading)

    def finish(self) -> None:
        """Read to its end what is being read: whatever else happens to the watch happens after it."""
        while self._reading is not None:
            self._read_on()

    def _read_on(self) -> None:
        reading = self._reading
        assert reading is not None
        begin = len(reading.hosts)
        try:
            reading.hosts += parse_endpoints(reading.entries[begin : begin + SLICE])
        except EndpointListError as problem:
            self._refuse(reading.watch, problem)
            return
        if len(reading.hosts) == len(reading.entries):
            self._reading = None
            self._version = reading.version
            self._on_list(DiscoveryUpdate(reading.version, reading.full, tuple(reading.hosts)))

    def _refuse(self, watch: WatchConnection, problem: Exception) -> None:
        self._reading = None
        self._version = 0  # what was skipped is unknown: the next watch starts from the whole list
        self.failed(watch, f"bad change: {problem}")

    def failed(self, watch: WatchConnection, why: str) -> None:
        """The watch has ended; a second report of the same one is passed over."""
        if watch is not self._watch:
            return
        self.close()
        log.warning("watch ended: %s", why)
        self._on_failed()


class WatchConnection(asyncio.Protocol):
    """The connection of one watch: bytes to objects."""

    def __init__(self, owner: DiscoveryClient) -> None:
        self._owner = owner
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpResponseParser | None = None  # while the connection is open
        self._rest = b""
        self._seen = 0  # bytes of it that hold no further mark
        self._depth = 0  # braces open there
        self._loop = asyncio.get_running_loop()
        self._begun = self._loop.time()
        self._timer = self._loop.call_at(self._begun + owner.answer_within, self._fail, "no answer")

    def close(self) -> None:
        self._timer.cancel()
        self._parser = None  # the two hold each other, and would stay until the collector comes
        if self._transport is not None:
            self._transport.abort()

    def _fail(self, why: str) -> None:
        try:
            self._owner.finish()
        finally:
            self._owner.failed(self, why)
        self.close()

    def _wait(self, until: float) -> None:
        """Silence means that the connection is dead, though nothing may ever say so. Bytes that make no
        line are silence too."""
        self._timer.cancel()
        if self._owner.is_current(self):
            self._timer = self._loop.call_at(until, self._fail, "silence")

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport = cast(asyncio.Transport, transport)  # uvloop's is no subclass
        if self._owner.is_current(self):
            self._parser = httptools.HttpResponseParser(self)
            transport.write(self._owner.request())
        else:  # given up while it was dialed: a watch that nobody reads is load for discovery
            transport.abort()

    def data_received(self, data: bytes) -> None:
        parser = self._parser
        if parser is None:
            return
        try:
            parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as problem:
            self._fail(f"unreadable: {problem!r}")

    def connection_lost(self, exc: Exception | None) -> None:
        self._timer.cancel()
        self._fail(f"connection ended: {exc!r}")

    # What the parser finds.

    def on_headers_complete(self) -> None:
        if self._parser is None:
            return
        status = self._parser.get_status_code()
        if status == 200:
            self._wait(self._begun + FIRST)
        elif status >= 200:
            self._fail(f"status {status}")

    def on_body(self, data: bytes) -> None:
        """An object ends with its last brace: it may come indented, and cut anywhere."""
        self._rest += data
        begin = 0
        for mark in MARK.finditer(self._rest, self._seen):
            self._seen = mark.end()
            if mark[1] == b"{":
                self._depth += 1
            elif mark[1] == b"}":
                self._depth -= 1
                if self._depth <= 0:
                    self._depth = 0
                    self._owner.received(self, self._rest[begin : self._seen])
                    begin = self._seen
            else:
                break  # the rest, or a string that goes on with the next bytes
        self._rest = self._rest[begin:]
        self._seen -= begin
        if not self._depth:
            if rest := self._rest.strip():
                self._owner.received(self, rest)  # it can't become an object
            self._rest, self._seen = b"", 0
        if begin or not self._depth:
            self._wait(self._loop.time() + SILENCE)
        if len(self._rest) > OBJECT_MOST:
            self._fail("an object without end")

    def on_message_complete(self) -> None:
        self._fail("answer ended")
