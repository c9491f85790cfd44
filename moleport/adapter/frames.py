"""Codec of the simulator's frames: decodes records from bytes and encodes actions to bytes.

All numbers are little-endian, without padding between them.

An input frame consists of its length (u32, the number of bytes after this field), the simulator's clock time
(u64, in ns), the record count (u32) and the records. An output frame consists of its length (u32, the number
of bytes after this field), the action count (u32) and the actions.

A SELECT record names the instance that the following records of its frame are for.

A record consists of its code (u8) and its fixed fields. For some codes, a content of several items follows,
whose count is the last fixed field. `_RECORD_FORMATS` (input) and `_ACTION_LAYOUTS` (output) define the
layouts in the notation of the struct module.
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
    """Raised for a frame that violates the protocol; the message describes the violation."""


class Batch(NamedTuple):
    """The decoded content of one input frame."""

    clock_ns: int
    """Simulator's clock time at which the records of the frame occurred."""
    records: list[Record]


Content = bytes | tuple[float, ...] | list[ListEntry]

_LENGTH = struct.Struct("<I")
_BATCH_HEADER = struct.Struct("<QI")
_REPLY_HEADER = struct.Struct("<II")
# layout of one endpoint in a ROSTER record, which carries an endpoint list from the simulator to the decision
# module; the fields are in the order of those of the class `ListEntry`
_LIST_ENTRY = struct.Struct("<6sBHHBfQ")
_FLOAT_BYTES = 4
_ACTION_COUNT_BYTES = 4
# Number of bytes to which the text of a FAULT record is truncated. In a FAULT record the decision module
# reports the traceback of an exception to the simulator; the record's u16 length field allows 65_535 bytes.
_MAX_TEXT_BYTES = 60_000

# Layouts of the records without text in which the decision module sends its actions, such as the forwarding
# of a request, to the simulator: by action code (u8), with which each record begins.
_ACTION_LAYOUTS = {
    # fields, after the action code, of a FORWARD record, in which the decision module forwards a request to
    # an endpoint: request id, endpoint id, timeout of the attempt in ns
    ActionCode.FORWARD: struct.Struct("<BQ6sQ"),
    # fields, after the action code, of a BUSY record, in which the decision module rejects a request: request
    # id, time in ns for which the rejection asks the client to wait before a retry (header Retry-After)
    ActionCode.BUSY: struct.Struct("<BQQ"),
    # field, after the action code, of a REPORT_FAILURE record, in which the decision module sends the final
    # answer that a request failed: request id
    ActionCode.REPORT_FAILURE: struct.Struct("<BQ"),
    # fields, after the action code, of a WAKE_AT record, in which the decision module sets a timer: time in
    # ns on the simulator's clock at which the timer fires, timer id
    ActionCode.WAKE_AT: struct.Struct("<BQI"),
    # field, after the action code, of a HANG_UP record, in which the decision module closes the idle
    # connections to an endpoint: endpoint id
    ActionCode.HANG_UP: struct.Struct("<B6s"),
    # field, after the action code, of a LISTEN record, in which the decision module starts to watch the
    # endpoint list for changes: constant 1
    ActionCode.LISTEN: struct.Struct("<BB"),
    # field, after the action code, of a SOURCE record, which precedes the actions of one instance of the
    # decision module in the output to the simulator: number of that instance
    ActionCode.SOURCE: struct.Struct("<BH"),
}
# header of a record with text that the decision module sends to the simulator: action code, number of bytes
# of the UTF-8 text that follows
_TEXT_HEADER = struct.Struct("<BH")


def _read_bytes(frame: bytes, start: int, end: int) -> bytes:
    return frame[start:end]


def _read_floats(frame: bytes, start: int, end: int) -> tuple[float, ...]:
    if start == end:
        return ()
    return struct.unpack_from(f"<{(end - start) // _FLOAT_BYTES}f", frame, start)


def _read_list_entries(frame: bytes, start: int, end: int) -> list[ListEntry]:
    return [ListEntry._make(fields) for fields in _LIST_ENTRY.iter_unpack(frame[start:end])]


class _RecordFormat(NamedTuple):
    """Layout of the fields after a record's code, and the type of the decoded record."""

    fixed_fields: struct.Struct
    record_type: Callable[..., Record]
    """Creates the decoded record from its fixed fields, without the item count, and its content."""
    item_bytes: int = 0
    """Size of one item of the record's content; 0 if the record has no content."""
    read_content: Callable[[bytes, int, int], Content] = _read_bytes
    """Decodes the record's content from a frame and the content's start and end positions in the frame."""


def _ignore(code: EventCode, layout: str, item_bytes: int = 0) -> _RecordFormat:
    """Return the format of a record whose fields are discarded: it is decoded to an `IgnoredRecord`."""
    record = IgnoredRecord(code)
    return _RecordFormat(struct.Struct(layout), lambda *_fields: record, item_bytes)


_RECORD_FORMATS: dict[int, _RecordFormat] = {
    EventCode.SYNC: _RecordFormat(struct.Struct("<IBH"), EndpointUpdateRecord),
    EventCode.ACK_FIRST: _ignore(EventCode.ACK_FIRST, "<Q6sQH"),
    EventCode.SAMPLED: _ignore(EventCode.SAMPLED, "<6sHQB", _FLOAT_BYTES),
    EventCode.SELECT: _RecordFormat(struct.Struct("<H"), SelectRecord),
    EventCode.CLIENT_GONE: _RecordFormat(struct.Struct("<Q"), ClientDisconnectedRecord),
    EventCode.ATTACH: _RecordFormat(struct.Struct("<QI"), AttachRecord, 1),
    EventCode.MAIL: _ignore(EventCode.MAIL, "<HH", 1),
    EventCode.INBOUND: _RecordFormat(struct.Struct("<QQQIBQB"), RequestRecord),
    EventCode.FINISHED: _RecordFormat(
        struct.Struct("<QBHQ6sHB"), AttemptOutcomeRecord, _FLOAT_BYTES, _read_floats
    ),
    EventCode.DUE: _RecordFormat(struct.Struct("<I"), TimerFiredRecord),
    EventCode.CRASH_NOW: _RecordFormat(struct.Struct("<"), CrashRecord),
    EventCode.ROSTER: _RecordFormat(
        struct.Struct("<HI"), EndpointListRecord, _LIST_ENTRY.size, _read_list_entries
    ),
}


def read_frame(stream: BinaryIO) -> bytes | None:
    """Read the next frame and return it without its length field; return None at the end of the input.

    Raises WireError if the input ends inside a frame.
    """
    length_field = stream.read(_LENGTH.size)
    if not length_field:
        return None
    if len(length_field) < _LENGTH.size:
        raise WireError("truncated frame: the input ended inside the length field")
    (length,) = _LENGTH.unpack(length_field)
    body = stream.read(length)
    if len(body) < length:
        raise WireError(f"truncated frame: {length} bytes announced, {len(body)} bytes received")
    return body


def decode_batch(frame: bytes) -> Batch:
    """Decode an input frame, given without its length field; raises WireError."""
    if len(frame) < _BATCH_HEADER.size:
        raise WireError(f"malformed frame: {len(frame)} bytes are too few for the frame header")
    clock_ns, record_count = _BATCH_HEADER.unpack_from(frame)
    records: list[Record] = []
    position, end = _BATCH_HEADER.size, len(frame)
    for index in range(record_count):
        if position >= end:
            raise WireError(f"malformed frame: {record_count} records announced, {index} found")
        code = frame[position]
        record_format = _RECORD_FORMATS.get(code)
        if record_format is None:
            raise WireError(f"unknown event code {code} in record {index}")
        layout, record_type, item_bytes, read_content = record_format
        fields_start = position + 1
        position = fields_start + layout.size
        if position > end:
            raise _truncated_record(index, code)
        fields = layout.unpack_from(frame, fields_start)
        if item_bytes:
            content_start = position
            position += fields[-1] * item_bytes
            if position > end:
                raise _truncated_record(index, code)
            records.append(record_type(*fields[:-1], read_content(frame, content_start, position)))
        else:
            records.append(record_type(*fields))
    if position != end:
        raise WireError(f"malformed frame: {end - position} bytes follow the last record")
    return Batch(clock_ns, records)


def _truncated_record(index: int, code: int) -> WireError:
    return WireError(f"malformed frame: record {index} ({EventCode(code).name}) is truncated")


def encode_action(code: ActionCode, *fields: int | bytes) -> bytes:
    """Encode an action with a fixed layout; `fields` are the fields after the action code."""
    return _ACTION_LAYOUTS[code].pack(code, *fields)


def encode_text(code: ActionCode, text: str) -> bytes:
    """Encode an action that contains text in UTF-8, truncated to `_MAX_TEXT_BYTES` bytes."""
    data = text.encode("utf-8", "replace")[:_MAX_TEXT_BYTES]
    return _TEXT_HEADER.pack(code, len(data)) + data


def encode_reply(actions: list[bytes]) -> bytes:
    """Return the output frame, with its length field, that contains the encoded actions."""
    body = b"".join(actions)
    return _REPLY_HEADER.pack(_ACTION_COUNT_BYTES + len(body), len(actions)) + body
