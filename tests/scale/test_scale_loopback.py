"""The scale tests on loopback: their stand-ins, their load, and how figures follow from it."""

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


def parsed(chunk: bytes) -> dict[str, Any]:
    size, _, rest = chunk.partition(b"\r\n")
    assert rest.endswith(b"\r\n") and int(size, 16) == len(rest) - 2
    found: dict[str, Any] = json.loads(rest)
    return found


async def watched(agent: Agent, since: int) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    reader, writer = await asyncio.open_connection(*agent.address, limit=1 << 22)
    writer.write(b"GET /discovery/hosts?watch=1&from=%d HTTP/1.1\r\nHost: agent\r\n\r\n" % since)
    assert b"200 OK" in await reader.readuntil(b"\r\n\r\n")
    return reader, writer


async def next_line(reader: asyncio.StreamReader) -> dict[str, Any]:
    size = await reader.readuntil(b"\r\n")
    return parsed(size + await reader.readexactly(int(size, 16) + 2))


def test_a_watch_begins_with_what_changed_since_its_version_or_else_with_the_whole_list() -> None:
    agent = Agent([entry(index, 80) for index in range(3)], version=5)
    assert parsed(agent.first_chunk(0))["full"] and len(parsed(agent.first_chunk(0))["servers"]) == 3
    assert parsed(agent.first_chunk(5)) == {"version": 5, "full": False, "servers": []}
    agent.push_change([entry(1, 80, "Terminating")])
    agent.push_change([entry(1, 80, "Gone"), entry(7, 80)])
    first = parsed(agent.first_chunk(5))
    assert (first["version"], first["full"]) == (7, False)
    assert [(one["id"][-1], one["state"]) for one in first["servers"]] == [("1", "Gone"), ("7", "Ready")]
    assert parsed(agent.first_chunk(6)) == first
    assert [one["id"][-1] for one in parsed(agent.first_chunk(99))["servers"]] == ["0", "2", "7"]
    agent.clear_history()
    assert parsed(agent.first_chunk(7))["full"]


def test_versions_that_are_older_than_the_kept_changes_get_the_whole_list() -> None:
    agent = Agent([entry(0, 80)])
    for number in range(MAX_HISTORY_COUNT + 2):
        agent.push_change([entry(number % 3, 80)])
    assert parsed(agent.first_chunk(2))["full"]
    first = parsed(agent.first_chunk(3))
    assert not first["full"] and len(first["servers"]) == 3


def test_all_watches_get_each_change_end_in_an_outage_and_are_taken_again_at_the_same_address() -> None:
    async def test() -> None:
        async with Agent([entry(0, 80)]) as agent:
            pairs = [await watched(agent, 1) for _ in range(2)]
            for reader, _ in pairs:
                assert (await next_line(reader))["servers"] == []
            before = agent.sent_bytes
            told = agent.push_change([entry(1, 80)])
            assert agent.sent_bytes - before == 2 * told
            for reader, _ in pairs:
                assert [one["id"][-1] for one in (await next_line(reader))["servers"]] == ["1"]
            agent.start_outage()
            for reader, writer in pairs:
                assert await reader.read() == b""
                writer.close()
            with pytest.raises(ConnectionRefusedError):
                await watched(agent, 2)
            await agent.listen()
            reader, writer = await watched(agent, 1)
            assert (await next_line(reader))["version"] == 2
            assert len(agent.watch_opened_at) == 3
            writer.close()

    run(test())


def test_listed_servers_have_addresses_of_their_own_that_one_process_answers() -> None:
    addresses = {entry(index, 80)["addr"] for index in range(70_000)}
    assert len(addresses) == 70_000 and all(address.startswith("127.") for address in addresses)
    assert "127.0.0.1:80" not in addresses

    async def test() -> None:
        async with running_servers(1.0) as port:
            for index in (0, 7199):
                host = entry(index, port)["addr"].partition(":")[0]
                sample = await run_load((host, port), monotonic() + 0.3, 0.2, rate=50.0)
                assert sample["status"] and set(sample["status"]) == {200}
                assert min(sample["ms"]) >= 1.0  # its service time, and no less
            seen = await fetch_counts(port)
            assert seen["addresses"] == 2 and seen["open"] == 0
            assert seen["accepted"] >= 2

    run(test())


def test_a_load_counts_each_request_once_and_ends_though_nothing_answers() -> None:
    async def silent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read()
        writer.close()

    async def test() -> None:
        server = await asyncio.start_server(silent, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        plan = {"host": host, "port": port, "begin": monotonic(), "seconds": 0.2, "seed": 1, "rate": 100.0}
        sample = await Load(plan).run()
        assert 5 <= len(sample.at) <= 50
        assert set(sample.status) == {0}
        server.close()

    run(test())


def test_the_length_of_a_body_is_read_whatever_the_case_of_its_name() -> None:
    assert content_length(b"POST /api HTTP/1.1\r\nHost: x\r\ncontent-LENGTH: 12") == 12
    assert content_length(b"GET /api HTTP/1.1\r\nHost: x") == 0


def test_a_zone_is_lost_whole_and_comes_back_whole() -> None:
    entries = [entry(index, 80) for index in range(7200)]
    lost, back = zone_outage_changes(entries, FULL.zone_batch_count)
    assert len(lost) == len(back) == 20
    names = [{one["id"] for part in half for one in part} for half in (lost, back)]
    assert names[0] == names[1] and len(names[0]) == 800
    assert {one["state"] for part in lost for one in part} == {"Gone"}


def test_the_full_plan_has_four_points_for_each_slope_and_covers_the_size() -> None:
    assert len(FULL.server_counts) >= 4 and len(FULL.node_counts) >= 4 and len(FULL.tenant_counts) >= 4
    assert FULL.server_counts[-1] == 7200 and FULL.tenant_counts[-1] == 44_000
    assert SMOKE.server_counts[-1] < 100


def phase(ms: list[float], direct: list[float]) -> Phase:
    return Phase(np.array(ms), np.array(direct), 0.0, 400.0, 0.1, 0.0, 0.0, 0.0, 0.0)


def test_added_time_is_the_difference_of_the_same_percentile_over_the_same_stretch() -> None:
    one = phase([float(number) for number in range(1001)], [number / 10 for number in range(1001)])
    assert added_ms(one, 50.0) == pytest.approx(450.0)
    assert added_ms(one, 99.0) == pytest.approx(891.0)


def test_the_bound_of_99_in_100_holds_for_each_stretch_of_the_full_plan() -> None:
    enough, few = phase([1.0] * 1000, [1.0]), phase([1.0] * 999, [1.0])
    assert p99_bound_ms([enough, enough]) == MAX_ADDED_P99_MS == 6.9
    assert p99_bound_ms([enough, few]) is None
    assert REQUESTS_PER_SECOND * FULL.window_seconds / 2 / FULL.repeats > 1.1 * 1000
    assert (
        REQUESTS_PER_SECOND * 2 * (FULL.zone_batch_count * CHANGE_GAP_SECONDS + FULL.pause_seconds)
        > 1.1 * 1000
    )


def test_over_a_minute_a_stretch_weighs_as_its_requests_do() -> None:
    """Of 16,380 requests 100 are slow: less than one in a hundred; 200 are more."""
    quiet = np.array([1.0] * 4000)
    assert minute_p99_ms(np.array([50.0] * 100), quiet) == 1.0
    assert minute_p99_ms(np.array([50.0] * 200), quiet) == 50.0


def test_a_slope_is_the_rise_over_all_sizes_of_its_figure() -> None:
    report = Report()
    for size in (1, 2, 4, 8):
        report.add_median("cost", size, [3.0 * size + 1, 3.0 * size + 2, 3.0 * size + 9], "ms", "a run")
    assert report.add_slope("cost", "nodes", "ms/node", "") == pytest.approx(3.0)
    assert report.value("cost", 4) == 14.0
    assert report.figures[0]["spread"] == pytest.approx(4.0)
