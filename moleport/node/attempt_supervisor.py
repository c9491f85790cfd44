"""Starts attempts, authorizes their writes, and reports their outcomes to the policy."""

from __future__ import annotations

from collections.abc import Callable
from time import monotonic_ns

from moleport.config.node_config import Config
from moleport.node.attempt import Attempt
from moleport.node.attempt_owner import WritePermission
from moleport.node.connection_pools import ConnectionPools
from moleport.node.hold_detector import HoldDetector
from moleport.node.invariants import Invariant, RequestWrite, violated_invariants
from moleport.node.load_report import LoadReportParser
from moleport.node.request import RESPONSE_TRANSIT_NS, PendingRequest, RequestRegistry
from moleport.node.response_parser import ServerResponse
from moleport.policy import interface as api
from moleport.policy.interface import NOT_EXECUTED, AttemptResult, EndpointId
from moleport.telemetry import Event, Telemetry
from moleport.units import NS_PER_MS

MAX_UNSEEN_NS = 50 * NS_PER_MS
"""Time after a request's arrival in which its attempts may begin although its client's end can't be seen.

No attempt may begin more than 100 ms after its client has closed the connection."""


class AttemptSupervisor:
    """Starts and authorizes all attempts of the node, and reports their outcomes (see `AttemptOwner`)."""

    def __init__(
        self,
        config: Config,
        pools: ConnectionPools,
        requests: RequestRegistry,
        hold_detector: HoldDetector,
        telemetry: Telemetry,
        dispatch_event: Callable[[api.Event], None],
    ) -> None:
        """Create a supervisor that reports outcomes of attempts to the policy through `dispatch_event`."""
        self._drain_grace_ns = config.drain_grace_ns
        self._max_attempts = config.policy_settings.max_attempts
        self._classes = config.policy_settings.classes
        self._pools = pools
        self._requests = requests
        self._active = requests.active
        self._hold_detector = hold_detector
        self._telemetry = telemetry
        self._dispatch_event = dispatch_event
        self._parse_load_report = LoadReportParser(config.load_report_wire_names).parse

    def start_attempt(self, action: api.Forward) -> None:
        """Start the next attempt of a request, or report NOT_SENT at once if it may not be started."""
        request = self._active.get(action.request_id)
        if request is None:
            # The policy wants to start an attempt of a request that is no longer in the node's registry of
            # active requests. The request's attempt count is unknown, so each possible attempt index is
            # reported to the policy as not sent.
            # The policy ignores the indices of attempts that have already ended.
            for index in range(self._max_attempts):
                self._report_not_sent(action.request_id, True, action.endpoint_id, index)
            return
        index = request.attempt_count
        request.attempt_count += 1
        pool = self._pools.get(action.endpoint_id)
        if pool is None or request.is_answered or index >= self._max_attempts:
            event = Event.ATTEMPT_STOPPED_SERVER_REMOVED if pool is None else Event.ATTEMPT_STOPPED_LIMIT
            self._telemetry.count(event, request=request.request_number, attempt=index)
            self._report_not_sent(request.request_number, request.is_answered, action.endpoint_id, index)
            return
        now = monotonic_ns()
        expires_at_ns = request.client_request.deadline_ns - RESPONSE_TRANSIT_NS
        if action.timeout_ns:
            expires_at_ns = min(expires_at_ns, now + action.timeout_ns)
        attempt = Attempt(
            self,
            request.request_number,
            index,
            action.endpoint_id,
            pool,
            request.client_request.head,
            request.client_request.body,
            effective_start_ns=now - self._hold_detector.total_hold_ns(),
            expires_at_ns=expires_at_ns,
            write_deadline_ns=action.write_deadline_ns,
        )
        request.attempts[index] = attempt
        attempt.start()

    def _report_not_sent(
        self, request_number: int, is_answered: bool, endpoint_id: EndpointId, index: int
    ) -> None:
        """Report to the policy an attempt that was not started, with the result NOT_SENT."""
        self._dispatch_event(
            api.AttemptOutcome(
                request_number, is_answered, AttemptResult.NOT_SENT, 0, endpoint_id, index, load_report=()
            )
        )

    def authorize_write(self, attempt: Attempt) -> WritePermission:
        """Decide whether an attempt may connect or write now.

        No other check precedes a connect or a write to a server. Each connect and each write is checked,
        because the client may have disconnected, or the server may have begun to drain, since the policy's
        decision.
        """
        request = self._active.get(attempt.request_number)
        if request is None or request.is_answered:
            return WritePermission.DENIED
        if attempt.pool.is_retired:
            self.record_attempt_event(attempt, Event.ATTEMPT_STOPPED_SERVER_REMOVED)
            return WritePermission.DENIED
        if self._hold_detector.may_have_unread_input():
            # After a hold of the process, an attempt must wait to connect or write: a discovery update about
            # its server's drain may be unread, and the drain grace may be over.
            self.record_attempt_event(attempt, Event.ATTEMPT_DELAYED_AFTER_STALL)
            return WritePermission.WAIT
        if request.half_closed_at_ns or request.client_request.client.has_disconnected():
            self.record_attempt_event(attempt, Event.ATTEMPT_STOPPED_CLIENT_DISCONNECTED)
            self._requests.on_client_half_closed(request.request_number)
            return WritePermission.DENIED
        if request.client_request.client.may_hide_disconnection() and _has_arrived_long_ago(request):
            self.record_attempt_event(attempt, Event.ATTEMPT_STOPPED_CLIENT_UNSEEN)
            return WritePermission.DENIED
        return WritePermission.GRANTED

    def has_send_capacity(self, attempt: Attempt) -> bool:
        """Return whether the kernel takes a complete response to the attempt's request for the client."""
        request = self._active.get(attempt.request_number)
        return request is None or request.is_answered or request.client_request.client.has_send_capacity()

    def record_attempt_event(self, attempt: Attempt, event: Event) -> None:
        """Count and trace an event of one attempt."""
        self._telemetry.count(
            event, request=attempt.request_number, attempt=attempt.index, server=attempt.endpoint_id
        )

    def on_request_written(self, attempt: Attempt, timeout_ns: int, written_at_ns: int) -> None:
        """Check the invariants for an attempt whose request was written at `written_at_ns`, in monotonic ns.

        `timeout_ns` is the remaining time that the request states to the server in X-Deadline.
        """
        now = written_at_ns
        request = self._active.get(attempt.request_number)
        assert request is not None  # a request stays active while one of its attempts is in flight
        self.record_attempt_event(attempt, Event.ATTEMPT_WRITTEN)
        if attempt.index:
            self._telemetry.count(Event.ATTEMPT_RETRIED)
        request_class = self._classes[request.client_request.class_index]
        pool = attempt.pool
        write = RequestWrite(
            idempotency=request_class.idempotency,
            deduplication_window_ns=request_class.deduplication_window_ns,
            attempt_index=attempt.index,
            max_attempts=self._max_attempts,
            other_attempt_count=len(request.attempts) - 1,
            is_answered=request.is_answered,
            since_execution_ns=now - request.first_execution_ns if request.first_execution_ns else None,
            since_client_disconnect_ns=now - request.half_closed_at_ns if request.half_closed_at_ns else None,
            since_endpoint_removal_ns=now - pool.retired_at_ns if pool.is_retired else None,
            drain_grace_ns=self._drain_grace_ns,
            timeout_ns=timeout_ns,
            remaining_ns=request.client_request.deadline_ns - now,
        )
        for invariant in violated_invariants(write):
            self._telemetry.record_violation(
                invariant,
                request=request.request_number,
                id=request.client_request.request_id,
                attempt=attempt.index,
            )
        attempt.written_at_ns = now

    def on_written_ended_unsent(self, attempt: Attempt, result: AttemptResult) -> None:
        """Report the violation that an attempt was ended as unsent after its request was written."""
        self._telemetry.record_violation(
            Invariant.RESULT_MATCHES_WRITE,
            request=attempt.request_number,
            attempt=attempt.index,
            result=result.value,
        )

    def on_attempt_ended(
        self, attempt: Attempt, result: AttemptResult, response: ServerResponse | None
    ) -> None:
        """Forward a final response to the client, and report the outcome of the attempt to the policy."""
        request = self._active[attempt.request_number]
        # A hold of the process that is detected after the attempt's start is subtracted completely from the
        # attempt's elapsed time, including the part of the hold before the start.
        elapsed_ns = max(0, monotonic_ns() - self._hold_detector.total_hold_ns() - attempt.effective_start_ns)
        if result not in NOT_EXECUTED and not request.first_execution_ns:
            request.first_execution_ns = attempt.written_at_ns or monotonic_ns()
        del request.attempts[attempt.index]
        if result is not AttemptResult.OK:
            self._telemetry.count(
                Event.ATTEMPT_FAILED, request=attempt.request_number, attempt=attempt.index, result=result
            )
        load_report: tuple[float, ...] = ()
        try:
            if request.is_answered:
                self._requests.remove_if_done(request)
            elif response is not None:
                self._forward_response(request, result, response)
            if response is not None and response.load_report:
                load_report = self._parse_load_report(response.load_report)
        finally:
            self._dispatch_event(
                api.AttemptOutcome(
                    request.request_number,
                    request.is_answered,
                    result,
                    elapsed_ns,
                    attempt.endpoint_id,
                    attempt.index,
                    load_report,
                )
            )

    def _forward_response(
        self, request: PendingRequest, result: AttemptResult, response: ServerResponse
    ) -> None:
        """Forward a final response to the client: a 200, or only the status of a CLIENT_ERROR."""
        if result is AttemptResult.OK:
            self._requests.send_final_response(request.request_number, 200, response.headers, response.body)
        elif result is AttemptResult.CLIENT_ERROR:
            # The attempt result CLIENT_ERROR is a fault of the request. Its status is forwarded without a
            # retry, because another server would send the same response.
            self._requests.send_final_response(request.request_number, response.status, [])


def _has_arrived_long_ago(request: PendingRequest) -> bool:
    """Return whether a client whose end of stream is not seen may have left too long ago for an attempt."""
    return monotonic_ns() - request.client_request.arrived_at_ns > MAX_UNSEEN_NS
