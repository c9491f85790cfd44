"""Tests of the adapter: the replies of its process to frames, and its translation of settings and actions."""

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
ENDPOINT_IDS = [bytes([10, 0, 0, n, 0x1F, 0x90]) for n in range(1, 5)]


def select(instance: int) -> bytes:
    """Return a SELECT record for an instance."""
    return struct.pack("<BH", 3, instance)


def attach(config: str = CONFIG, seed: int = 7) -> bytes:
    """Return an ATTACH record, which starts the selected instance."""
    return struct.pack("<BQI", 5, seed, len(config)) + config.encode()


def roster(endpoint_ids: list[bytes], state: int = 1) -> bytes:
    """Return a ROSTER record, which defines endpoint list 0."""
    entries = b"".join(struct.pack("<6sBHHBfQ", name, 0, 0, 0, state, 1.0, 0) for name in endpoint_ids)
    return struct.pack("<BHI", 11, 0, len(endpoint_ids)) + entries


def sync(kind: int = 0) -> bytes:
    """Return a SYNC record, which passes endpoint list 0 to the selected instance."""
    return struct.pack("<BIBH", 0, 1, kind, 0)


def inbound(request_id: int, key: int = 0, class_index: int = 0) -> bytes:
    """Return an INBOUND record, a client's request with 3 s left."""
    return struct.pack("<BQQQIBQB", 7, request_id, 0, 3_000_000_000, 0, class_index, key, 0)


def finished(request_id: int, endpoint_id: bytes, result: int, load_report: tuple[float, ...] = ()) -> bytes:
    """Return a FINISHED record, the end of the first attempt for a request after 1 ms."""
    fixed_fields = struct.pack(
        "<BQBHQ6sHB", 8, request_id, result == 100, result, 1_000_000, endpoint_id, 0, len(load_report)
    )
    return fixed_fields + struct.pack(f"<{len(load_report)}f", *load_report)


def batch(*records: bytes, clock_ns: int = CLOCK_NS) -> bytes:
    """Return an input frame with these records."""
    body = struct.pack("<QI", clock_ns, len(records)) + b"".join(records)
    return struct.pack("<I", len(body)) + body


def start(instance: int = 0) -> bytes:
    """Return an input frame that starts an instance with four ready endpoints."""
    return batch(select(instance), attach(seed=instance + 7), roster(ENDPOINT_IDS), sync())


def run(input_bytes: bytes) -> subprocess.CompletedProcess[bytes]:
    """Run the adapter's process until the end of this input."""
    return subprocess.run(
        [sys.executable, "-m", "moleport.adapter"],
        input=input_bytes,
        capture_output=True,
        cwd=ROOT,
        timeout=60,
    )


def replies(output: bytes) -> list[bytes]:
    """Split the adapter's output into frames without their length fields."""
    frames = []
    while output:
        (length,) = struct.unpack_from("<I", output)
        frames.append(output[4 : 4 + length])
        output = output[4 + length :]
    return frames


def test_an_empty_batch_gets_an_empty_reply() -> None:
    """The bytes are those of the example on the page that describes the protocol."""
    done = run(bytes.fromhex("0c00000090bf68f50100000000000000"))
    assert (done.returncode, done.stderr) == (0, b"")
    assert done.stdout == bytes.fromhex("0400000000000000")


def test_empty_input_ends_the_process_cleanly() -> None:
    """Empty input causes no output and exit code 0."""
    done = run(b"")
    assert (done.returncode, done.stdout, done.stderr) == (0, b"", b"")


def test_a_request_is_forwarded_and_retried_after_an_error() -> None:
    """The retry is the reply to the failed outcome of the first attempt."""
    first = run(start() + batch(select(0), inbound(99, key=5)))
    forward = replies(first.stdout)[1]
    assert struct.unpack_from("<I", forward)[0] == 2
    source_code, instance, action_code, request_id = struct.unpack_from("<BHBQ", forward, 4)
    assert (source_code, instance, action_code, request_id) == (ActionCode.SOURCE, 0, ActionCode.FORWARD, 99)
    endpoint_id = forward[16:22]
    assert endpoint_id in ENDPOINT_IDS
    done = run(
        start()
        + batch(select(0), inbound(99, key=5))
        + batch(select(0), finished(99, endpoint_id, 301, (12.0, 0.5)), clock_ns=CLOCK_NS + 1)
    )
    assert done.returncode == 0
    assert replies(done.stdout)[2][7] == ActionCode.FORWARD  # a retry


def test_an_instance_without_endpoints_rejects_requests() -> None:
    """An empty endpoint list leaves no endpoint to forward to."""
    done = run(batch(select(3), attach(), roster([]), sync()) + batch(select(3), inbound(1)))
    assert replies(done.stdout)[1][7] == ActionCode.BUSY


def test_a_crashed_instance_is_no_longer_attached() -> None:
    """A record for a crashed instance violates the protocol."""
    done = run(start() + batch(select(0), b"\x0a") + batch(select(0), inbound(1)))
    assert done.returncode != 0
    assert b"not attached" in done.stderr


@pytest.mark.parametrize(
    ("input_bytes", "error_text"),
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
        (batch(select(0), attach(), roster(ENDPOINT_IDS, state=9), sync()), "unknown endpoint state 9"),
        (start() + batch(select(0), finished(1, ENDPOINT_IDS[0], 999)), "unknown attempt result 999"),
        (start() + batch(select(0), sync(kind=7)), "unknown endpoint update kind 7"),
        (start() + batch(select(0), inbound(1, class_index=9)), "unknown request class 9"),
    ],
    ids=lambda value: value if isinstance(value, str) else "",
)
def test_a_malformed_frame_ends_the_adapter_with_one_line(input_bytes: bytes, error_text: str) -> None:
    """The line describes the violation of the protocol; there is no traceback."""
    done = run(input_bytes)
    message = done.stderr.decode()
    assert done.returncode != 0
    assert error_text in message
    assert message.count("\n") == 1 and "Traceback" not in message


REQUIRED_PATHS = [line.split("=")[0] for line in CONFIG.splitlines() if not line.startswith("Some.")]


@pytest.mark.parametrize("path", REQUIRED_PATHS)
def test_a_missing_required_setting_is_named(path: str) -> None:
    """Each required setting is left out alone."""
    remaining = "\n".join(line for line in CONFIG.splitlines() if not line.startswith(path + "="))
    with pytest.raises(SettingsError, match=re.escape(path)):
        translation.read_settings(remaining)


def test_the_index_of_the_node_is_optional() -> None:
    """The index is None if the setting is missing; a negative one is an error."""
    without_index = "".join(line for line in CONFIG.splitlines(True) if not line.startswith("SelfIndex="))
    assert translation.read_settings(without_index).node_index is None
    assert translation.read_settings(without_index + "SelfIndex=3\n").node_index == 3
    with pytest.raises(SettingsError, match="SelfIndex"):
        translation.read_settings(without_index + "SelfIndex=-1\n")


def test_the_overload_window_is_optional() -> None:
    """The default applies if the setting is missing."""
    assert translation.read_settings(CONFIG).overload_window_ns == api.DEFAULT_OVERLOAD_WINDOW_NS
    assert (
        translation.read_settings(CONFIG + "Contract.Fall=1500000000\n").overload_window_ns == 1_500_000_000
    )


def test_the_overload_multiple_is_optional() -> None:
    """The default applies if the setting is missing."""
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
    """The single line of the error contains the path of the setting."""
    config = re.sub(rf"(?m)^{re.escape(path)}=.*$", f"{path}={value}", CONFIG)
    done = run(batch(select(0), attach(config), roster(ENDPOINT_IDS), sync()))
    assert done.returncode != 0
    assert path in done.stderr.decode()
    assert done.stderr.count(b"\n") == 1


@pytest.mark.parametrize(
    ("path", "value", "error_text"),
    [
        ("Contract.ColdShare", "1.5", "Contract.ColdShare (slow_start_initial_ratio) is out of range: 1.5"),
        ("Grades.0.LateShare", "2.0", "Grades.0.LateShare (late_weight_ratio) is out of range: 2.0"),
        ("Grades.count", "0", "Grades (classes) is out of range"),
    ],
)
def test_a_setting_out_of_range_ends_the_adapter_and_is_named(path: str, value: str, error_text: str) -> None:
    """The single line of the error contains the path in the protocol and the name of the field."""
    config = re.sub(rf"(?m)^{re.escape(path)}=.*$", f"{path}={value}", CONFIG)
    done = run(batch(select(0), attach(config), roster(ENDPOINT_IDS), sync()))
    assert (done.returncode, done.stdout) == (1, b"")
    assert error_text in done.stderr.decode() and done.stderr.count(b"\n") == 1


def test_settings_that_are_not_utf_8_end_the_adapter_with_one_line() -> None:
    """The adapter writes neither a traceback nor a reply."""
    attach_record = struct.pack("<BQI", 5, 7, 4) + b"\xff\xfe\x00\x80"
    done = run(batch(select(0), attach_record))
    assert (done.returncode, done.stdout) == (1, b"")
    assert "UTF-8" in done.stderr.decode() and done.stderr.count(b"\n") == 1


def test_ordering_by_key_is_read_from_the_settings() -> None:
    """The settings of the order and of the cooldown are both optional."""
    assert not translation.read_settings(CONFIG).classes[0].ordered_by_key
    settings = translation.read_settings(CONFIG + "Grades.0.OneAtATime=true\nContract.KeyRest=50000000\n")
    assert settings.classes[0].ordered_by_key and settings.key_cooldown_ns == 50_000_000


def test_a_forward_carries_no_write_deadline() -> None:
    """The protocol has no field for a write deadline, as the simulator starts each attempt at once."""
    forward = api.Forward(99, ENDPOINT_IDS[0], 7, write_deadline_ns=5)
    assert translation.encode_action(forward) == struct.pack(
        "<BQ6sQ", ActionCode.FORWARD, 99, ENDPOINT_IDS[0], 7
    )


def test_close_idle_connections_is_encoded() -> None:
    """The action becomes a HANG_UP record."""
    assert translation.encode_action(api.CloseIdleConnections(ENDPOINT_IDS[0])) == b"\x46" + ENDPOINT_IDS[0]


def test_settings_are_read_and_unknown_ones_ignored() -> None:
    """The fields of a load report get the names that this code uses."""
    settings = translation.read_settings(CONFIG)
    assert settings.classes[0].latency_objective_ns == 1_500_000_000
    assert settings.load_report_fields == ("completed_per_s", "utilization")
    assert settings.tenants == ()


def test_an_exception_of_the_decision_module_becomes_a_fault_record(monkeypatch: pytest.MonkeyPatch) -> None:
    """The reply contains the traceback, and no action in place of the failed decision."""

    def fail(self: object, now_ns: int, event: api.Event) -> list[api.Action]:
        raise RuntimeError("made to fail")

    monkeypatch.setattr(translation.Balancer, "handle", fail)
    sink = io.BytesIO()
    serve(io.BytesIO(start()), sink)
    (reply,) = replies(sink.getvalue())
    assert b"made to fail" in reply
    assert ActionCode.FORWARD not in (reply[7],)


def test_instances_act_the_same_in_one_process_and_in_separate_processes() -> None:
    """Guards against state that instances in one process share."""

    def input_frames(instances: list[int]) -> bytes:
        start_records = [
            r for i in instances for r in (select(i), attach(seed=i), roster(ENDPOINT_IDS), sync())
        ]
        frames = [batch(*start_records)]
        for n in range(60):
            records = [r for i in instances for r in (select(i), inbound(1000 * i + n, key=n % 7))]
            frames.append(batch(*records, clock_ns=CLOCK_NS + n * 1_000_000))
        return b"".join(frames)

    joint_replies = replies(run(input_frames([0, 1, 2])).stdout)
    separate_replies = [replies(run(input_frames([i])).stdout) for i in range(3)]
    assert len(joint_replies) == 61
    for index, reply in enumerate(joint_replies):
        assert reply[4:] == b"".join(replies_of_one[index][4:] for replies_of_one in separate_replies)
