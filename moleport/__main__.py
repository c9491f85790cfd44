"""Entry point of the node's process, which serves until SIGTERM or SIGINT."""

from __future__ import annotations

import gc
import signal

# The garbage collector is off until the node is ready: imports and configuration create almost no garbage.
gc.disable()

early_sighups: list[int] = []
"""SIGHUP signals that arrived before the event loop handled SIGHUP, which by default ends the process."""

if __name__ == "__main__":
    signal.signal(signal.SIGHUP, lambda signal_number, _frame: early_sighups.append(signal_number))

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
from moleport.node.node_factory import build_memory_monitor, build_node

log = logging.getLogger("moleport")

INVALID_CONFIG_EXIT_CODE = 2
"""Exit code for an invalid configuration, or a listen address that the node cannot use."""


async def serve(config: Config) -> int:
    """Serve clients until SIGTERM or SIGINT, and shut down; return the exit code."""
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    dispatcher, listener = build_node(config)
    reloader = ConfigReloader(dispatcher)
    loop.add_signal_handler(signal.SIGHUP, reloader.on_signal)
    dispatcher.start()
    if early_sighups:
        # A SIGHUP that arrived while the node was starting may announce a change of the configuration file
        # after the node first read the file, so the file is read again.
        reloader.on_signal()
    await _wait_for_first(dispatcher.wait_until_endpoints_known(), stop_requested.wait())
    if stop_requested.is_set():
        # A node that is stopped before it listens has no clients, so it has no requests to complete.
        dispatcher.telemetry.report()
        _ignore_reloads(loop)
        return 0
    try:
        address = listener.listen()
    except OSError as error:
        print(
            f"moleport: BALANCER_LISTEN: cannot listen on the address for clients: {error.strerror}",
            file=sys.stderr,
        )
        return INVALID_CONFIG_EXIT_CODE
    # Objects from the start of the node live as long as its process, so the garbage collector skips them.
    gc.freeze()
    gc.enable()
    monitor = build_memory_monitor(dispatcher, listener)
    listener.table.max_connections = monitor.start(listener.table.max_connections)
    log.info("serving on %s:%d", *address)
    await stop_requested.wait()
    log.info("stopping")
    await shut_down(listener, dispatcher, plan_shutdown(config))
    dispatcher.telemetry.report()
    _ignore_reloads(loop)
    return 0


def _ignore_reloads(loop: asyncio.AbstractEventLoop) -> None:
    """Ignore SIGHUP until the process ends: by default, a SIGHUP after the event loop closes would end it."""
    loop.remove_signal_handler(signal.SIGHUP)
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


async def _wait_for_first(*coroutines: Coroutine[Any, Any, object]) -> None:
    """Wait until one of the coroutines has finished, and cancel the others."""
    tasks = [asyncio.ensure_future(coroutine) for coroutine in coroutines]
    await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    for task in tasks:
        task.cancel()


def main() -> int:
    """Read the configuration and run the node; return the process's exit code."""
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(levelname)s %(name)s: %(message)s")
    try:
        config = load(os.environ)
    except ConfigError as error:
        print(f"moleport: {error}", file=sys.stderr)
        return INVALID_CONFIG_EXIT_CODE
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(serve(config))


if __name__ == "__main__":
    sys.exit(main())
