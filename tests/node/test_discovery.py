"""The discovery watch: its updates and its failures."""

from __future__ import annotations

import asyncio
import json

import pytest
from rig import Discovery, Rig, Server, configuration, request, run, until

from moleport.node import discovery_watch as discovery
from moleport.node.name_hashing import hash_name
from moleport.policy.interface import EndpointState, EndpointUpdateKind


def test_deltas_and_snapshots_reach_the_policy_in_order() -> None:
    """The watch resumes after the last version; start times are those of the monotonic clock."""

    async def test() -> None:
        async with (
            Discovery() as source,
            Server("s-1") as one,
            Server("s-2") as two,
            Server("s-3") as older,
            Rig(configuration(one, discovery=source.address)) as rig,
        ):
            assert [len(update.endpoints) for update in rig.spy.lists(EndpointUpdateKind.CACHED)] == [1]
            rig.watch()
            await until(lambda: source.targets)
            assert source.targets == ["GET /discovery/hosts?watch=1&from=7 HTTP/1.1"]
            two.started_ms = 1_700_000_000_000
            source.push_bytes(b"\n")
            older.started_ms = two.started_ms - 5000
            source.push(9, two, older)
            await until(lambda: rig.spy.lists(EndpointUpdateKind.DELTA))
            server, other = rig.spy.lists(EndpointUpdateKind.DELTA)[0].endpoints
            assert (server.id, server.state) == (hash_name("s-2"), EndpointState.READY)
            age = asyncio.get_running_loop().time() * 1e9 - server.started_at_ns
            assert 0 <= age < 1e9  # the newest start of the initial list is now, whatever the wall clock is
            assert server.started_at_ns - other.started_at_ns == 5 * 10**9
            assert rig.node._ready_endpoint_ids == {hash_name("s-1"), hash_name("s-2"), hash_name("s-3")}
            source.push(12, two, full=True)
            await until(lambda: rig.spy.lists(EndpointUpdateKind.SNAPSHOT))
            assert rig.node._ready_endpoint_ids == {hash_name("s-2")}
            source.drop()
            await until(lambda: rig.spy.lists(EndpointUpdateKind.FAILED))
            rig.watch()
            await until(lambda: len(source.targets) == 2)
            assert "from=12 " in source.targets[1]

    run(test())


def test_an_update_received_in_pieces_is_one_update() -> None:
    """Reads may end anywhere within an update."""

    async def test() -> None:
        async with Discovery() as source, Rig(configuration(discovery=source.address)) as rig:
            rig.watch()
            await until(lambda: source.targets)
            for piece in (b'{"version":8,', b'"full":true,"servers":[]}', b"\n"):
                source.push_bytes(piece)
                await asyncio.sleep(0.01)
            await until(lambda: rig.spy.lists(EndpointUpdateKind.SNAPSHOT))

    run(test())


def snapshot_text(version: int, *servers: Server, indent: int | None = None) -> bytes:
    """Return a snapshot of servers as discovery writes it."""
    entries = [server.entry() for server in servers]
    return json.dumps({"version": version, "full": True, "servers": entries}, indent=indent).encode()


@pytest.mark.parametrize("size", [1, 7, 4096])
def test_updates_may_be_indented_and_cut_anywhere(size: int) -> None:
    """An update ends with its last brace, not with its line; one read may hold several."""

    async def test() -> None:
        async with (
            Discovery() as source,
            Server('s-"{') as one,
            Server("s-\\") as two,
            Rig(configuration(discovery=source.address)) as rig,
        ):
            rig.watch()
            await until(lambda: source.targets)
            data = b"\n%s\n\n%s%s\n" % (
                snapshot_text(8, one, indent=2),
                snapshot_text(9, two),
                snapshot_text(10, one, two, indent=1),
            )
            for begin in range(0, len(data), size):
                source.push_bytes(data[begin : begin + size])
            await until(lambda: len(rig.spy.lists(EndpointUpdateKind.SNAPSHOT)) == 3)
            snapshots = rig.spy.lists(EndpointUpdateKind.SNAPSHOT)
            assert [len(update.endpoints) for update in snapshots] == [1, 1, 2]
            assert rig.node._ready_endpoint_ids == {hash_name('s-"{'), hash_name("s-\\")}
            assert not rig.spy.lists(EndpointUpdateKind.FAILED) and len(source.targets) == 1

    run(test())


@pytest.mark.parametrize("how", ["silent", "headers", "cut", "bytes"])
def test_a_watch_without_a_complete_line_in_time_is_replaced(
    how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Neither silence nor bytes that complete no line keep a watch open."""
    for name in ("AGENT_RESPONSE_TIMEOUT_S", "FIRST_DATA_TIMEOUT_S", "DATA_TIMEOUT_S"):
        monkeypatch.setattr(discovery, name, 0.3)
    monkeypatch.setattr(
        discovery, "AGENT_RESPONSE_TIMEOUT_S" if how == "silent" else "FIRST_DATA_TIMEOUT_S", 0.1
    )

    async def test() -> None:
        async with Discovery() as source, Server("s-1") as server:
            whole = source.reply
            if how == "silent":
                source.reply = b""
            elif how == "bytes":
                source.reply = b"HTTP/1.1 100 Continue\r\n\r\n" * 3
            document = configuration(discovery=source.address)
            document["settings"]["MembershipMode"] = "pushed"
            async with Rig(document) as rig:
                await until(lambda: source.targets)
                source.reply = whole
                if how == "cut":
                    source.push_bytes(b'{"version":8,"full":true,"servers":[\n')
                    while len(source.targets) == 1 and source.is_watched():
                        source.push_bytes(b"\n")
                        await asyncio.sleep(0.01)
                await until(lambda: len(source.targets) == 2)
                source.push(9, server, full=True)
                await until(lambda: rig.node.has_endpoints())

    run(test())


def test_a_watch_with_lines_in_time_stays_open(monkeypatch: pytest.MonkeyPatch) -> None:
    """Empty lines are enough."""
    monkeypatch.setattr(discovery, "DATA_TIMEOUT_S", 1.5)

    async def test() -> None:
        async with Discovery() as source, Rig(configuration(discovery=source.address)) as rig:
            rig.watch()
            await until(lambda: source.targets)
            for _ in range(80):
                source.push_bytes(b"\n")
                await asyncio.sleep(0.03)
            assert not rig.spy.lists(EndpointUpdateKind.FAILED) and len(source.targets) == 1

    run(test())


@pytest.mark.parametrize(
    "line",
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
def test_an_invalid_update_is_one_failure_and_keeps_the_known_list(line: bytes) -> None:
    """The watch ends and is reported once, whatever follows on it."""

    async def test() -> None:
        async with (
            Discovery() as source,
            Server("s-1") as server,
            Rig(configuration(server, discovery=source.address)) as rig,
        ):
            rig.watch()
            await until(lambda: source.targets)
            source.push_bytes(line + line)
            await until(lambda: rig.spy.lists(EndpointUpdateKind.FAILED))
            source.drop()
            await asyncio.sleep(0.02)
            assert len(rig.spy.lists(EndpointUpdateKind.FAILED)) == 1
            assert rig.node._ready_endpoint_ids == {hash_name("s-1")}

    run(test())


def test_an_older_snapshot_is_applied_only_from_a_new_watch() -> None:
    """It would revert a drain; a discovery that has restarted its count sends it again on the next watch."""

    async def test() -> None:
        async with (
            Discovery() as source,
            Server("s-1") as one,
            Server("s-2") as two,
            Rig(configuration(one, two, discovery=source.address)) as rig,
        ):
            rig.watch()
            await until(lambda: source.targets)
            source.push(9, one, full=True)
            source.push(8, one, two, full=True)
            await until(lambda: rig.spy.lists(EndpointUpdateKind.FAILED))
            assert rig.node._ready_endpoint_ids == {hash_name("s-1")}
            rig.watch()
            await until(lambda: len(source.targets) == 2)
            assert source.targets[1] == "GET /discovery/hosts?watch=1&from=0 HTTP/1.1"
            source.push(3, two, full=True)
            await until(lambda: rig.node._ready_endpoint_ids == {hash_name("s-2")})

    run(test())


@pytest.mark.parametrize("weight", ["Infinity", "NaN", "-3", "0", "1e999"])
def test_an_invalid_weight_counts_as_the_default(weight: str) -> None:
    """An infinite weight would leave no entry of the hash table to other servers."""

    async def test() -> None:
        async with (
            Discovery() as source,
            Server("s-1") as one,
            Server("s-2") as two,
            Rig(configuration(one, discovery=source.address)) as rig,
        ):
            rig.watch()
            await until(lambda: source.targets)
            line = json.dumps({"version": 9, "full": True, "servers": [one.entry(), two.entry()]})
            source.push_bytes(line.replace('"weight": 1.0', f'"weight": {weight}', 1).encode() + b"\n")
            await until(lambda: rig.spy.lists(EndpointUpdateKind.SNAPSHOT))
            assert [server.weight for server in rig.spy.lists(EndpointUpdateKind.SNAPSHOT)[0].endpoints] == [
                1.0,
                1.0,
            ]
            client = await rig.client()
            while not (one.seen and two.seen):
                await client.ask(request())

    run(test())


@pytest.mark.parametrize("how", ["503", "end", "garbage", "refused", "silence"])
def test_the_end_of_a_watch_is_reported_once(how: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Each watch has its own report, whatever ends it."""
    if how == "silence":
        monkeypatch.setattr(discovery, "FIRST_DATA_TIMEOUT_S", 0.05)

    async def test() -> None:
        async with Discovery() as source:
            if how == "503":
                source.reply = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
            elif how == "garbage":
                source.reply = b"\x00\x01\x02\r\n"
            elif how == "end":
                source.reply += b"0\r\n\r\n"
            async with Rig(
                configuration(discovery="127.0.0.1:1" if how == "refused" else source.address)
            ) as rig:
                rig.watch()
                await until(lambda: rig.spy.lists(EndpointUpdateKind.FAILED))
                source.drop()
                await asyncio.sleep(0.02)
                assert len(rig.spy.lists(EndpointUpdateKind.FAILED)) == 1
                rig.watch()  # the policy decides when; each watch has its own report
                await until(lambda: len(rig.spy.lists(EndpointUpdateKind.FAILED)) == 2)

    run(test())
