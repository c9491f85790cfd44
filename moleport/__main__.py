"""Start the node's process, and end it when a signal asks for it."""

from __future__ import annotations

import gc
import signal

gc.disable()  # Until the node is ready: imports and configuration create next to no garbage.

early_reloads: list[int] = []
"""SIGHUPs from before the event loop handles them; by default they would end the process."""

if __name__ == "__main__":
    signal.signal(signal.SIGHUP, lambda number, _: early_reloads.append(number))

import asyncio
import logging
import os
import sys
from collections.abc import Coroutine
from typing import Any

import uvloop

from moleport.config.node_config import Config, ConfigError, load
from moleport.node.config_reload import ConfigReloader
from moleport.node.graceful_shutdown import plan_shutdown, shut_down
from moleport.node.node_factory import build_node

log = logging.getLogger("moleport")

UNUSABLE_CONFIG_EXIT_CODE = 2


async def serve(config: Config) -> int:
    """Serve until SIGTERM or SIGINT; return the exit code."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    dispatcher, listener = build_node(config)
    reloader = ConfigReloader(dispatcher)
    loop.add_signal_handler(signal.SIGHUP, reloader.on_signal)
    dispatcher.start()
    if early_reloads:
        reloader.on_signal()  # the file may have changed since it was read
    await _wait_for_either(dispatcher.wait_until_endpoints_known(), stop.wait())
    if stop.is_set():  # nothing is accepted yet that would have to be completed
        dispatcher.telemetry.report()
        _ignore_reloads(loop)
        return 0
    try:
        address = listener.listen()
    except OSError as error:
        print(f"moleport: BALANCER_LISTEN can't be used: {error.strerror}", file=sys.stderr)
        return UNUSABLE_CONFIG_EXIT_CODE
    # What exists by now stays: the collector need not visit it.
    gc.freeze()
    gc.enable()
    log.info("serving on %s:%d", *address)
    await stop.wait()
    log.info("stopping")
    await shut_down(listener, dispatcher, plan_shutdown(config))
    dispatcher.telemetry.report()
    _ignore_reloads(loop)
    return 0


def _ignore_reloads(loop: asyncio.AbstractEventLoop) -> None:
    """Ignore SIGHUP from now on; a closed event loop would leave it to end the process."""
    loop.remove_signal_handler(signal.SIGHUP)
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


async def _wait_for_either(*waits: Coroutine[Any, Any, object]) -> None:
    """Wait until one of them is done, and cancel the others."""
    tasks = [asyncio.ensure_future(wait) for wait in waits]
    await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    for task in tasks:
        task.cancel()


def main() -> int:
    """Run the node's process; return its exit code."""
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(levelname)s %(name)s: %(message)s")
    try:
        config = load(os.environ)
    except ConfigError as error:
        print(f"moleport: {error}", file=sys.stderr)
        return UNUSABLE_CONFIG_EXIT_CODE
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(serve(config))


if __name__ == "__main__":
    sys.exit(main())
