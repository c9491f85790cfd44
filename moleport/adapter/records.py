"""The input records of the simulator's protocol as typed messages, and the codes of records and actions.

The codes have the names of the protocol; the messages have the names that this code uses. The fields of a
message are in the order of its layout in a frame. Times and durations are in nanoseconds, on the simulator's
clock.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple


class EventCode(IntEnum):
    """First byte of an input record; each code is documented by the message that the record becomes."""

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
    """First byte of an output record; most codes are documented by the action that they encode."""

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
    """Reports an exception of the decision module; the record contains the traceback."""
    LISTEN = 74
    """`WatchEndpoints`"""
    SOURCE = 76
    """Names the instance that the actions after this record are from."""


class SelectRecord(NamedTuple):
    """Selects the instance that the records after this one are for."""

    instance: int
    """Number of the instance."""


class AttachRecord(NamedTuple):
    """Starts the selected instance, or restarts it without its state."""

    seed: int
    """Seed of the instance's random numbers."""
    settings_text: bytes
    """Settings as lines of the form path=value, in UTF-8."""


class CrashRecord(NamedTuple):
    """Removes the selected instance with all its state."""


class ListEntry(NamedTuple):
    """One endpoint of an `EndpointListRecord`."""

    id: bytes
    zone: int
    """Index of the endpoint's zone."""
    hardware_type: int
    """Index of the endpoint's hardware type."""
    cell: int
    """Number of the endpoint's cell."""
    state: int
    """Number of an endpoint state; see `ENDPOINT_STATES` in `moleport.adapter.translation`."""
    weight: float
    """Relative capacity."""
    started_at_ns: int
    """Time of the endpoint's last start; 0 stands for a start long ago."""


class EndpointListRecord(NamedTuple):
    """Defines an endpoint list, to which update records of any instance may refer by its number."""

    list_number: int
    entries: list[ListEntry]


class EndpointUpdateRecord(NamedTuple):
    """Updates the endpoint list of the selected instance."""

    unused: int
    """Field that the adapter does not read."""
    kind: int
    """Number of an update kind; see `UPDATE_KINDS` in `moleport.adapter.translation`."""
    list_number: int
    """Number of the `EndpointListRecord` with the entries."""


class RequestRecord(NamedTuple):
    """Reports that the selected instance accepted a client's request."""

    request_id: int
    unused: int
    """Field that the adapter does not read."""
    remaining_ns: int
    """Time for which the client will wait for the response."""
    tenant_index: int
    class_index: int
    """Index of the request class in the settings."""
    key: int
    """Hash of the key of the request; 0 stands for none."""
    options: int
    """Bit field; see `OPTION_CLIENT_RETRY`."""


class AttemptOutcomeRecord(NamedTuple):
    """Reports the end of an attempt."""

    request_id: int
    is_answered: int
    """Not 0 if the client has its final response."""
    result: int
    """Number of an attempt result; see `ATTEMPT_RESULTS` in `moleport.adapter.translation`."""
    elapsed_ns: int
    """Duration of the attempt."""
    endpoint_id: bytes
    attempt_index: int
    """Index among the attempts for the request, from 0."""
    load_report: tuple[float, ...]
    """Figures of the endpoint's load report, in the order of the settings; empty if there was none."""


class ClientDisconnectedRecord(NamedTuple):
    """Reports that the client of a request has disconnected."""

    request_id: int


class TimerFiredRecord(NamedTuple):
    """Reports that a timer of the selected instance has fired."""

    timer_id: int
    """Number of the timer; those of the decision module are in `TimerId` of its interface."""


class IgnoredRecord(NamedTuple):
    """A record that the decision module does not use; the decoder skips its content."""

    code: EventCode


OPTION_CLIENT_RETRY = 2
"""Bit of `RequestRecord.options` that is set if the client has sent this request before."""

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

_CODES_BY_TYPE: dict[type[Record], EventCode] = {
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
    """Return the name that the protocol gives to a record's code, for error messages."""
    code = record.code if isinstance(record, IgnoredRecord) else _CODES_BY_TYPE[type(record)]
    return code.name
