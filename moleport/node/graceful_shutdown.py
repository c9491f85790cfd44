"""What happens on SIGTERM, in order.

1. `/up` answers 503, and everything is served as before: clients go on using the connections that they have,
   and new ones, for `serve_on_s`.
2. Each response closes its connection, and the clients that wait in the kernel's queue are accepted.
3. The listening socket is closed.
4. The requests in flight are completed, and unused connections are closed.
5. `finish_within_s` after `shut_down` is called, what is still unanswered fails.
"""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from moleport.config.node_config import Config
from moleport.node.dispatcher import Dispatcher
from moleport.node.listener import ACCEPT_BATCH_CONNECTIONS, BACKLOG_CONNECTIONS, Listener
from moleport.units import NS_PER_SECOND

MIN_SERVE_ON_SECONDS = 0.6  # new connections go on coming for up to 0.4 s
MAX_DEADLINE_SECONDS = 3.0  # the platform waits for no longer deadline
KILL_DELAY_SECONDS = 0.7  # from the end of the longest deadline to SIGKILL, at least
KILL_MARGIN_SECONDS = 0.3  # left before SIGKILL
DRAIN_CHECK_PERIOD_SECONDS = 0.02


class ShutdownPlan(NamedTuple):
    """The times of a shutdown, in s after the call of `shut_down`."""

    serve_on_s: float
    """Until when everything is served as before."""
    finish_within_s: float
    """When all requests must be answered."""


def plan_shutdown(config: Config) -> ShutdownPlan:
    """Return the times for a node's shutdown.

    The nodes that take over may be restarting too, so the node serves on for as long as a request that it
    accepts can still be answered in time, but for at least `MIN_SERVE_ON_SECONDS`. In time is within the
    latency objective, or within the longest deadline of all classes for a class whose late responses have a
    weight; the class with the longest such time counts.
    """
    useful_spans = [
        kind.latency_objective_ns / NS_PER_SECOND if not kind.late_weight_ratio else MAX_DEADLINE_SECONDS
        for kind in config.policy_settings.classes
    ]
    longest_deadline = min(MAX_DEADLINE_SECONDS, max(config.max_deadlines_ns) / NS_PER_SECOND)
    finish_within = longest_deadline + KILL_DELAY_SECONDS - KILL_MARGIN_SECONDS
    serve_on = max(MIN_SERVE_ON_SECONDS, finish_within - min(longest_deadline, max(useful_spans)))
    return ShutdownPlan(serve_on, finish_within)


async def shut_down(listener: Listener, dispatcher: Dispatcher, plan: ShutdownPlan) -> None:
    """Shut the node down, as the module's description says."""
    loop = asyncio.get_running_loop()
    end = loop.time() + plan.finish_within_s
    listener.context.is_stopping = True
    await asyncio.sleep(plan.serve_on_s)

    listener.context.is_draining = True
    await _accept_waiting_clients(listener, end)
    listener.stop_listening()
    await listener.wait_until_set_up()

    while listener.table.connections and loop.time() < end:
        await asyncio.sleep(DRAIN_CHECK_PERIOD_SECONDS)  # first, what new connections have sent is read
        listener.table.close_unused()

    dispatcher.fail_all_requests()
    await asyncio.sleep(DRAIN_CHECK_PERIOD_SECONDS)


async def _accept_waiting_clients(listener: Listener, end: float) -> None:
    """Accept all clients in the kernel's queue; at a full table, wait for slots until `end` (loop time)."""
    loop = asyncio.get_running_loop()
    for _ in range(BACKLOG_CONNECTIONS // ACCEPT_BATCH_CONNECTIONS):
        listener.accept_batch()
    while listener.has_waiting_clients() and loop.time() < end:
        listener.table.close_unused()
        await asyncio.sleep(DRAIN_CHECK_PERIOD_SECONDS)
        listener.accept_batch()
