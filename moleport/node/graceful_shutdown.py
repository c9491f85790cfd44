"""The steps of a graceful shutdown on SIGTERM, in order.

1. `/up` answers 503. For `lame_duck_s` all other requests are accepted as before SIGTERM, on existing and on
   new connections.
2. Each response closes its connection, and the clients in the kernel's accept queue are accepted.
3. The listening socket is closed.
4. The requests in flight are completed, and unused connections are closed.
5. `finish_within_s` after the call of `shut_down`, the requests that are still unanswered get a 504.
"""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from moleport.config.node_config import Config
from moleport.node.dispatcher import Dispatcher
from moleport.node.listener import ACCEPT_BATCH_CONNECTIONS, BACKLOG_CONNECTIONS, Listener
from moleport.units import NS_PER_SECOND

MIN_LAME_DUCK_SECONDS = 0.6  # new client connections continue to arrive for up to 0.4 s after SIGTERM
MAX_DEADLINE_SECONDS = 3.0  # longest request deadline that the platform waits for before it sends SIGKILL
KILL_DELAY_SECONDS = 0.7  # minimum time between the expiry of the longest request deadline and SIGKILL
KILL_MARGIN_SECONDS = 0.3  # safety margin between the 504 for unanswered requests and SIGKILL
DRAIN_CHECK_PERIOD_SECONDS = 0.02


class ShutdownPlan(NamedTuple):
    """The times of the steps of a shutdown, in s after the call of `shut_down`."""

    lame_duck_s: float
    """The time until which requests are accepted as before the shutdown."""
    finish_within_s: float
    """The time at which the requests that are still unanswered get a 504."""


def plan_shutdown(config: Config) -> ShutdownPlan:
    """Return the times for a node's shutdown.

    The nodes that take over the traffic may be restarting too, so the node accepts requests for as long as it
    can still answer them in time, but for at least `MIN_LAME_DUCK_SECONDS`. A response is in time within the
    latency objective of its class, or, if late responses of the class have a weight, within the longest
    deadline of all classes. The class with the longest such time determines the plan.
    """
    useful_response_times_s = [
        request_class.latency_objective_ns / NS_PER_SECOND
        if not request_class.late_weight_ratio
        else MAX_DEADLINE_SECONDS
        for request_class in config.policy_settings.classes
    ]
    longest_deadline_s = min(MAX_DEADLINE_SECONDS, max(config.max_deadlines_ns) / NS_PER_SECOND)
    finish_within_s = longest_deadline_s + KILL_DELAY_SECONDS - KILL_MARGIN_SECONDS
    lame_duck_s = max(
        MIN_LAME_DUCK_SECONDS, finish_within_s - min(longest_deadline_s, max(useful_response_times_s))
    )
    return ShutdownPlan(lame_duck_s, finish_within_s)


async def shut_down(listener: Listener, dispatcher: Dispatcher, plan: ShutdownPlan) -> None:
    """Shut the node down in the steps that the module's docstring lists."""
    loop = asyncio.get_running_loop()
    end_time = loop.time() + plan.finish_within_s
    listener.context.is_stopping = True
    await asyncio.sleep(plan.lame_duck_s)

    listener.context.is_draining = True
    await _accept_waiting_clients(listener, end_time)
    listener.stop_listening()
    await listener.wait_until_set_up()

    while listener.table.connections and loop.time() < end_time:
        # During the shutdown, the event loop repeatedly gets time to read new data of clients, before the
        # client connections without a request are closed.
        await asyncio.sleep(DRAIN_CHECK_PERIOD_SECONDS)
        listener.table.close_unused()

    dispatcher.fail_all_requests()
    await asyncio.sleep(DRAIN_CHECK_PERIOD_SECONDS)


async def _accept_waiting_clients(listener: Listener, end_time: float) -> None:
    """Accept all clients in the accept queue.

    While the connection table is full, wait for free slots until `end_time` (loop time in s).
    """
    loop = asyncio.get_running_loop()
    for _ in range(BACKLOG_CONNECTIONS // ACCEPT_BATCH_CONNECTIONS):
        listener.accept_batch()
    while listener.has_waiting_clients() and loop.time() < end_time:
        listener.table.close_unused()
        await asyncio.sleep(DRAIN_CHECK_PERIOD_SECONDS)
        listener.accept_batch()
