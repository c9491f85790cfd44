"""The codec of the simulator's frames: bytes to records and actions to bytes.

All numbers are little-endian and unpadded.

Input frame: length (u32, of what follows), clock (u64, ns), record count (u32), records.
Output frame: length (u32, of what follows), action count (u32), actions.

The instance that a SELECT record names holds for the records after it in the same frame.

A record is its code (u8), its fixed fields, and for some codes a content whose item count is the last fixed
field. The layouts are in `_FORMATS` (input) and `_ACTIONS` (output), in the notation of the struct module.
"""

from __future__ import annotations

import struct
from collections.abc import Callable
from typing import BinaryIO, NamedTuple

from moleport.adapter.records import (
    ActionCode,
    AttachRecord,
    AttemptOutcomeRecord,
    ClientDisconnectedRecord,
    CrashRecord,
    EndpointListRecord,
    EndpointUpdateRecord,
    EventCode,
    IgnoredRecord,
    ListEntry,
    Record,
    RequestRecord,
    SelectRecord,
    TimerFiredRecord,
)


class WireError(Exception):
    """A frame that breaks the protocol; the text says how."""


class Batch(NamedTuple):
    """The content of one input frame."""

    clock_ns: int
    records: list[Record]


Content = bytes | tuple[float, ...] | list[ListEntry]

_LENGTH = struct.Struct("<I")
_BATCH_HEADER = struct.Struct("<QI")
_REPLY_HEADER = struct.Struct("<II")
_ENTRY = struct.Struct("<6sBHHBfQ")
_FLOAT_BYTES = 4
_ACTION_COUNT_BYTES = 4
_MAX_TEXT_BYTES = 60_000  # a bound of the adapter, below what the length field takes

_ACTIONS = {
    ActionCode.FORWARD: struct.Struct("<BQ6sQ"),  # request, endpoint, timeout in ns
    ActionCode.BUSY: struct.Struct("<BQQ"),  # request, time to stay away in ns
    ActionCode.REPORT_FAILURE: struct.Struct("<BQ"),  # request
    ActionCode.WAKE_AT: struct.Struct("<BQI"),  # clock time in ns, timer
    ActionCode.HANG_UP: struct.Struct("<B6s"),  # endpoint
    ActionCode.LISTEN: struct.Struct("<BB"),  # always 1
    ActionCode.SOURCE: struct.Struct("<BH"),  # instance
}
_TEXT = struct.Struct("<BH")  # code, bytes of the text that follows


def _read_bytes(frame: bytes, start: int, end: int) -> bytes:
    return frame[start:end]


def _read_floats(frame: bytes, start: int, end: int) -> tuple[float, ...]:
    if start == end:
        return ()
    return struct.unpack_from(f"<{(end - start) // _FLOAT_BYTES}f", frame, start)


def _read_entries(frame: bytes, start: int, end: int) -> list[ListEntry]:
    return [ListEntry._make(fields) for fields in _ENTRY.iter_unpack(frame[start:end])]


class _Format(NamedTuple):
    """How a record is laid out after its code, and what it becomes."""

    fixed: struct.Struct
    record_type: Callable[..., Record]
    item_bytes: int = 0
    """Size of one item of the content; 0: the record has no content."""
    read_content: Callable[[bytes, int, int], Content] = _read_bytes


def _ignore(code: EventCode, layout: str, item_bytes: int = 0) -> _Format:
    """Return the format of a record of which nothing but the code is kept."""
    record = IgnoredRecord(code)
    return _Format(struct.Struct(layout), lambda *_fields: record, item_bytes)


_FORMATS: dict[int, _Format] = {
    EventCode.SYNC: _Format(struct.Struct("<IBH"), EndpointUpdateRecord),
    EventCode.ACK_FIRST: _ignore(EventCode.ACK_FIRST, "<Q6sQH"),
    EventCode.SAMPLED: _ignore(EventCode.SAMPLED, "<6sHQB", _FLOAT_BYTES),
    EventCode.SELECT: _Format(struct.Struct("<H"), SelectRecord),
    EventCode.CLIENT_GONE: _Format(struct.Struct("<Q"), ClientDisconnectedRecord),
    EventCode.ATTACH: _Format(struct.Struct("<QI"), AttachRecord, 1),
    EventCode.MAIL: _ignore(EventCode.MAIL, "<HH", 1),
    EventCode.INBOUND: _Format(struct.Struct("<QQQIBQB"), RequestRecord),
    EventCode.FINISHED: _Format(struct.Struct("<QBHQ6sHB"), AttemptOutcomeRecord, _FLOAT_BYTES, _read_floats),
    EventCode.DUE: _Format(struct.Struct("<I"), TimerFiredRecord),
    EventCode.CRASH_NOW: _Format(struct.Struct("<"), CrashRecord),
    EventCode.ROSTER: _Format(struct.Struct("<HI"), EndpointListRecord, _ENTRY.size, _read_entries),
}


def read_frame(stream: BinaryIO) -> bytes | None:
    """Read the next frame, without its length field; None at a clean end of input.

    Raises WireError if the input ends inside a frame.
    """
    head = stream.read(_LENGTH.size)
    if not head:
        return None
    if len(head) < _LENGTH.size:
        raise WireError("truncated frame: input ended inside the length field")
    (length,) = _LENGTH.unpack(head)
    body = stream.read(length)
    if len(body) < length:
        raise WireError(f"truncated frame: {length} bytes announced, {len(body)} received")
    return body


def decode_batch(frame: bytes) -> Batch:
    """Decode an input frame without its length field; raises WireError."""
    if len(frame) < _BATCH_HEADER.size:
        raise WireError(f"malformed frame: {len(frame)} bytes are too few for a batch header")
    clock_ns, count = _BATCH_HEADER.unpack_from(frame)
    records: list[Record] = []
    position, end = _BATCH_HEADER.size, len(frame)
    for index in range(count):
        if position >= end:
            raise WireError(f"malformed frame: {count} records announced, {index} found")
        code = frame[position]
        record_format = _FORMATS.get(code)
        if record_format is None:
            raise WireError(f"unknown event code {code} in record {index}")
        layout, record_type, item_bytes, read_content = record_format
        body = position + 1
        position = body + layout.size
        if position > end:
            raise _cut_short(index, code)
        fields = layout.unpack_from(frame, body)
        if item_bytes:
            start = position
            position += fields[-1] * item_bytes
            if position > end:
                raise _cut_short(index, code)
            records.append(record_type(*fields[:-1], read_content(frame, start, position)))
        else:
            records.append(record_type(*fields))
    if position != end:
        raise WireError(f"malformed frame: {end - position} bytes follow the last record")
    return Batch(clock_ns, records)


def _cut_short(index: int, code: int) -> WireError:
    return WireError(f"malformed frame: record {index} ({EventCode(code).name}) is cut short")


def encode_action(code: ActionCode, *fields: int | bytes) -> bytes:
    """Encode an action of fixed layout."""
    return _ACTIONS[code].pack(code, *fields)


def encode_text(code: ActionCode, text: str) -> bytes:
    """Encode an action that carries text, cut to `_MAX_TEXT_BYTES`."""
    data = text.encode("utf-8", "replace")[:_MAX_TEXT_BYTES]
    return _TEXT.pack(code, len(data)) + data


def encode_reply(actions: list[bytes]) -> bytes:
    """Return the complete output frame of encoded actions."""
    body = b"".join(actions)
    return _REPLY_HEADER.pack(_ACTION_COUNT_BYTES + len(body), len(actions)) + body
