"""The adapter of the simulator's protocol: the real process on hand-made frames, and its translation."""

from __future__ import annotations

import io
import re
import struct
import subprocess
import sys
from pathlib import Path

import pytest

from moleport.adapter import translation
from moleport.adapter.__main__ import serve
from moleport.adapter.records import ActionCode
from moleport.config.settings import SettingsError
from moleport.policy import interface as api

ROOT = Path(__file__).parents[2]
CLOCK_NS = 8_418_000_000

CONFIG = """\
Contract.AskWithin=10000000000
Contract.Cold=22000000000
Contract.ColdShare=0.14
Feedback.Fields=tps,load_share
Grades.count=1
Grades.0.Aim=1500000000
Grades.0.Group=all
Grades.0.LateShare=0.0
Grades.0.MemorySpan=5000000000
Grades.0.Semantics=repeatable
Grades.0.Worth=5.0
Limits.IdleClose=15000000000
Limits.MaxRetryAfter=2000000000
Limits.RetryAfter=true
Limits.SendCap=4
MembershipMode=pushed
PeersTotal=1
Some.Unknown.Key=whatever
WorthBy=request
"""
SERVERS = [bytes([10, 0, 0, n, 0x1F, 0x90]) for n in range(1, 5)]


def select(instance: int) -> bytes:
    """Return a record that selects an instance."""
    return struct.pack("<BH", 3, instance)


def attach(config: str = CONFIG, seed: int = 7) -> bytes:
    """Return a record that starts the selected instance."""
    return struct.pack("<BQI", 5, seed, len(config)) + config.encode()


def roster(servers: list[bytes], state: int = 1) -> bytes:
    """Return a record that defines endpoint list 0."""
    entries = b"".join(struct.pack("<6sBHHBfQ", name, 0, 0, 0, state, 1.0, 0) for name in servers)
    return struct.pack("<BHI", 11, 0, len(servers)) + entries


def sync(kind: int = 0) -> bytes:
    """Return a record that hands list 0 to the selected instance."""
    return struct.pack("<BIBH", 0, 1, kind, 0)


def inbound(request: int, key: int = 0, class_index: int = 0) -> bytes:
    """Return a record of a client's request."""
    return struct.pack("<BQQQIBQB", 7, request, 0, 3_000_000_000, 0, class_index, key, 0)


def finished(request: int, server: bytes, result: int, report: tuple[float, ...] = ()) -> bytes:
    """Return a record of the end of an attempt."""
    head = struct.pack("<BQBHQ6sHB", 8, request, result == 100, result, 1_000_000, server, 0, len(report))
    return head + struct.pack(f"<{len(report)}f", *report)


def batch(*records: bytes, clock_ns: int = CLOCK_NS) -> bytes:
    """Return an input frame."""
    body = struct.pack("<QI", clock_ns, len(records)) + b"".join(records)
    return struct.pack("<I", len(body)) + body


def start(instance: int = 0) -> bytes:
    """Return an input frame that starts an instance with four ready endpoints."""
    return batch(select(instance), attach(seed=instance + 7), roster(SERVERS), sync())


def run(data: bytes) -> subprocess.CompletedProcess[bytes]:
    """Run the adapter process on this input."""
    return subprocess.run(
        [sys.executable, "-m", "moleport.adapter"], input=data, capture_output=True, cwd=ROOT, timeout=60
    )


def replies(output: bytes) -> list[bytes]:
    """Split the adapter's output into frames without their length fields."""
    found = []
    while output:
        (length,) = struct.unpack_from("<I", output)
        found.append(output[4 : 4 + length])
        output = output[4 + length :]
    return found


def test_an_empty_batch_gets_an_empty_reply() -> None:
    """The bytes of the protocol page's example."""
    done = run(bytes.fromhex("0c00000090bf68f50100000000000000"))
    assert (done.returncode, done.stderr) == (0, b"")
    assert done.stdout == bytes.fromhex("0400000000000000")


def test_empty_input_ends_the_process_cleanly() -> None:
    """No input gives no output and exit code 0."""
    done = run(b"")
    assert (done.returncode, done.stdout, done.stderr) == (0, b"", b"")


def test_a_request_is_forwarded_and_retried_after_an_error() -> None:
    """The second attempt follows the outcome of the first."""
    first = run(start() + batch(select(0), inbound(99, key=5)))
    forward = replies(first.stdout)[1]
    assert struct.unpack_from("<I", forward)[0] == 2
    code, source, action, request = struct.unpack_from("<BHBQ", forward, 4)
    assert (code, source, action, request) == (ActionCode.SOURCE, 0, ActionCode.FORWARD, 99)
    server = forward[16:22]
    assert server in SERVERS
    done = run(
        start()
        + batch(select(0), inbound(99, key=5))
        + batch(select(0), finished(99, server, 301, (12.0, 0.5)), clock_ns=CLOCK_NS + 1)
    )
    assert done.returncode == 0
    assert replies(done.stdout)[2][7] == ActionCode.FORWARD  # a retry


def test_an_instance_without_endpoints_rejects_requests() -> None:
    """An empty list leaves nobody to forward to."""
    done = run(batch(select(3), attach(), roster([]), sync()) + batch(select(3), inbound(1)))
    assert replies(done.stdout)[1][7] == ActionCode.BUSY


def test_a_crashed_instance_is_no_longer_attached() -> None:
    """A record for it breaks the protocol."""
    done = run(start() + batch(select(0), b"\x0a") + batch(select(0), inbound(1)))
    assert done.returncode != 0
    assert b"not attached" in done.stderr


@pytest.mark.parametrize(
    ("data", "named"),
    [
        (b"\x0c\x00", "length field"),
        (start()[:-3], "truncated frame"),
        (batch(b"\xc8"), "event code 200"),
        (batch(select(0))[:4] + b"\x00", "truncated frame"),
        (struct.pack("<I", 3) + b"abc", "too few"),
        (struct.pack("<IQI", 12, CLOCK_NS, 2), "2 records announced"),
        (struct.pack("<IQI", 15, CLOCK_NS, 0) + select(0), "follow the last record"),
        (batch(struct.pack("<BQ", 7, 1)), "is truncated"),
        (batch(inbound(1)), "precedes the first SELECT"),
        (batch(select(4), inbound(1)), "not attached"),
        (batch(select(0), attach(), sync()), "unknown endpoint list number 0"),
        (batch(select(0), attach(), roster(SERVERS, state=9), sync()), "unknown endpoint state 9"),
        (start() + batch(select(0), finished(1, SERVERS[0], 999)), "unknown attempt result 999"),
        (start() + batch(select(0), sync(kind=7)), "unknown endpoint update kind 7"),
        (start() + batch(select(0), inbound(1, class_index=9)), "unknown request class 9"),
    ],
    ids=lambda value: value if isinstance(value, str) else "",
)
def test_a_malformed_frame_ends_the_adapter_with_one_line(data: bytes, named: str) -> None:
    """The line says what is wrong; no traceback."""
    done = run(data)
    message = done.stderr.decode()
    assert done.returncode != 0
    assert named in message
    assert message.count("\n") == 1 and "Traceback" not in message


REQUIRED = [line.split("=")[0] for line in CONFIG.splitlines() if not line.startswith("Some.")]


@pytest.mark.parametrize("path", REQUIRED)
def test_a_missing_required_setting_is_named(path: str) -> None:
    """Each of the required paths, left out alone."""
    remaining = "\n".join(line for line in CONFIG.splitlines() if not line.startswith(path + "="))
    with pytest.raises(SettingsError, match=re.escape(path)):
        translation.read_settings(remaining)


def test_the_index_of_the_node_is_optional() -> None:
    without = "".join(line for line in CONFIG.splitlines(True) if not line.startswith("SelfIndex="))
    assert translation.read_settings(without).node_index is None
    assert translation.read_settings(without + "SelfIndex=3\n").node_index == 3
    with pytest.raises(SettingsError, match="SelfIndex"):
        translation.read_settings(without + "SelfIndex=-1\n")


def test_the_overload_window_is_optional() -> None:
    """Without it the default holds."""
    assert translation.read_settings(CONFIG).overload_window_ns == api.DEFAULT_OVERLOAD_WINDOW_NS
    assert (
        translation.read_settings(CONFIG + "Contract.Fall=1500000000\n").overload_window_ns == 1_500_000_000
    )


def test_the_overload_multiple_is_optional() -> None:
    """Without it the default holds."""
    assert translation.read_settings(CONFIG).overload_multiple == api.DEFAULT_OVERLOAD_MULTIPLE
    assert translation.read_settings(CONFIG + "Contract.FallMultiple=4.0\n").overload_multiple == 4.0


@pytest.mark.parametrize(
    ("path", "value"),
    [
        ("Grades.0.Aim", "soon"),
        ("Grades.0.Semantics", "sometimes"),
        ("Contract.ColdShare", "nan"),
        ("Limits.RetryAfter", "perhaps"),
        ("Grades.count", "-1"),
        ("PeersTotal", "0"),
        ("Grades.0.Aim", "0"),
    ],
)
def test_an_unreadable_setting_ends_the_adapter_and_is_named(path: str, value: str) -> None:
    """The line names the setting by its path."""
    config = re.sub(rf"(?m)^{re.escape(path)}=.*$", f"{path}={value}", CONFIG)
    done = run(batch(select(0), attach(config), roster(SERVERS), sync()))
    assert done.returncode != 0
    assert path in done.stderr.decode()
    assert done.stderr.count(b"\n") == 1


@pytest.mark.parametrize(
    ("path", "value", "named"),
    [
        ("Contract.ColdShare", "1.5", "Contract.ColdShare (slow_start_initial_ratio) is out of range: 1.5"),
        ("Grades.0.LateShare", "2.0", "Grades.0.LateShare (late_weight_ratio) is out of range: 2.0"),
        ("Grades.count", "0", "Grades (classes) is out of range"),
    ],
)
def test_a_setting_out_of_range_ends_the_adapter_and_is_named(path: str, value: str, named: str) -> None:
    """The line names the protocol's key and the project's term."""
    config = re.sub(rf"(?m)^{re.escape(path)}=.*$", f"{path}={value}", CONFIG)
    done = run(batch(select(0), attach(config), roster(SERVERS), sync()))
    assert (done.returncode, done.stdout) == (1, b"")
    assert named in done.stderr.decode() and done.stderr.count(b"\n") == 1


def test_settings_that_are_not_utf_8_end_the_adapter_with_one_line() -> None:
    """No traceback, and no reply."""
    head = struct.pack("<BQI", 5, 7, 4) + b"\xff\xfe\x00\x80"
    done = run(batch(select(0), head))
    assert (done.returncode, done.stdout) == (1, b"")
    assert "UTF-8" in done.stderr.decode() and done.stderr.count(b"\n") == 1


def test_ordering_by_key_is_read_from_the_settings() -> None:
    """Both settings are optional."""
    assert not translation.read_settings(CONFIG).classes[0].ordered_by_key
    found = translation.read_settings(CONFIG + "Grades.0.OneAtATime=true\nContract.KeyRest=50000000\n")
    assert found.classes[0].ordered_by_key and found.key_cooldown_ns == 50_000_000


def test_a_forward_carries_no_write_deadline() -> None:
    """The protocol has no field for it: the simulator starts an attempt at once."""
    send = api.Forward(99, SERVERS[0], 7, write_deadline_ns=5)
    assert translation.encode_action(send) == struct.pack("<BQ6sQ", ActionCode.FORWARD, 99, SERVERS[0], 7)


def test_close_idle_connections_is_encoded() -> None:
    """The protocol calls it HANG_UP."""
    assert translation.encode_action(api.CloseIdleConnections(SERVERS[0])) == b"\x46" + SERVERS[0]


def test_settings_are_read_and_unknown_ones_ignored() -> None:
    """Report fields get the project's names."""
    found = translation.read_settings(CONFIG)
    assert found.classes[0].latency_objective_ns == 1_500_000_000
    assert found.load_report_fields == ("completed_per_s", "utilization")
    assert found.tenants == ()


def test_an_exception_in_the_module_becomes_a_fault(monkeypatch: pytest.MonkeyPatch) -> None:
    """The reply holds the traceback and no action."""

    def fail(self: object, now: int, event: api.Event) -> list[api.Action]:
        raise RuntimeError("made to fail")

    monkeypatch.setattr(translation.Balancer, "handle", fail)
    sink = io.BytesIO()
    serve(io.BytesIO(start()), sink)
    (reply,) = replies(sink.getvalue())
    assert b"made to fail" in reply
    assert ActionCode.FORWARD not in (reply[7],)


def test_instances_act_alike_in_one_process_and_in_several() -> None:
    """Instances share no state."""

    def rounds(instances: list[int]) -> bytes:
        begin = [r for i in instances for r in (select(i), attach(seed=i), roster(SERVERS), sync())]
        frames = [batch(*begin)]
        for n in range(60):
            records = [r for i in instances for r in (select(i), inbound(1000 * i + n, key=n % 7))]
            frames.append(batch(*records, clock_ns=CLOCK_NS + n * 1_000_000))
        return b"".join(frames)

    together = replies(run(rounds([0, 1, 2])).stdout)
    apart = [replies(run(rounds([i])).stdout) for i in range(3)]
    assert len(together) == 61
    for number, reply in enumerate(together):
        assert reply[4:] == b"".join(one[number][4:] for one in apart)
