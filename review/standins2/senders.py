"""Peers that each send one request with a body over 64 KiB, at once and in chunks of one byte, and then wait.

`python senders.py PORT COUNT` connects COUNT peers to the port of the loopback address, lets all of them send
at the same time, and ends when the node has answered or closed each, or after `LIMIT_S`.
"""

from __future__ import annotations

import asyncio
import os
import sys
import time
from contextlib import suppress

LIMIT_S = 10.0
CHUNK = b"1\r\nx\r\n"
CHUNK_COUNT = 87_000  # 522,000 bytes, of which 87,000 are the body


def request_bytes() -> bytes:
    """Return a request whose body is larger than a body may be; its last chunk is missing."""
    head = (
        "POST /api HTTP/1.1\r\nHost: service.internal\r\nX-Class: accept\r\nX-Deadline: 2500m\r\n"
        f"X-Request-Id: {os.urandom(8).hex()}\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    return head.encode() + CHUNK * CHUNK_COUNT


async def send(port: int, start: asyncio.Event) -> float | None:
    """Connect, wait for the start, send all at once; return the time until the node's first byte or close."""
    text = request_bytes()
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        return None
    await start.wait()
    began = time.monotonic()
    with suppress(OSError, TimeoutError):
        writer.write(text)
        async with asyncio.timeout(LIMIT_S):
            await reader.read(1)
    writer.close()
    return time.monotonic() - began


async def main(port: int, count: int) -> None:
    """Let all peers send at the same time."""
    start = asyncio.Event()
    tasks = [asyncio.create_task(send(port, start)) for _ in range(count)]
    await asyncio.sleep(0.5)
    start.set()
    times = [seconds for seconds in await asyncio.gather(*tasks) if seconds is not None]
    sent_mb = len(times) * len(request_bytes()) / 1e6
    print(
        f"{len(times)} peers sent {sent_mb:.0f} MB; the last was answered after {max(times):.2f} s",
        flush=True,
    )


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]), int(sys.argv[2])))
