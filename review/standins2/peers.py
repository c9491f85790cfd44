"""Peers that connect and send nothing, or the first part of a request, and stay until the node ends it.

`python peers.py PORT COUNT PER_SECOND TEXT` opens COUNT connections to the port of the loopback address, at
PER_SECOND, sends TEXT on each, and ends when all are over or after `LIMIT_S`. It prints how long the longest
of the connections was left open after it was made, in s.
"""

from __future__ import annotations

import asyncio
import sys
import time
from contextlib import suppress

LIMIT_S = 20.0


async def stay(port: int, text: bytes) -> float:
    """Connect, send the text, and wait for the end of the connection; return the time until then in s."""
    with suppress(OSError):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        began = time.monotonic()
        with suppress(OSError):
            writer.write(text)
            await reader.read()
        writer.close()
        return time.monotonic() - began
    return 0.0


async def main(port: int, count: int, per_second: float, text: bytes) -> None:
    """Open the connections one after the other."""
    began = time.monotonic()
    tasks = []
    for number in range(count):
        delay_s = began + number / per_second - time.monotonic()
        if delay_s > 0.0:
            await asyncio.sleep(delay_s)
        tasks.append(asyncio.create_task(stay(port, text)))
    opened_s = time.monotonic() - began
    done, _ = await asyncio.wait(tasks, timeout=LIMIT_S)
    longest_s = max((task.result() for task in done), default=0.0)
    print(
        f"{count} peers in {opened_s:.2f} s, {len(done)} ended, the last after {longest_s:.2f} s", flush=True
    )


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3]), sys.argv[4].encode()))
