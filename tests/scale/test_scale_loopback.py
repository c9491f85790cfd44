"""The capacity measurements on loopback: stand-ins, load generator, and statistics."""

from __future__ import annotations

import asyncio
import json
from time import monotonic
from typing import Any

import numpy as np
import pytest
from rig import run

from scale.real.load import Load
from scale.real.plan import FULL, MAX_ADDED_P99_MS, REQUESTS_PER_SECOND, SMOKE, Report
from scale.real.processes import fetch_counts, run_load, running_servers
from scale.real.requests import Phase, added_ms, minute_p99_ms, p99_bound_ms
from scale.real.standins import MAX_HISTORY_COUNT, Agent, content_length, entry
from scale.real.worst import CHANGE_GAP_SECONDS, zone_outage_changes


def parse_chunk(chunk: bytes) -> dict[str, Any]:
    """Return the update in a chunk, and check the length of the chunk."""
    size, _, body = chunk.partition(b"\r\n")
    assert body.endswith(b"\r\n") and int(size, 16) == len(body) - 2
    found: dict[str, Any] = json.loads(body)
    return found


async def open_watch(agent: Agent, since: int) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a watch from a version, and read the response head."""
    reader, writer = await asyncio.open_connection(*agent.address, limit=1 << 22)
    writer.write(b"GET /discovery/hosts?watch=1&from=%d HTTP/1.1\r\nHost: agent\r\n\r\n" % since)
    assert b"200 OK" in await reader.readuntil(b"\r\n\r\n")
    return reader, writer


async def read_line(reader: asyncio.StreamReader) -> dict[str, Any]:
    """Read the next update of a watch."""
    size = await reader.readuntil(b"\r\n")
    return parse_chunk(size + await reader.readexactly(int(size, 16) + 2))


def test_a_watch_begins_with_a_delta_since_its_version_or_else_with_a_snapshot() -> None:
    agent = Agent([entry(index, 80) for index in range(3)], version=5)
    assert (
        parse_chunk(agent.first_chunk(0))["full"] and len(parse_chunk(agent.first_chunk(0))["servers"]) == 3
    )
    assert parse_chunk(agent.first_chunk(5)) == {"version": 5, "full": False, "servers": []}
    agent.push_change([entry(1, 80, "Terminating")])
    agent.push_change([entry(1, 80, "Gone"), entry(7, 80)])
    first = parse_chunk(agent.first_chunk(5))
    assert (first["version"], first["full"]) == (7, False)
    assert [(one["id"][-1], one["state"]) for one in first["servers"]] == [("1", "Gone"), ("7", "Ready")]
    assert parse_chunk(agent.first_chunk(6)) == first
    assert [one["id"][-1] for one in parse_chunk(agent.first_chunk(99))["servers"]] == ["0", "2", "7"]
    agent.clear_history()
    assert parse_chunk(agent.first_chunk(7))["full"]


def test_a_watch_from_a_version_older_than_the_history_begins_with_a_snapshot() -> None:
    agent = Agent([entry(0, 80)])
    for number in range(MAX_HISTORY_COUNT + 2):
        agent.push_change([entry(number % 3, 80)])
    assert parse_chunk(agent.first_chunk(2))["full"]
    first = parse_chunk(agent.first_chunk(3))
    assert not first["full"] and len(first["servers"]) == 3


def test_an_outage_closes_all_watches_and_they_are_accepted_again_at_the_same_address() -> None:
    async def test() -> None:
        async with Agent([entry(0, 80)]) as agent:
            watches = [await open_watch(agent, 1) for _ in range(2)]
            for reader, _ in watches:
                assert (await read_line(reader))["servers"] == []
            sent_before = agent.sent_bytes
            pushed_bytes = agent.push_change([entry(1, 80)])
            assert agent.sent_bytes - sent_before == 2 * pushed_bytes
            for reader, _ in watches:
                assert [one["id"][-1] for one in (await read_line(reader))["servers"]] == ["1"]
            agent.start_outage()
            for reader, writer in watches:
                assert await reader.read() == b""
                writer.close()
            with pytest.raises(ConnectionRefusedError):
                await open_watch(agent, 2)
            await agent.listen()
            reader, writer = await open_watch(agent, 1)
            assert (await read_line(reader))["version"] == 2
            assert len(agent.watch_opened_at) == 3
            writer.close()

    run(test())


def test_one_process_answers_at_the_distinct_addresses_of_all_listed_servers() -> None:
    addresses = {entry(index, 80)["addr"] for index in range(70_000)}
    assert len(addresses) == 70_000 and all(address.startswith("127.") for address in addresses)
    assert "127.0.0.1:80" not in addresses

    async def test() -> None:
        async with running_servers(1.0) as port:
            for index in (0, 7199):
                host = entry(index, port)["addr"].partition(":")[0]
                sample = await run_load((host, port), monotonic() + 0.3, 0.2, rate=50.0)
                assert sample["status"] and set(sample["status"]) == {200}
                assert min(sample["ms"]) >= 1.0  # the service time is the minimum
            counts = await fetch_counts(port)
            assert counts["addresses"] == 2 and counts["open"] == 0
            assert counts["accepted"] >= 2

    run(test())


def test_a_load_records_each_request_once_and_ends_without_responses() -> None:
    async def never_respond(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read()
        writer.close()

    async def test() -> None:
        server = await asyncio.start_server(never_respond, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        plan = {"host": host, "port": port, "begin": monotonic(), "seconds": 0.2, "seed": 1, "rate": 100.0}
        sample = await Load(plan).run()
        assert 5 <= len(sample.at) <= 50
        assert set(sample.status) == {0}
        server.close()

    run(test())


def test_content_length_is_read_in_any_letter_case() -> None:
    assert content_length(b"POST /api HTTP/1.1\r\nHost: x\r\ncontent-LENGTH: 12") == 12
    assert content_length(b"GET /api HTTP/1.1\r\nHost: x") == 0


def test_a_zone_outage_removes_and_adds_all_servers_of_the_zone() -> None:
    entries = [entry(index, 80) for index in range(7200)]
    removing, adding = zone_outage_changes(entries, FULL.zone_batch_count)
    assert len(removing) == len(adding) == 20
    names = [{one["id"] for change in changes for one in change} for changes in (removing, adding)]
    assert names[0] == names[1] and len(names[0]) == 800
    assert {one["state"] for change in removing for one in change} == {"Gone"}


def test_the_full_plan_has_four_points_for_each_slope_and_reaches_the_expected_size() -> None:
    assert len(FULL.server_counts) >= 4 and len(FULL.node_counts) >= 4 and len(FULL.tenant_counts) >= 4
    assert FULL.server_counts[-1] == 7200 and FULL.tenant_counts[-1] == 44_000
    assert SMOKE.server_counts[-1] < 100


def phase(response_ms: list[float], direct_ms: list[float]) -> Phase:
    """Return a phase with these response times."""
    return Phase(np.array(response_ms), np.array(direct_ms), 0.0, 400.0, 0.1, 0.0, 0.0, 0.0, 0.0)


def test_added_time_is_the_difference_between_the_percentiles_of_one_phase() -> None:
    one = phase([float(number) for number in range(1001)], [number / 10 for number in range(1001)])
    assert added_ms(one, 50.0) == pytest.approx(450.0)
    assert added_ms(one, 99.0) == pytest.approx(891.0)


def test_each_phase_of_the_full_plan_has_enough_requests_for_the_bound_on_the_99th_percentile() -> None:
    enough, too_few = phase([1.0] * 1000, [1.0]), phase([1.0] * 999, [1.0])
    assert p99_bound_ms([enough, enough]) == MAX_ADDED_P99_MS == 6.9
    assert p99_bound_ms([enough, too_few]) is None
    assert REQUESTS_PER_SECOND * FULL.window_seconds / 2 / FULL.repeats > 1.1 * 1000
    assert (
        REQUESTS_PER_SECOND * 2 * (FULL.zone_batch_count * CHANGE_GAP_SECONDS + FULL.pause_seconds)
        > 1.1 * 1000
    )


def test_each_request_of_the_worst_phase_has_the_weight_of_one_request_in_the_minute() -> None:
    """100 slow requests are less than 1% of the minute's 16,380, and 200 are more than 1%."""
    quiet = np.array([1.0] * 4000)
    assert minute_p99_ms(np.array([50.0] * 100), quiet) == 1.0
    assert minute_p99_ms(np.array([50.0] * 200), quiet) == 50.0


def test_a_slope_is_fitted_over_all_sizes_of_its_figure() -> None:
    report = Report()
    for size in (1, 2, 4, 8):
        report.add_median("cost", size, [3.0 * size + 1, 3.0 * size + 2, 3.0 * size + 9], "ms", "a run")
    assert report.add_slope("cost", "nodes", "ms/node", "") == pytest.approx(3.0)
    assert report.value("cost", 4) == 14.0
    assert report.figures[0]["spread"] == pytest.approx(4.0)
