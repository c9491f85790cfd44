"""Tests of the discovery watch: its updates and its failures."""

from __future__ import annotations

import asyncio
import json

import pytest
from rig import Discovery, Rig, Server, configuration, request, run, until

from moleport.node import discovery_limits
from moleport.node.name_hashing import hash_name
from moleport.policy.interface import EndpointState, EndpointUpdateKind


def test_deltas_and_snapshots_reach_the_policy_in_order() -> None:
    """A new watch requests the updates after the last version; start times use the monotonic clock."""

    async def test() -> None:
        async with (
            Discovery() as source,
            Server("s-1") as first,
            Server("s-2") as second,
            Server("s-3") as older,
            Rig(configuration(first, discovery=source.address)) as rig,
        ):
            assert [
                len(update.endpoints) for update in rig.spy.endpoint_updates(EndpointUpdateKind.CACHED)
            ] == [1]
            rig.watch()
            await until(lambda: source.targets)
            assert source.targets == ["GET /discovery/hosts?watch=1&from=7 HTTP/1.1"]
            second.started_ms = 1_700_000_000_000
            source.push_bytes(b"\n")
            older.started_ms = second.started_ms - 5000
            source.push(9, second, older)
            await until(lambda: rig.spy.endpoint_updates(EndpointUpdateKind.DELTA))
            server, earlier_started = rig.spy.endpoint_updates(EndpointUpdateKind.DELTA)[0].endpoints
            assert (server.id, server.state) == (hash_name("s-2"), EndpointState.READY)
            age = asyncio.get_running_loop().time() * 1e9 - server.started_at_ns
            assert 0 <= age < 1e9  # the newest start of the initial list is now, regardless of wall clocks
            assert server.started_at_ns - earlier_started.started_at_ns == 5 * 10**9
            assert rig.node._ready_endpoint_ids == {hash_name("s-1"), hash_name("s-2"), hash_name("s-3")}
            source.push(12, second, full=True)
            await until(lambda: rig.spy.endpoint_updates(EndpointUpdateKind.SNAPSHOT))
            assert rig.node._ready_endpoint_ids == {hash_name("s-2")}
            source.drop()
            await until(lambda: rig.spy.endpoint_updates(EndpointUpdateKind.FAILED))
            rig.watch()
            await until(lambda: len(source.targets) == 2)
            assert "from=12 " in source.targets[1]

    run(test())


def test_an_update_received_in_pieces_is_one_update() -> None:
    """A read may end at any byte of an update."""

    async def test() -> None:
        async with Discovery() as source, Rig(configuration(discovery=source.address)) as rig:
            rig.watch()
            await until(lambda: source.targets)
            for piece in (b'{"version":8,', b'"full":true,"servers":[]}', b"\n"):
                source.push_bytes(piece)
                await asyncio.sleep(0.01)
            await until(lambda: rig.spy.endpoint_updates(EndpointUpdateKind.SNAPSHOT))

    run(test())


def snapshot_text(version: int, *servers: Server, indent: int | None = None) -> bytes:
    """Return a snapshot of the servers as discovery sends it."""
    entries = [server.entry() for server in servers]
    return json.dumps({"version": version, "full": True, "servers": entries}, indent=indent).encode()


@pytest.mark.parametrize("piece_bytes", [1, 7, 4096])
def test_updates_may_be_indented_and_split_anywhere(piece_bytes: int) -> None:
    """An update ends with its last brace, not at the end of a line; one read may contain several updates."""

    async def test() -> None:
        async with (
            Discovery() as source,
            Server('s-"{') as first,
            Server("s-\\") as second,
            Rig(configuration(discovery=source.address)) as rig,
        ):
            rig.watch()
            await until(lambda: source.targets)
            data = b"\n%s\n\n%s%s\n" % (
                snapshot_text(8, first, indent=2),
                snapshot_text(9, second),
                snapshot_text(10, first, second, indent=1),
            )
            for begin in range(0, len(data), piece_bytes):
                source.push_bytes(data[begin : begin + piece_bytes])
            await until(lambda: len(rig.spy.endpoint_updates(EndpointUpdateKind.SNAPSHOT)) == 3)
            snapshots = rig.spy.endpoint_updates(EndpointUpdateKind.SNAPSHOT)
            assert [len(update.endpoints) for update in snapshots] == [1, 1, 2]
            assert rig.node._ready_endpoint_ids == {hash_name('s-"{'), hash_name("s-\\")}
            assert not rig.spy.endpoint_updates(EndpointUpdateKind.FAILED) and len(source.targets) == 1

    run(test())


@pytest.mark.parametrize("fault", ["silent", "headers", "cut", "bytes"])
def test_a_watch_without_a_complete_line_in_time_is_replaced(
    fault: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A watch ends without data, and also if its data never completes a line."""
    for name in ("AGENT_RESPONSE_TIMEOUT_S", "FIRST_DATA_TIMEOUT_S", "DATA_TIMEOUT_S"):
        monkeypatch.setattr(discovery_limits, name, 0.3)
    monkeypatch.setattr(
        discovery_limits, "AGENT_RESPONSE_TIMEOUT_S" if fault == "silent" else "FIRST_DATA_TIMEOUT_S", 0.1
    )

    async def test() -> None:
        async with Discovery() as source, Server("s-1") as server:
            normal_reply = source.reply
            if fault == "silent":
                source.reply = b""
            elif fault == "bytes":
                source.reply = b"HTTP/1.1 100 Continue\r\n\r\n" * 3
            document = configuration(discovery=source.address)
            document["settings"]["MembershipMode"] = "pushed"
            async with Rig(document) as rig:
                await until(lambda: source.targets)
                source.reply = normal_reply
                if fault == "cut":
                    source.push_bytes(b'{"version":8,"full":true,"servers":[\n')
                    while len(source.targets) == 1 and source.is_watched():
                        source.push_bytes(b"\n")
                        await asyncio.sleep(0.01)
                await until(lambda: len(source.targets) == 2)
                source.push(9, server, full=True)
                await until(lambda: rig.node.has_endpoints())

    run(test())


def test_a_watch_that_receives_lines_in_time_remains_open(monkeypatch: pytest.MonkeyPatch) -> None:
    """Empty lines are sufficient."""
    monkeypatch.setattr(discovery_limits, "DATA_TIMEOUT_S", 1.5)

    async def test() -> None:
        async with Discovery() as source, Rig(configuration(discovery=source.address)) as rig:
            rig.watch()
            await until(lambda: source.targets)
            for _ in range(80):
                source.push_bytes(b"\n")
                await asyncio.sleep(0.03)
            assert not rig.spy.endpoint_updates(EndpointUpdateKind.FAILED) and len(source.targets) == 1

    run(test())


@pytest.mark.parametrize(
    "text",
    [
        b"not json\n",
        b"[]\n",
        b'{"version":9}\n',
        b'{"version":9,"full":false,"servers":[{"id":"s-3"}]}\n',
        b'{"version":3,"full":false,"servers":[]}\n',
        b"[" * 100_000 + b"\n",
        b"\xff\xfe\n",
        b'{"version":9,"servers":[{"id":"s-3","addr":"host:80","state":"Ready"}]}\n',
        b'{"version":9,"servers":[{"id":"s-3","addr":"10.0.0.1:99999","state":"Ready"}]}\n',
        b'{"version":9,"servers":[{"id":"s-3","addr":"10.0.0.1:80","state":"Asleep"}]}\n',
        b'{"version":true,"servers":[]}\n',
        b'{"version":9,"servers":[{"id":["s-3"],"addr":"10.0.0.1:80","state":"Ready"}]}\n',
        b'{"version":9,"servers":[{"id":"s-3","addr":"10.0.0.1:80","state":"Ready","cell":Infinity}]}\n',
    ],
)
def test_an_invalid_update_is_reported_once_and_does_not_change_the_known_list(text: bytes) -> None:
    """The watch ends and is reported once, regardless of the data that follows."""

    async def test() -> None:
        async with (
            Discovery() as source,
            Server("s-1") as server,
            Rig(configuration(server, discovery=source.address)) as rig,
        ):
            rig.watch()
            await until(lambda: source.targets)
            source.push_bytes(text + text)
            await until(lambda: rig.spy.endpoint_updates(EndpointUpdateKind.FAILED))
            source.drop()
            await asyncio.sleep(0.02)
            assert len(rig.spy.endpoint_updates(EndpointUpdateKind.FAILED)) == 1
            assert rig.node._ready_endpoint_ids == {hash_name("s-1")}

    run(test())


def test_an_older_snapshot_is_applied_only_from_a_new_watch() -> None:
    """An older snapshot on the same watch would revert a drain.

    A discovery service that has restarted its version count sends it again on the next watch.
    """

    async def test() -> None:
        async with (
            Discovery() as source,
            Server("s-1") as first,
            Server("s-2") as second,
            Rig(configuration(first, second, discovery=source.address)) as rig,
        ):
            rig.watch()
            await until(lambda: source.targets)
            source.push(9, first, full=True)
            source.push(8, first, second, full=True)
            await until(lambda: rig.spy.endpoint_updates(EndpointUpdateKind.FAILED))
            assert rig.node._ready_endpoint_ids == {hash_name("s-1")}
            rig.watch()
            await until(lambda: len(source.targets) == 2)
            assert source.targets[1] == "GET /discovery/hosts?watch=1&from=0 HTTP/1.1"
            source.push(3, second, full=True)
            await until(lambda: rig.node._ready_endpoint_ids == {hash_name("s-2")})

    run(test())


@pytest.mark.parametrize("weight", ["Infinity", "NaN", "-3", "0", "1e999"])
def test_an_invalid_weight_is_replaced_by_the_default(weight: str) -> None:
    """A server with an infinite weight would occupy all entries of the hash table."""

    async def test() -> None:
        async with (
            Discovery() as source,
            Server("s-1") as first,
            Server("s-2") as second,
            Rig(configuration(first, discovery=source.address)) as rig,
        ):
            rig.watch()
            await until(lambda: source.targets)
            line = json.dumps({"version": 9, "full": True, "servers": [first.entry(), second.entry()]})
            source.push_bytes(line.replace('"weight": 1.0', f'"weight": {weight}', 1).encode() + b"\n")
            await until(lambda: rig.spy.endpoint_updates(EndpointUpdateKind.SNAPSHOT))
            assert [
                server.weight for server in rig.spy.endpoint_updates(EndpointUpdateKind.SNAPSHOT)[0].endpoints
            ] == [
                1.0,
                1.0,
            ]
            client = await rig.client()
            while not (first.seen and second.seen):
                await client.exchange(request())

    run(test())


@pytest.mark.parametrize("cause", ["503", "end", "garbage", "refused", "silence"])
def test_the_end_of_a_watch_is_reported_once(cause: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Each watch is reported once, regardless of the cause of its end."""
    if cause == "silence":
        monkeypatch.setattr(discovery_limits, "FIRST_DATA_TIMEOUT_S", 0.05)

    async def test() -> None:
        async with Discovery() as source:
            if cause == "503":
                source.reply = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
            elif cause == "garbage":
                source.reply = b"\x00\x01\x02\r\n"
            elif cause == "end":
                source.reply += b"0\r\n\r\n"
            async with Rig(
                configuration(discovery="127.0.0.1:1" if cause == "refused" else source.address)
            ) as rig:
                rig.watch()
                await until(lambda: rig.spy.endpoint_updates(EndpointUpdateKind.FAILED))
                source.drop()
                await asyncio.sleep(0.02)
                assert len(rig.spy.endpoint_updates(EndpointUpdateKind.FAILED)) == 1
                rig.watch()  # as the policy would do; this watch is reported separately
                await until(lambda: len(rig.spy.endpoint_updates(EndpointUpdateKind.FAILED)) == 2)

    run(test())
