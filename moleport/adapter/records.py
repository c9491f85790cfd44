"""The input records of the simulator's protocol as typed messages, and the codes of records and actions.

The codes of records have the names of the protocol; the messages have the names that this package uses. The
fields of a message are in the order of its layout in a frame. Times and durations are in nanoseconds, on the
simulator's clock.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple


class EventCode(IntEnum):
    """First byte of an input record, which determines the type of the decoded record."""

    SYNC = 0
    """Code of an input record that is decoded to an `EndpointUpdateRecord`."""
    ACK_FIRST = 1
    """Code of an input record that is decoded to an `IgnoredRecord`."""
    SAMPLED = 2
    """Code of an input record that is decoded to an `IgnoredRecord`."""
    SELECT = 3
    """Code of an input record that is decoded to a `SelectRecord`."""
    CLIENT_GONE = 4
    """Code of an input record that is decoded to a `ClientDisconnectedRecord`."""
    ATTACH = 5
    """Code of an input record that is decoded to an `AttachRecord`."""
    MAIL = 6
    """Code of an input record that is decoded to an `IgnoredRecord`."""
    INBOUND = 7
    """Code of an input record that is decoded to a `RequestRecord`."""
    FINISHED = 8
    """Code of an input record that is decoded to an `AttemptOutcomeRecord`."""
    DUE = 9
    """Code of an input record that is decoded to a `TimerFiredRecord`."""
    CRASH_NOW = 10
    """Code of an input record that is decoded to a `CrashRecord`."""
    ROSTER = 11
    """Code of an input record that is decoded to an `EndpointListRecord`."""


class ActionCode(IntEnum):
    """First byte of an output record, which determines the layout of the record."""

    FORWARD = 64
    """Code of an output record that encodes a `Forward` action."""
    BUSY = 65
    """Code of an output record that encodes a `Reject` action."""
    REPORT_FAILURE = 66
    """Code of an output record that encodes a `Fail` action."""
    WAKE_AT = 68
    """Code of an output record that encodes a `SetTimer` action."""
    HANG_UP = 70
    """Code of an output record that encodes a `CloseIdleConnections` action."""
    FAULT = 73
    """Code of an output record with the traceback of an exception of the decision module."""
    LISTEN = 74
    """Code of an output record that encodes a `WatchEndpoints` action."""
    SOURCE = 76
    """Code of an output record that names the instance whose actions follow."""


class SelectRecord(NamedTuple):
    """Selects the instance that the following records of a frame are for."""

    instance: int
    """Number of the instance."""


class AttachRecord(NamedTuple):
    """Starts the selected instance, or restarts it without its state."""

    seed: int
    """Seed of the instance's random numbers."""
    settings_text: bytes
    """Settings of the instance, as lines of the form path=value in UTF-8."""


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
    """Number of the endpoint's state in `ENDPOINT_STATES` of `moleport.adapter.translation`."""
    weight: float
    """Relative capacity of the endpoint."""
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
    """Number of the update's kind in `UPDATE_KINDS` of `moleport.adapter.translation`."""
    list_number: int
    """Number of the `EndpointListRecord` that contains the entries of the update."""


class RequestRecord(NamedTuple):
    """Reports that the selected instance accepted a client's request."""

    request_id: int
    unused: int
    """Field that the adapter does not read."""
    remaining_ns: int
    """Time for which the client will wait for the response."""
    tenant_index: int
    class_index: int
    """Index of the request's class in the settings."""
    key: int
    """Hash of the request's key; 0 for a request without a key."""
    options: int
    """Bit field of the request's options, of which the adapter reads `OPTION_CLIENT_RETRY`."""


class AttemptOutcomeRecord(NamedTuple):
    """Reports the end of an attempt."""

    request_id: int
    is_answered: int
    """Not 0 if the client of the request has its final response."""
    result: int
    """Number of the attempt's result in `ATTEMPT_RESULTS` of `moleport.adapter.translation`."""
    elapsed_ns: int
    """Duration of the attempt."""
    endpoint_id: bytes
    attempt_index: int
    """Index of the attempt among all attempts for its request, from 0."""
    load_report: tuple[float, ...]
    """Fields of the endpoint's load report, in the order of the settings; empty without a load report."""


class ClientDisconnectedRecord(NamedTuple):
    """Reports that the client of a request has disconnected."""

    request_id: int


class TimerFiredRecord(NamedTuple):
    """Reports that a timer of the selected instance has fired."""

    timer_id: int
    """Number of the timer; `TimerId` in the decision module's interface contains the known numbers."""


class IgnoredRecord(NamedTuple):
    """A record that the decision module does not use; the decoder skips the record's fields and content."""

    code: EventCode


OPTION_CLIENT_RETRY = 2
"""Bit of `RequestRecord.options` that is set if the client has sent the request before."""

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
