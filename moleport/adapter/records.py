"""The input records of the simulator's protocol as typed messages, and the protocol's codes.

The codes keep the protocol's own names; the messages use the project's terms. Their fields are in the order
of the layout on the wire. Times and durations are in nanoseconds, on the simulator's clock.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple


class EventCode(IntEnum):
    """First byte of an input record."""

    SYNC = 0
    """`EndpointUpdateRecord`"""
    ACK_FIRST = 1
    """`IgnoredRecord`"""
    SAMPLED = 2
    """`IgnoredRecord`"""
    SELECT = 3
    """`SelectRecord`"""
    CLIENT_GONE = 4
    """`ClientDisconnectedRecord`"""
    ATTACH = 5
    """`AttachRecord`"""
    MAIL = 6
    """`IgnoredRecord`"""
    INBOUND = 7
    """`RequestRecord`"""
    FINISHED = 8
    """`AttemptOutcomeRecord`"""
    DUE = 9
    """`TimerFiredRecord`"""
    CRASH_NOW = 10
    """`CrashRecord`"""
    ROSTER = 11
    """`EndpointListRecord`"""


class ActionCode(IntEnum):
    """First byte of an output record."""

    FORWARD = 64
    """`Forward`"""
    BUSY = 65
    """`Reject`"""
    REPORT_FAILURE = 66
    """`Fail`"""
    WAKE_AT = 68
    """`SetTimer`"""
    HANG_UP = 70
    """`CloseIdleConnections`"""
    FAULT = 73
    """The decision module raised an exception; carries the traceback."""
    LISTEN = 74
    """`WatchEndpoints`"""
    SOURCE = 76
    """The instance whose actions follow."""


class SelectRecord(NamedTuple):
    """The records that follow are for this instance."""

    instance: int


class AttachRecord(NamedTuple):
    """Start the selected instance."""

    seed: int
    settings_text: bytes
    """Lines of path=value, in UTF-8."""


class CrashRecord(NamedTuple):
    """Drop the selected instance with all its state."""


class ListEntry(NamedTuple):
    """One endpoint of an `EndpointListRecord`."""

    id: bytes
    zone: int
    hardware_type: int
    cell: int
    state: int
    weight: float
    started_at_ns: int


class EndpointListRecord(NamedTuple):
    """Define an endpoint list, to which any instance may refer by its number."""

    list_number: int
    entries: list[ListEntry]


class EndpointUpdateRecord(NamedTuple):
    """An update of the selected instance's endpoint list."""

    unused: int
    kind: int
    list_number: int


class RequestRecord(NamedTuple):
    """A client's request was accepted."""

    request_id: int
    unused: int
    remaining_ns: int
    tenant_index: int
    class_index: int
    key: int
    options: int
    """Bits; see `OPTION_CLIENT_RETRY`."""


class AttemptOutcomeRecord(NamedTuple):
    """An attempt has ended."""

    request_id: int
    is_answered: int
    result: int
    elapsed_ns: int
    endpoint_id: bytes
    attempt_index: int
    load_report: tuple[float, ...]


class ClientDisconnectedRecord(NamedTuple):
    """The client of a request has disconnected."""

    request_id: int


class TimerFiredRecord(NamedTuple):
    """A timer of the selected instance has come due."""

    timer_id: int


class IgnoredRecord(NamedTuple):
    """A record that has no part in any decision; its content is skipped."""

    code: EventCode


OPTION_CLIENT_RETRY = 2
"""Bit of a request's options: the client has sent this request before."""

Record = (
    SelectRecord
    | AttachRecord
    | CrashRecord
    | EndpointListRecord
    | EndpointUpdateRecord
    | RequestRecord
    | AttemptOutcomeRecord
    | ClientDisconnectedRecord
    | TimerFiredRecord
    | IgnoredRecord
)

_CODES: dict[type[Record], EventCode] = {
    SelectRecord: EventCode.SELECT,
    AttachRecord: EventCode.ATTACH,
    CrashRecord: EventCode.CRASH_NOW,
    EndpointListRecord: EventCode.ROSTER,
    EndpointUpdateRecord: EventCode.SYNC,
    RequestRecord: EventCode.INBOUND,
    AttemptOutcomeRecord: EventCode.FINISHED,
    ClientDisconnectedRecord: EventCode.CLIENT_GONE,
    TimerFiredRecord: EventCode.DUE,
}


def protocol_name(record: Record) -> str:
    """Return the protocol's own name of a record's code, for error messages."""
    code = record.code if isinstance(record, IgnoredRecord) else _CODES[type(record)]
    return code.name
