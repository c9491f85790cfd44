"""A stand-in for the discovery agent on a node's machine, which holds a list and tells its changes."""

from __future__ import annotations

import asyncio
import json
from contextlib import suppress
from typing import Any
from urllib.parse import parse_qs, urlsplit

EMPTY_LINE_SECONDS = 2.0


class Agent:
    """Answers each call at once, and tells each watch all changes that the agent holds."""

    def __init__(self, version: int = 41) -> None:
        self.version = version
        self.entries: dict[str, dict[str, Any]] = {}  # server entries by id
        self.watches_to_end: list[float] = []
        """For each of the next watches, the seconds after which it ends instead of telling."""
        self.watch_count = 0
        self.address = ""
        self._changed_at: dict[str, int] = {}  # version of the latest change, by server id
        self._watches: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free loopback port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def whole_list(self) -> dict[str, Any]:
        """Return the whole list without servers that are gone."""
        servers = [entry for entry in self.entries.values() if entry["state"] != "Gone"]
        return {"version": self.version, "full": True, "servers": servers}

    def publish(self, *entries: dict[str, Any]) -> None:
        """Hold changed entries and tell all open watches."""
        self.version += 1
        for entry in entries:
            self.entries[entry["id"]] = dict(entry)
            self._changed_at[entry["id"]] = self.version
        for writer in list(self._watches):
            self._tell(writer, {"version": self.version, "full": False, "servers": list(entries)})

    def reset_watches(self) -> None:
        """Reset all open watches."""
        for writer in list(self._watches):
            writer.transport.abort()

    def _tell(self, writer: asyncio.StreamWriter, change: dict[str, Any] | None) -> None:
        line = (json.dumps(change).encode() if change else b"") + b"\n"
        with suppress(OSError, RuntimeError):
            writer.write(b"%x\r\n%s\r\n" % (len(line), line))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            query = parse_qs(urlsplit(head.split()[1].decode()).query)
            if query.get("watch") != ["1"]:
                body = json.dumps(self.whole_list()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
                return
            await self._serve_watch(int(query.get("from", ["0"])[0]), writer)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            self._watches.discard(writer)
            writer.close()

    async def _serve_watch(self, version: int, writer: asyncio.StreamWriter) -> None:
        self.watch_count += 1
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        if self.watches_to_end:
            await asyncio.sleep(self.watches_to_end.pop(0))
            return
        if version == 0:
            self._tell(writer, self.whole_list())
        else:
            missed = [self.entries[name] for name, at in self._changed_at.items() if at > version]
            self._tell(
                writer, {"version": self.version, "full": False, "servers": missed} if missed else None
            )
        self._watches.add(writer)
        while not writer.transport.is_closing():
            await asyncio.sleep(EMPTY_LINE_SECONDS)
            self._tell(writer, None)
