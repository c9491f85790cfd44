"""Starts the node, and ends it when it is told to."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys

import uvloop

from moleport.config.node_config import Config, ConfigError, load, reload
from moleport.node.connection_pools import ConnectionPools
from moleport.node.dispatcher import Dispatcher
from moleport.node.listener import Listener
from moleport.telemetry import Event

log = logging.getLogger("moleport")

RESERVED = 40  # descriptors: the interpreter's, the loop's, the listening socket, discovery, and slack
CLIENTS_PART = 0.55  # of the rest; the others are for servers

SERVE_ON = 0.6  # s after SIGTERM at least: new connections go on coming for up to 0.4 s
KILLED_AFTER = 0.7  # s after SIGTERM and the longest deadline, at the soonest
LONGEST_DEADLINE = 3.0  # s, as far as the platform waits
MARGIN = 0.3  # s before SIGKILL

RELOAD_PAUSE = 0.02  # s until a configuration that can't be used is read again; doubles with each try
RELOAD_PAUSE_MOST = 0.2  # s
RELOAD_TRIED_FOR = 3.0  # s: what the new agent holds counts as told 4 s after the signal


def build_node(config: Config) -> tuple[Dispatcher, Listener]:
    usable = config.max_sockets - RESERVED
    clients = int(usable * CLIENTS_PART)
    node = Dispatcher(
        config, ConnectionPools(usable - clients, config.connect_timeout_ns, config.idle_timeout_ns)
    )
    return node, Listener(node, config, clients)


def plan_end(config: Config) -> tuple[float, float]:
    """Until when after SIGTERM all is served on, and when all must be answered, in s. Clients go on using the
    connections that they have, and the nodes that take over may be restarting too: so what can still be
    answered in time is taken. Guards against seconds in which no node of the tier serves."""
    held = [
        kind.latency_objective_ns / 1e9 if not kind.late_weight_ratio else LONGEST_DEADLINE
        for kind in config.policy_settings.classes
    ]
    longest = min(LONGEST_DEADLINE, max(config.max_deadlines_ns) / 1e9)
    within = longest + KILLED_AFTER - MARGIN
    return max(SERVE_ON, within - min(longest, max(held))), within


class ConfigReloader:
    """Reads the configuration anew at SIGHUP. Whatever is wrong with the file, the node serves on. A file
    that can't be used may be half written: it is read again for a bounded time."""

    def __init__(self, node: Dispatcher) -> None:
        self._node = node
        self._loop = asyncio.get_running_loop()
        self._next: asyncio.TimerHandle | None = None

    def signalled(self) -> None:
        """A signal in the midst of the tries that an earlier one began starts them anew."""
        if self._next is not None:
            self._next.cancel()
        self._try(0, self._loop.time() + RELOAD_TRIED_FOR)

    def _try(self, failed: int, end: float) -> None:
        self._next = None
        telemetry = self._node.telemetry
        try:
            config = reload(os.environ)
        except ConfigError as problem:
            pause = min(RELOAD_PAUSE_MOST, RELOAD_PAUSE * 2**failed)
            if self._loop.time() + pause > end:
                telemetry.count(Event.RELOAD_ABANDONED, tries=failed + 1)
                log.error("the new configuration is not used after %d tries: %s", failed + 1, problem)
                return
            if not failed:
                log.warning("the new configuration can't be used yet: %s", problem)
            telemetry.count(Event.RELOAD_RETRIED)
            self._next = self._loop.call_later(pause, self._try, failed + 1, end)
        else:
            telemetry.count(Event.RELOAD_APPLIED, tries=failed + 1)
            if failed:
                log.info("the new configuration is used after %d tries", failed + 1)
            self._node.reload(config)


async def serve(config: Config) -> int:
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    node, front = build_node(config)
    # Guards against the default, which ends the process and all that it holds.
    loop.add_signal_handler(signal.SIGHUP, ConfigReloader(node).signalled)
    node.start()
    await node.wait_until_endpoints_known()
    try:
        address = front.listen()
    except OSError as problem:
        print(f"moleport: BALANCER_LISTEN can't be used: {problem.strerror}", file=sys.stderr)
        return 2
    # What has been made by now stays; the collector need not look at it, and little of it is garbage.
    gc.freeze()
    log.info("serving on %s:%d", *address)
    await stop.wait()
    log.info("stopping")
    await front.shut_down(*plan_end(config))
    node.telemetry.report()
    return 0


def main() -> int:
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(levelname)s %(name)s: %(message)s")
    try:
        config = load(os.environ)
    except ConfigError as problem:
        print(f"moleport: {problem}", file=sys.stderr)
        return 2
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(serve(config))


if __name__ == "__main__":
    sys.exit(main())
