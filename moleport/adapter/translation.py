"""Translates input records to events of the decision module, and the module's actions to output records.

This module makes no decisions: the decision module alone determines the actions.
"""

from __future__ import annotations

import traceback
from collections.abc import Mapping
from typing import TypeVar, assert_never

from moleport.adapter import frames
from moleport.adapter.frames import WireError
from moleport.adapter.records import (
    OPTION_CLIENT_RETRY,
    ActionCode,
    AttachRecord,
    AttemptOutcomeRecord,
    ClientDisconnectedRecord,
    CrashRecord,
    EndpointListRecord,
    EndpointUpdateRecord,
    IgnoredRecord,
    ListEntry,
    Record,
    RequestRecord,
    SelectRecord,
    TimerFiredRecord,
    protocol_name,
)
from moleport.config.settings import SettingsError, parse_settings
from moleport.policy import interface as api
from moleport.policy.balancer import Balancer

_T = TypeVar("_T")

# Kinds of endpoint list update by the number that states the kind in the simulator's SYNC records. No kind
# of this project corresponds to number 1, so a SYNC record with number 1 raises WireError.
UPDATE_KINDS = {
    0: api.EndpointUpdateKind.CACHED,
    2: api.EndpointUpdateKind.DELTA,
    3: api.EndpointUpdateKind.SNAPSHOT,
    4: api.EndpointUpdateKind.FAILED,
}
"""Kinds of endpoint updates by their numbers in the protocol."""
ENDPOINT_STATES = {
    0: api.EndpointState.REMOVED,
    1: api.EndpointState.READY,
    2: api.EndpointState.DRAINING,
}
"""Endpoint states by their numbers in the protocol."""
ATTEMPT_RESULTS = {
    100: api.AttemptResult.OK,
    301: api.AttemptResult.ERROR,
    302: api.AttemptResult.REJECTED,
    303: api.AttemptResult.TIMEOUT,
    304: api.AttemptResult.CONNECT_FAILED,
    305: api.AttemptResult.RESET,
    306: api.AttemptResult.CANCELLED,
    307: api.AttemptResult.NOT_SENT,
}
"""Attempt results by their numbers in the protocol."""
START_WATCH = 1
"""Value of the field of a `LISTEN` action; the protocol has no other value."""


def read_settings(text: str) -> api.Settings:
    """Return the settings in the path=value lines of an `AttachRecord`; raises SettingsError."""
    return parse_settings(dict(line.split("=", 1) for line in text.splitlines() if "=" in line))


def encode_action(action: api.Action) -> bytes:
    """Encode an action of the decision module as an output record."""
    if isinstance(action, api.Forward):
        # The field `write_deadline_ns` of the action Forward is not sent to the simulator, as the FORWARD
        # record that encodes the action has no field for a write deadline.
        return frames.encode_action(
            ActionCode.FORWARD, action.request_id, action.endpoint_id, action.timeout_ns
        )
    if isinstance(action, api.Reject):
        return frames.encode_action(ActionCode.BUSY, *action)
    if isinstance(action, api.Fail):
        return frames.encode_action(ActionCode.REPORT_FAILURE, *action)
    if isinstance(action, api.CloseIdleConnections):
        return frames.encode_action(ActionCode.HANG_UP, *action)
    if isinstance(action, api.SetTimer):
        return frames.encode_action(ActionCode.WAKE_AT, *action)
    if isinstance(action, api.WatchEndpoints):
        return frames.encode_action(ActionCode.LISTEN, START_WATCH)
    assert_never(action)


def _lookup(table: Mapping[int, _T], number: int, number_name: str) -> _T:
    if number not in table:
        raise WireError(f"unknown {number_name} {number}")
    return table[number]


def _translate_endpoint(entry: ListEntry) -> api.Endpoint:
    return api.Endpoint(
        id=entry.id,
        zone=entry.zone,
        cell=entry.cell,
        state=_lookup(ENDPOINT_STATES, entry.state, "endpoint state"),
        weight=entry.weight,
        started_at_ns=entry.started_at_ns,
        hardware_type=entry.hardware_type,
    )


class Adapter:
    """Runs all instances of the decision module in one process, and stores their endpoint lists."""

    def __init__(self) -> None:
        """Create an adapter without instances and endpoint lists."""
        self._balancers: dict[int, Balancer] = {}
        # number of request classes in the settings of each decision module instance, by instance number
        self._class_counts: dict[int, int] = {}
        self._endpoint_lists: dict[int, tuple[api.Endpoint, ...]] = {}

    def reply_to(self, frame: bytes) -> bytes:
        """Return the output frame for one input frame, given without its length field.

        Raises WireError for a frame that violates the protocol, and SettingsError for invalid settings.
        """
        clock_ns, records = frames.decode_batch(frame)
        encoded_actions: list[bytes] = []
        selected_instance: int | None = None
        source_instance: int | None = None
        for record in records:
            if isinstance(record, SelectRecord):
                selected_instance = record.instance
                continue
            if isinstance(record, EndpointListRecord):
                self._endpoint_lists[record.list_number] = tuple(map(_translate_endpoint, record.entries))
                continue
            if selected_instance is None:
                raise WireError(
                    f"{protocol_name(record)} record precedes the first SELECT record of its frame"
                )
            encoded = self._apply(clock_ns, selected_instance, record)
            if encoded and source_instance != selected_instance:
                source_instance = selected_instance
                encoded_actions.append(frames.encode_action(ActionCode.SOURCE, selected_instance))
            encoded_actions += encoded
        return frames.encode_reply(encoded_actions)

    def _apply(self, clock_ns: int, instance: int, record: Record) -> list[bytes]:
        """Apply a record to an instance, and return the instance's actions in encoded form."""
        if isinstance(record, AttachRecord):
            return self._attach(clock_ns, instance, record)
        if isinstance(record, CrashRecord):
            self._balancers.pop(instance, None)
            return []
        balancer = self._balancers.get(instance)
        if balancer is None:
            raise WireError(f"{protocol_name(record)} record for instance {instance}, which is not attached")
        if isinstance(record, IgnoredRecord):
            return []
        event = self._translate_event(instance, record)
        try:
            actions = balancer.handle(clock_ns, event)
        except Exception:
            return [_encode_fault()]
        return [encode_action(action) for action in actions]

    def _attach(self, clock_ns: int, instance: int, record: AttachRecord) -> list[bytes]:
        try:
            text = record.settings_text.decode("utf-8")
        except UnicodeDecodeError:
            raise SettingsError("settings in an ATTACH record are not UTF-8 text") from None
        settings = read_settings(text)
        try:
            balancer = Balancer(settings, record.seed)
            self._balancers[instance] = balancer
            self._class_counts[instance] = len(settings.classes)
            actions = balancer.start(clock_ns)
        except Exception:
            return [_encode_fault()]
        return [encode_action(action) for action in actions]

    def _translate_event(self, instance: int, record: Record) -> api.Event:
        """Translate a record to an event; raises WireError for an unknown code or number in the record."""
        if isinstance(record, RequestRecord):
            return self._translate_request(instance, record)
        if isinstance(record, AttemptOutcomeRecord):
            return _translate_attempt_outcome(record)
        if isinstance(record, TimerFiredRecord):
            return api.TimerFired(record.timer_id)
        if isinstance(record, EndpointUpdateRecord):
            return self._translate_endpoint_update(record)
        if isinstance(record, ClientDisconnectedRecord):
            return api.ClientDisconnected(record.request_id)
        raise WireError(
            f"{protocol_name(record)} record cannot be translated to an event of the decision module"
        )

    def _translate_request(self, instance: int, record: RequestRecord) -> api.Request:
        request_id, _, remaining_ns, tenant_index, class_index, key, options = record
        if class_index >= self._class_counts[instance]:
            raise WireError(f"unknown request class {class_index}")
        is_client_retry = bool(options & OPTION_CLIENT_RETRY)
        return api.Request(request_id, remaining_ns, class_index, tenant_index, key, is_client_retry)

    def _translate_endpoint_update(self, record: EndpointUpdateRecord) -> api.EndpointUpdate:
        kind = _lookup(UPDATE_KINDS, record.kind, "endpoint update kind")
        if kind is api.EndpointUpdateKind.FAILED:
            return api.EndpointUpdate(kind, ())
        return api.EndpointUpdate(
            kind, _lookup(self._endpoint_lists, record.list_number, "endpoint list number")
        )


def _translate_attempt_outcome(record: AttemptOutcomeRecord) -> api.AttemptOutcome:
    request_id, is_answered, result, elapsed_ns, endpoint_id, attempt_index, load_report = record
    return api.AttemptOutcome(
        request_id,
        bool(is_answered),
        _lookup(ATTEMPT_RESULTS, result, "attempt result"),
        elapsed_ns,
        endpoint_id,
        attempt_index,
        load_report,
    )


def _encode_fault() -> bytes:
    """Encode the traceback of the decision module's current exception, limited to its last four frames.

    The adapter reports the exception and invents no action in its place.
    """
    return frames.encode_text(ActionCode.FAULT, traceback.format_exc(limit=-4))
