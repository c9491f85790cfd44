"""The lifecycle of a request, from its acceptance to its single final response.

This module sends the final response of each request that a client connection passes to it:
`RequestRegistry.accept_request` rejects requests at once, `RequestRegistry.send_final_response` sends what an
attempt or the policy has decided, and `RequestRegistry._fail` answers requests whose deadline has passed, or
on whose event the policy raised an exception. Client connections answer readiness checks, invalid requests
and requests that are read after a half-close themselves.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from time import monotonic_ns
from typing import Protocol

from moleport.config.node_config import Config
from moleport.node.attempt import Attempt
from moleport.node.name_hashing import hash_key
from moleport.node.packed_headers import Headers
from moleport.node.parsed_request import ParsedRequest
from moleport.policy import interface as api
from moleport.telemetry import Event, Telemetry
from moleport.units import NS_PER_MS, NS_PER_SECOND

log = logging.getLogger(__name__)

RESPONSE_TRANSIT_NS = 5 * NS_PER_MS
"""Attempts, and the time that the policy is given, end this long before the client's deadline.

The final response to an attempt's end or a decision of the policy then reaches the client in time."""


class ClientHandle(Protocol):
    """The client connection that a request arrived on and that its single final response is sent on."""

    def has_disconnected(self) -> bool:
        """Return whether the kernel has received the client's end of stream, even if it is unread."""
        ...

    def may_hide_disconnection(self) -> bool:
        """Return whether the client's end of stream may be behind data that the node does not read."""
        ...

    def has_send_capacity(self) -> bool:
        """Return whether the kernel takes a complete response, even if the client reads none."""
        ...

    def send_response(self, status: int, headers: Headers, body: bytes) -> None:
        """Send the final response of the request in progress."""
        ...

    def abort(self) -> None:
        """Close the connection at once."""
        ...


@dataclass(slots=True, eq=False)
class ClientRequest:
    """A valid request, which `client_request` builds from the parsed request."""

    client: ClientHandle
    request_id: bytes  # X-Request-Id header; the client sets a unique id for each request
    head: bytes  # request line and headers sent to a server, without X-Deadline and the blank line
    body: bytes
    class_index: int
    tenant_index: int
    key: int  # hash of the request's X-Key header; 0: no key
    is_client_retry: bool
    arrived_at_ns: int  # lower bound (monotonic ns) of the arrival of the request's last byte
    deadline_ns: int  # time until which the client waits for the response, in monotonic ns


def client_request(
    client: ClientHandle, parsed: ParsedRequest, tenant_indices: Mapping[bytes, int]
) -> ClientRequest:
    """Build the request of a client from its parsed form; an unknown tenant gets the index after the last."""
    fields = parsed.header_values
    key = fields.get(b"x-key")
    return ClientRequest(
        client=client,
        request_id=fields[b"x-request-id"],
        head=parsed.forwarded_head(),
        body=bytes(parsed.body),
        class_index=parsed.class_index,
        tenant_index=tenant_indices.get(fields.get(b"x-tenant", b""), len(tenant_indices)),
        key=hash_key(key) if key else 0,
        is_client_retry=fields.get(b"x-retry") == b"1",
        arrived_at_ns=parsed.arrived_at_ns,
        deadline_ns=parsed.arrived_at_ns + parsed.timeout_ns,
    )


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request that has no final response yet, or has attempts in flight."""

    request_number: int
    client_request: ClientRequest
    deadline_timer: asyncio.TimerHandle | None = None
    is_answered: bool = False
    # Time (monotonic ns) at which the client's half-close was detected; 0: not detected.
    half_closed_at_ns: int = 0
    # Time (monotonic ns) at which the request's first attempt that a server may have executed was written;
    # 0: no such attempt yet.
    first_execution_ns: int = 0
    # Number of attempts of the request so far, including those that could not be started.
    attempt_count: int = 0
    # Attempts of the request that have not ended, by attempt index.
    attempts: dict[int, Attempt] = field(default_factory=dict)


def retry_after_headers(delay_ns: int) -> Headers:
    """Return a Retry-After header in seconds, or no header for a delay of 0."""
    return [(b"Retry-After", b"%.3f" % (delay_ns / NS_PER_SECOND))] if delay_ns else []


class RequestRegistry:
    """Holds the active requests and ensures that each gets exactly one final response."""

    def __init__(
        self, config: Config, telemetry: Telemetry, dispatch_event: Callable[[api.Event], None]
    ) -> None:
        """Create a registry that reports requests and disconnections through `dispatch_event`."""
        self._config = config
        self._telemetry = telemetry
        self._dispatch_event = dispatch_event
        self._loop = asyncio.get_running_loop()
        # X-Request-Id of each request of this node that is unanswered or has attempts in flight.
        self._request_ids: set[bytes] = set()
        self._last_request_number = 0
        self._is_shutting_down = False
        # Requests that are unanswered or have attempts in flight, by the number that the node gave each.
        self.active: dict[int, PendingRequest] = {}

    # Methods that accept or reject new requests.

    def accept_request(self, client_request: ClientRequest) -> int:
        """Pass a client's request to the policy, or reject it at once.

        Returns the request number, by which the client connection refers to the request later.
        """
        self._last_request_number += 1
        now = monotonic_ns()
        request = PendingRequest(self._last_request_number, client_request)
        self._telemetry.count(
            Event.REQUEST_RECEIVED, request=request.request_number, id=client_request.request_id
        )
        remaining_ns = client_request.deadline_ns - RESPONSE_TRANSIT_NS - now
        if remaining_ns <= 0:
            self._telemetry.count(Event.REQUEST_EXPIRED_ON_ARRIVAL, request=request.request_number)
            self._send(request, 504, [])
        elif client_request.request_id in self._request_ids:
            # A new request is rejected if its X-Request-Id is that of a request that is unanswered or has
            # attempts in flight, as servers would treat the new request as a retry of the earlier one.
            self._telemetry.count(Event.REQUEST_DUPLICATE_ID, request=request.request_number)
            self._send(request, 409, [])
        elif self._is_shutting_down or len(self.active) >= self._config.max_requests:
            self._telemetry.count(self._rejection_event(), request=request.request_number)
            self._send(request, 503, self.default_retry_after_headers())
        else:
            self.active[request.request_number] = request
            self._request_ids.add(client_request.request_id)
            request.deadline_timer = self._loop.call_later(
                (client_request.deadline_ns - now) / NS_PER_SECOND, self._on_deadline, request
            )
            self._dispatch_event(
                api.Request(
                    request.request_number,
                    remaining_ns,
                    client_request.class_index,
                    client_request.tenant_index,
                    client_request.key,
                    client_request.is_client_retry,
                )
            )
        return request.request_number

    def _rejection_event(self) -> Event:
        if self._is_shutting_down:
            return Event.REQUEST_REJECTED_AT_SHUTDOWN
        return Event.REQUEST_REJECTED_BY_LIMIT

    def default_retry_after_headers(self) -> Headers:
        """Return the Retry-After header of rejections that are not decided by the policy."""
        settings = self._config.policy_settings
        return retry_after_headers(settings.max_retry_after_ns if settings.sends_retry_after else 0)

    # Methods that answer a request as the policy decides, or after the policy raised an exception.

    def reject(self, action: api.Reject) -> None:
        """Answer 503 to a request that the policy rejects; a 503 states that the request was not executed."""
        self._telemetry.count(Event.REQUEST_REJECTED_BY_POLICY, request=action.request_id)
        self.send_final_response(action.request_id, 503, retry_after_headers(action.retry_after_ns))

    def report_failure(self, action: api.Fail) -> None:
        """Answer 502 to a request that the policy fails; a server may have executed the request.

        From `RESPONSE_TRANSIT_NS` before the request's deadline on, the status is 504.
        """
        self._telemetry.count(Event.REQUEST_FAILED_BY_POLICY, request=action.request_id)
        request = self.active.get(action.request_id)
        if request is None:
            return
        deadline_ns = request.client_request.deadline_ns - RESPONSE_TRANSIT_NS
        status = 504 if monotonic_ns() >= deadline_ns else 502
        self.send_final_response(action.request_id, status, [])

    def on_policy_failed(self, request_number: int) -> None:
        """Answer 502 to a request on whose event the policy raised an exception."""
        request = self.active.get(request_number)
        if request is not None:
            self._fail(request, 502)

    # Methods that handle disconnections of clients.

    def on_client_disconnected(self, request_number: int) -> None:
        """End an unanswered request whose client has closed or reset its connection."""
        request = self.active.get(request_number)
        if request is None or request.is_answered:
            return
        self._telemetry.count(Event.CLIENT_DISCONNECTED, request=request_number)
        self._end_early(request)

    def on_client_half_closed(self, request_number: int) -> None:
        """Cancel the attempts for a half-closed client that are not fully written to a server.

        A closed connection cannot be told from a half-closed one at first. Attempts that are fully written
        continue, as the client may still wait for their response.
        """
        request = self.active.get(request_number)
        if request is None or request.is_answered or request.half_closed_at_ns:
            return
        self._telemetry.count(Event.CLIENT_DISCONNECTED, request=request_number)
        request.half_closed_at_ns = monotonic_ns()
        self._dispatch_event(api.ClientDisconnected(request_number, may_be_half_closed=True))
        for attempt in list(request.attempts.values()):
            attempt.end_if_unwritten()

    # Methods that send final responses and end requests.

    def fail_all(self) -> None:
        """Answer 504 to all unanswered requests and reject new ones, as the process is about to exit."""
        self._is_shutting_down = True
        for request in list(self.active.values()):
            self._on_deadline(request)

    def _on_deadline(self, request: PendingRequest) -> None:
        self._fail(request, 504)

    def _fail(self, request: PendingRequest, status: int) -> None:
        if request.is_answered:
            return
        self._telemetry.count(Event.REQUEST_OVERDUE, request=request.request_number, status=status)
        self._send(request, status, [])
        self._end_early(request)

    def _end_early(self, request: PendingRequest) -> None:
        """End a request without a decision of the policy: notify the policy and cancel the attempts."""
        self._mark_answered(request)
        self._dispatch_event(api.ClientDisconnected(request.request_number))
        for attempt in list(request.attempts.values()):
            attempt.cancel()

    def send_final_response(
        self, request_number: int, status: int, headers: Headers, body: bytes = b""
    ) -> None:
        """Send the final response of a request, unless one was sent before."""
        request = self.active.get(request_number)
        if request is not None and not request.is_answered:
            self._send(request, status, headers, body)
            self._mark_answered(request)

    def _send(self, request: PendingRequest, status: int, headers: Headers, body: bytes = b"") -> None:
        """Pass a final response to the client connection; abort the connection if sending fails.

        After such a failure the request and its attempts end as if the response had been sent. If they stayed
        active, they would count as in flight for good.
        """
        client = request.client_request.client
        try:
            client.send_response(status, headers, body)
        except Exception:
            request_id = request.client_request.request_id
            self._telemetry.count(
                Event.RESPONSE_FAILED, request=request.request_number, id=request_id, status=status
            )
            log.exception(
                "could not send response with status %d to request %d (id %r)",
                status,
                request.request_number,
                request_id,
            )
            client.abort()

    def _mark_answered(self, request: PendingRequest) -> None:
        request.is_answered = True
        if request.deadline_timer is not None:
            request.deadline_timer.cancel()
        self.remove_if_done(request)

    def remove_if_done(self, request: PendingRequest) -> None:
        """Remove a request that is answered and has no attempt in flight."""
        if not request.is_answered or request.attempts:
            return
        if self.active.pop(request.request_number, None) is not None:
            self._request_ids.discard(request.client_request.request_id)
