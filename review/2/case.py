"""Case 2: a new process serves from its old list, as its first watch has ended instead of telling."""

from __future__ import annotations

import asyncio
import os
import sys

from standins.clients import Clients, new_request
from standins.fleet import CaseError, Fleet, has_trouble, main
from standins.servers import Arrival, QuoteServer, answer
from standins.settings import settings

NODE_COUNT = 6  # they share a core
SERVER_COUNT = 16
ROUND_COUNT = 6
DRAINS_PER_ROUND = 2
SERVICE_SECONDS = 0.02
WATCH_ENDS_AFTER_SECONDS = 0.0  # from the opening of the one watch that ends instead of telling
FRONT_POLL_SECONDS = 0.01
FIRST_REQUESTS = 8  # requests of the clients that the front leads to a node when it is taken in
REQUESTS_PER_S = 70.0  # half of a third of the 420 requests a second, as there are six nodes and not three
LOAD_SECONDS = 1.0
DRAIN_GRACE_SECONDS = 0.5 + 0.05  # StopSendingWithin, and 50 ms for each time limit on sockets


async def serve(server: QuoteServer, arrival: Arrival, writer: asyncio.StreamWriter) -> None:
    """Run every request, also while draining."""
    await asyncio.sleep(SERVICE_SECONDS)
    writer.write(answer(200, server.run(arrival)))


async def play_restart(fleet: Fleet, index: int) -> list[str]:
    """Start a node, send it requests once it is ready, and kill it; return the breaks of the rule."""
    node, agent = fleet.nodes[index], fleet.agents[index]
    drained = {name for name, entry in agent.entries.items() if entry["state"] == "Terminating"}
    agent.watches_to_end = [WATCH_ENDS_AFTER_SECONDS] if has_trouble() else []
    await node.start(max(os.sched_getaffinity(0)))
    fleet.record.write("node started", node.started_at, node=node.name)
    if not await node.wait_until_ready(FRONT_POLL_SECONDS):
        raise CaseError(f"node {node.name} is not ready")
    fleet.record.write("node ready", node=node.name)
    clients = Clients(node.port, fleet.record)
    for number in range(FIRST_REQUESTS):
        clients.send(new_request("price", f"job-{index}-{number}", 300))
    await clients.keep_sending(LOAD_SECONDS, REQUESTS_PER_S, 0.0)
    await clients.finish()
    await node.kill()
    if not any(request.status == 200 for request in clients.requests):
        raise CaseError(f"node {node.name} served nothing")
    found = []
    for request in clients.requests:
        for arrival in fleet.tier.arrivals.get(request.request_id, []):
            since_told = arrival.began_at - node.started_at
            if arrival.server in drained and since_told > DRAIN_GRACE_SECONDS:
                found.append(
                    f"drain: {node.name} sent {request.request_id} to {arrival.server} {since_told:.3f} s "
                    "after the start of its process, whose agent had the drain from the first moment"
                )
    return found


async def scenario(fleet: Fleet) -> list[str]:
    """Restart all nodes, round by round; in each round two quote servers begin to drain before the start."""
    await fleet.add_servers(SERVER_COUNT, serve)
    await fleet.add_nodes(NODE_COUNT)
    found = []
    for round_number in range(ROUND_COUNT):
        leaving = fleet.servers[DRAINS_PER_ROUND * round_number : DRAINS_PER_ROUND * (round_number + 1)]
        for server in leaving:
            server.state = "Terminating"
        for index, agent in enumerate(fleet.agents):
            # The list as this node held it last, from before the drains of this round.
            fleet.configure(index, agent.whole_list(), settings(NODE_COUNT, index))
            agent.publish(*(server.entry() for server in leaving))
        fleet.record.write("drain", servers=[server.name for server in leaving])
        for lines in await asyncio.gather(*(play_restart(fleet, index) for index in range(NODE_COUNT))):
            found += lines
    for line in found:
        fleet.record.write("broken", line=line)
    return found


if __name__ == "__main__":
    sys.exit(main(scenario))
