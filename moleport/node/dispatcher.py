"""One node: what happens on its sockets becomes the balancer's events, its actions become calls."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from contextlib import suppress
from dataclasses import dataclass, field, replace
from hashlib import blake2b
from itertools import islice
from math import inf
from random import Random
from time import monotonic_ns
from typing import Protocol

from moleport.config.endpoints import DiscoveredEndpoint, DiscoveryUpdate
from moleport.config.node_config import Config
from moleport.node import discovery_watch as discovery
from moleport.node.attempt import Attempt, WritePermission
from moleport.node.connection_pools import ConnectionPools
from moleport.node.discovery_watch import DiscoveryClient
from moleport.node.hold_detector import HoldDetector
from moleport.node.invariants import RequestWrite, violated_invariants
from moleport.node.response_parser import ServerResponse
from moleport.node.server_start_times import ServerStartTimes
from moleport.policy import Balancer
from moleport.policy import interface as api
from moleport.policy.interface import (
    NOT_EXECUTED,
    AttemptResult,
    DiscoveryMode,
    EndpointState,
    EndpointUpdateKind,
)
from moleport.telemetry import Event, Telemetry

log = logging.getLogger(__name__)

MS = 1_000_000  # ns
TRANSIT = 5 * MS  # a final answer sets out so much before the client's deadline, to be there in time
MENDED_AFTER = 1_000 * MS  # a timer whose event the policy failed on is set again after so long
REPORT_MOST = 1024  # bytes of a load report
SLICE = 256  # entries of a list that the module is told of in one turn of the loop
WATCH_PAUSE = 0.03  # s, where lists are pushed: from the end of a watch to the next; doubles each time
WATCH_DOUBLINGS = 5  # of that pause, at most
WATCH_PAUSE_PART = 0.5  # of the grace after a drain, at most: what the agent gets meanwhile counts as told


def hash_name(text: str | bytes) -> bytes:
    """Eight bytes that stand for a name on every node alike: the module hashes no more than that of an id."""
    return blake2b(text if isinstance(text, bytes) else text.encode(), digest_size=8).digest()


def hash_key(key: bytes) -> int:
    return int.from_bytes(hash_name(key), "little") or 1


def _advice(wait: int) -> list[tuple[bytes, bytes]]:
    return [(b"Retry-After", b"%.3f" % (wait / 1e9))] if wait else []


class ClientHandle(Protocol):
    """Who asked: gets one answer. `Node.client_ends` is called as the loop reads its end."""

    def has_disconnected(self) -> bool:
        """By the kernel's word, which the loop may not have read yet."""
        ...

    def send_response(self, status: int, headers: list[tuple[bytes, bytes]], body: bytes) -> None: ...


@dataclass(slots=True, eq=False)
class ClientRequest:
    """A request as the front has read it."""

    client: ClientHandle
    request_id: bytes  # new with every request, as clients give it
    head: bytes  # request line and headers for a server, but for X-Deadline and the blank line
    body: bytes
    class_index: int
    tenant_index: int
    key: int
    is_client_retry: bool
    deadline_ns: int  # monotonic ns


@dataclass(slots=True, eq=False)
class ActiveRequest:
    """A request that is unanswered or has attempts out."""

    number: int
    call: ClientRequest
    watchdog: asyncio.TimerHandle | None = None
    answered: bool = False
    left_at: int = 0  # monotonic ns, when its client was seen to send no more; 0: it was not
    ran_since: int = 0  # monotonic ns, when the first attempt that may have run was written; 0: none may have
    sent: int = 0  # attempts so far
    out: dict[int, Attempt] = field(default_factory=dict)


class Dispatcher:
    """Owns the balancer; it sees one event at a time, each once all actions on the one before are done."""

    def __init__(self, config: Config, pools: ConnectionPools) -> None:
        self._config = config
        self._pools = pools
        self._balancer = Balancer(config.policy_settings, config.seed)
        self._loop = asyncio.get_running_loop()
        self._events: deque[api.Event] = deque()
        self._telling = False
        self._open: dict[int, ActiveRequest] = {}
        self._identities: set[bytes] = set()  # of the requests in _open
        self._last_number = 0
        self._ending = False
        self._warned = False  # of load reports
        self._ready = pools.endpoint_ids()  # a live view: all that have a pool, and no others
        self._hosts: dict[
            str, DiscoveredEndpoint
        ] = {}  # as the module was last told of them; none that is gone
        self._outstanding: dict[
            str, DiscoveredEndpoint
        ] = {}  # entries of a long list that it is not told of yet
        self._next_slice: asyncio.Handle | None = None
        self._random = Random(config.seed)
        self._failed_watches = 0  # since the list was last told of
        self.telemetry = Telemetry()
        self.hold_detector = HoldDetector(self.telemetry)
        self._starts = ServerStartTimes()
        pushed = config.policy_settings.discovery_mode is DiscoveryMode.PUSH
        self._discovery = DiscoveryClient(
            config.discovery_address,
            config.cached_endpoints.version,
            self._list_came,
            self._watch_failed,
            discovery.AGENT_RESPONSE_TIMEOUT_S if pushed else discovery.SHARED_RESPONSE_TIMEOUT_S,
        )
        self._synced = asyncio.Event()

    # Start and stop.

    def start(self) -> None:
        self._pools.start()
        self.hold_detector.start()
        self._act_on(self._balancer.start(monotonic_ns()))
        self._starts.record(self._config.cached_endpoints.endpoints, monotonic_ns())
        self._follow(EndpointUpdateKind.CACHED, self._config.cached_endpoints.endpoints)
        if self._config.policy_settings.discovery_mode is DiscoveryMode.PUSH:
            self._discovery.watch()
        else:
            self._synced.set()

    async def wait_until_endpoints_known(self) -> None:
        """Until the agent has said what it knows, or has failed to: what it holds counts as told from the
        process's first moment, and what the configuration tells may be older. Where nothing has changed, it
        may tell nothing: a first line that is due and brings no list says that there is none."""
        with suppress(TimeoutError):
            await asyncio.wait_for(self._synced.wait(), discovery.FIRST_LINE_TIMEOUT_S)

    def reload(self, config: Config) -> None:
        """A new configuration: the watch moves to the address that it names. List and requests stay."""
        kept = replace(
            config,
            discovery_address=self._config.discovery_address,
            cached_endpoints=self._config.cached_endpoints,
            seed=self._config.seed,
        )
        if kept != self._config:
            log.warning("of the new configuration only discovery is used before a restart")
        log.info("discovery is at %s:%d", *config.discovery_address)
        self._config = replace(self._config, discovery_address=config.discovery_address)
        self._discovery.move(config.discovery_address)

    def has_endpoints(self) -> bool:
        return bool(self._ready)

    def fail_all_requests(self) -> None:
        """The process is about to end: whoever still waits is told, and whoever comes now."""
        self._ending = True
        for request in list(self._open.values()):
            self._overdue(request)

    # The balancer.

    def _tell(self, event: api.Event) -> None:
        self._events.append(event)
        if self._telling:
            return  # no event comes in the midst of another one's actions
        self._telling = True
        try:
            while self._events:
                event = self._events.popleft()
                self._act_on(self._decide(event))
        finally:
            self._telling = False

    def _decide(self, event: api.Event) -> list[api.Action]:
        try:
            return self._balancer.handle(monotonic_ns(), event)
        except Exception:
            log.exception("the policy failed on %r", event)
        if isinstance(event, api.TimerFired):
            # Some of the module's timers each set the next: one failure would stop them for good.
            self._set_timer(monotonic_ns() + MENDED_AFTER, event.timer_id)
        elif isinstance(event, api.Request | api.AttemptOutcome):
            number = event.id if isinstance(event, api.Request) else event.request_id
            request = self._open.get(number)
            if request is not None and not request.answered:
                self._overdue(request, 502)
        return []

    def _act_on(self, actions: list[api.Action]) -> None:
        for action in actions:
            try:
                self._do(action)
            except Exception:
                log.exception("action failed: %r", action)

    def _do(self, action: api.Action) -> None:
        if isinstance(action, api.Forward):
            self._send(action)
        elif isinstance(action, api.Reject):
            self.telemetry.count(Event.REQUEST_REJECTED_BY_POLICY, request=action.request_id)
            self._answer(action.request_id, 503, _advice(action.retry_after_ns))
        elif isinstance(action, api.Fail):
            self.telemetry.count(Event.REQUEST_FAILED_BY_POLICY, request=action.request_id)
            request = self._open.get(action.request_id)
            late = request is not None and monotonic_ns() >= request.call.deadline_ns - TRANSIT
            self._answer(action.request_id, 504 if late else 502, [])
        elif isinstance(action, api.SetTimer):
            self._set_timer(action.at_ns, action.timer_id)
        elif isinstance(action, api.CloseIdleConnections):
            pool = self._pools.get(action.endpoint_id)
            if pool is not None:
                pool.close_idle()
        else:
            self._discovery.watch()

    def _set_timer(self, at: int, token: int) -> None:
        # Rounded up to the loop's milliseconds: a timer that comes early finds nothing due yet.
        delay = max(0, at - monotonic_ns()) // MS + 1
        self._loop.call_later(delay / 1000, self._due, at, token)

    def _due(self, at: int, token: int) -> None:
        if monotonic_ns() < at:
            self._set_timer(at, token)
        else:
            self._tell(api.TimerFired(token))

    # Requests.

    def accept_request(self, call: ClientRequest) -> int:
        """A client's request has come. Returns its number, for `client_gone`."""
        self._last_number += 1
        now = monotonic_ns()
        request = ActiveRequest(self._last_number, call)
        self.telemetry.count(Event.REQUEST_RECEIVED, request=request.number, id=call.request_id)
        left = call.deadline_ns - TRANSIT - now
        if left <= 0:
            self.telemetry.count(Event.REQUEST_EXPIRED_ON_ARRIVAL, request=request.number)
            call.client.send_response(504, [], b"")
        elif call.request_id in self._identities:
            # Guards against a stranger that sends another client's id: a server would take it for a copy.
            self.telemetry.count(Event.REQUEST_DUPLICATE_ID, request=request.number)
            call.client.send_response(409, [], b"")
        elif self._ending or len(self._open) >= self._config.max_requests:
            refusal = Event.REQUEST_REJECTED_AT_SHUTDOWN if self._ending else Event.REQUEST_REJECTED_BY_LIMIT
            self.telemetry.count(refusal, request=request.number)
            call.client.send_response(503, self.retry_after_headers(), b"")
        else:
            self._open[request.number] = request
            self._identities.add(call.request_id)
            request.watchdog = self._loop.call_later((call.deadline_ns - now) / 1e9, self._overdue, request)
            self._tell(
                api.Request(
                    request.number, left, call.class_index, call.tenant_index, call.key, call.is_client_retry
                )
            )
        return request.number

    def retry_after_headers(self) -> list[tuple[bytes, bytes]]:
        """For a refusal that the module is not asked for."""
        settings = self._config.policy_settings
        return _advice(settings.max_retry_after_ns if settings.sends_retry_after else 0)

    def on_client_disconnected(self, number: int) -> None:
        request = self._open.get(number)
        if request is None or request.answered:
            return
        self.telemetry.count(Event.CLIENT_DISCONNECTED, request=number)
        self._close(request)

    def on_client_half_closed(self, number: int) -> None:
        """It sends no more, which is all that shows of one that closes its connection. What is out is waited
        for; a dial, or what is not written to its last byte, is given up."""
        request = self._open.get(number)
        if request is None or request.answered or request.left_at:
            return
        self.telemetry.count(Event.CLIENT_DISCONNECTED, request=number)
        request.left_at = monotonic_ns()
        self._tell(api.ClientDisconnected(number, is_half_closed=True))
        for attempt in list(request.out.values()):
            attempt.give_up_unwritten()

    def _overdue(self, request: ActiveRequest, status: int = 504) -> None:
        """Guards against a request that nobody answers, whatever the reason."""
        if not request.answered:
            self.telemetry.count(Event.REQUEST_OVERDUE, request=request.number, status=status)
            request.call.client.send_response(status, [], b"")
            self._close(request)

    def _close(self, request: ActiveRequest) -> None:
        """Over without an action of the module: it is told, and nothing goes on for it."""
        self._finish(request)
        self._tell(api.ClientDisconnected(request.number))
        for attempt in list(request.out.values()):
            attempt.cancel()

    def _answer(
        self, number: int, status: int, headers: list[tuple[bytes, bytes]], body: bytes = b""
    ) -> None:
        request = self._open.get(number)
        if request is not None and not request.answered:
            request.call.client.send_response(status, headers, body)
            self._finish(request)

    def _finish(self, request: ActiveRequest) -> None:
        request.answered = True
        if request.watchdog is not None:
            request.watchdog.cancel()
        self._forget_if_done(request)

    def _forget_if_done(self, request: ActiveRequest) -> None:
        if request.answered and not request.out and self._open.pop(request.number, None) is not None:
            self._identities.discard(request.call.request_id)

    # Attempts.

    def _send(self, action: api.Forward) -> None:
        request = self._open.get(action.request_id)
        if request is None:
            self._tell(
                api.AttemptOutcome(
                    action.request_id, True, AttemptResult.NOT_SENT, 0, action.endpoint_id, 0, ()
                )
            )
            return
        index = request.sent
        request.sent += 1
        pool = self._pools.get(action.endpoint_id)
        too_many = index >= self._config.policy_settings.max_attempts
        if pool is None or request.answered or too_many:
            stopped = Event.ATTEMPT_STOPPED_SERVER_REMOVED if pool is None else Event.ATTEMPT_STOPPED_LIMIT
            self.telemetry.count(stopped, request=request.number, attempt=index)
            self._tell(
                api.AttemptOutcome(
                    request.number, request.answered, AttemptResult.NOT_SENT, 0, action.endpoint_id, index, ()
                )
            )
            return
        now = monotonic_ns()
        latest = request.call.deadline_ns - TRANSIT
        attempt = Attempt(
            self,
            request.number,
            index,
            action.endpoint_id,
            pool,
            request.call.head,
            request.call.body,
            started_at_ns=now - self.hold_detector.stalled_ns(),
            expires_at_ns=min(latest, now + action.timeout_ns) if action.timeout_ns else latest,
            write_deadline_ns=action.write_deadline_ns,
        )
        request.out[index] = attempt
        attempt.start()

    def check_write_permission(self, attempt: Attempt) -> WritePermission:
        """The one guard of all that is written to servers, asked before each dial and each write: what was
        decided may have been overtaken by what lies unread with the kernel."""
        request = self._open.get(attempt.request_number)
        if request is None or request.answered:
            return WritePermission.DENIED
        if attempt.pool.retired:
            self.record_attempt_event(attempt, Event.ATTEMPT_STOPPED_SERVER_REMOVED)
            return WritePermission.DENIED
        if self.hold_detector.is_settling():
            # News of the list may lie beside the requests, and be older than the grace of a drain.
            self.record_attempt_event(attempt, Event.ATTEMPT_DELAYED_AFTER_STALL)
            return WritePermission.WAIT
        if request.left_at or request.call.client.has_disconnected():
            self.record_attempt_event(attempt, Event.ATTEMPT_STOPPED_CLIENT_DISCONNECTED)
            self.on_client_half_closed(request.number)
            return WritePermission.DENIED
        return WritePermission.GRANTED

    def record_attempt_event(self, attempt: Attempt, event: Event) -> None:
        self.telemetry.count(
            event, request=attempt.request_number, attempt=attempt.index, server=attempt.endpoint_id
        )

    def on_request_written(self, attempt: Attempt, told: int) -> None:
        """Checks what the guards are for, as the last byte is on its way."""
        request = self._open.get(attempt.request_number)
        assert request is not None  # it has this attempt out
        self.record_attempt_event(attempt, Event.ATTEMPT_WRITTEN)
        if attempt.index:
            self.telemetry.count(Event.ATTEMPT_RETRIED)
        now = monotonic_ns()
        kind = self._config.policy_settings.classes[request.call.class_index]
        pool = attempt.pool
        write = RequestWrite(
            idempotency=kind.idempotency,
            deduplication_window_ns=kind.deduplication_window_ns,
            attempt_index=attempt.index,
            max_attempts=self._config.policy_settings.max_attempts,
            other_attempt_count=len(request.out) - 1,
            is_answered=request.answered,
            since_execution_ns=now - request.ran_since if request.ran_since else None,
            since_client_disconnect_ns=now - request.left_at if request.left_at else None,
            since_endpoint_removal_ns=now - pool.retired_at_ns if pool.retired else None,
            drain_grace_ns=self._config.drain_grace_ns,
            stated_timeout_ns=told,
            remaining_ns=request.call.deadline_ns - now,
        )
        for invariant in violated_invariants(write):
            self.telemetry.violate(
                invariant, request=request.number, id=request.call.request_id, attempt=attempt.index
            )
        attempt.written_at_ns = now

    def on_attempt_ended(
        self, attempt: Attempt, result: AttemptResult, answer: ServerResponse | None
    ) -> None:
        """What became of an attempt: the answer goes to the client, and the module hears of it."""
        request = self._open[attempt.request_number]
        index, server = attempt.index, attempt.endpoint_id
        elapsed = monotonic_ns() - self.hold_detector.stalled_ns() - attempt.started_at_ns
        if result not in NOT_EXECUTED and not request.ran_since:
            request.ran_since = attempt.written_at_ns or monotonic_ns()
        del request.out[index]
        if answer is not None and not request.answered:
            if result is AttemptResult.OK:
                self._answer(request.number, 200, answer.headers, answer.body)
            elif result is AttemptResult.CLIENT_ERROR:
                # The request is at fault: another server would say the same, and none is worse for it.
                self._answer(request.number, answer.status, [], b"")
        self._forget_if_done(request)
        report = self._report(answer.load_report) if answer is not None and answer.load_report else ()
        self._tell(
            api.AttemptOutcome(request.number, request.answered, result, elapsed, server, index, report)
        )

    def _report(self, text: bytes) -> tuple[float, ...]:
        """The load report in the order of the settings; nothing, if a field is missing or unreadable."""
        try:
            if len(text) > REPORT_MOST:
                raise ValueError
            values = dict(part.strip().split(b"=", 1) for part in text.split(b","))
            report = tuple(float(values[name]) for name in self._config.load_report_fields)
            if not all(0.0 <= value < inf for value in report):  # no number passes neither
                raise ValueError
            return report
        except (ValueError, KeyError):
            if not self._warned:
                self._warned = True
                log.warning(
                    "load reports can't be used: %r, wanted %r", text, self._config.load_report_fields
                )
            return ()

    # The list of servers.

    def _list_came(self, update: DiscoveryUpdate) -> None:
        self._failed_watches = 0
        self._starts.record(update.endpoints, monotonic_ns())
        self._starts.end_initial_list()
        self._follow(
            EndpointUpdateKind.SNAPSHOT if update.is_snapshot else EndpointUpdateKind.DELTA, update.endpoints
        )
        if not self._outstanding:
            self._synced.set()

    def _watch_failed(self) -> None:
        self._synced.set()
        self.telemetry.count(Event.WATCH_FAILED)
        if self._config.policy_settings.discovery_mode is DiscoveryMode.PUSH:
            self._loop.call_later(self._watch_pause(), self._discovery.watch)
        else:
            if self._outstanding:
                # Told after it, they would tell the module that a watch stands, and it would ask no more.
                self._enter(EndpointUpdateKind.DELTA, list(self._outstanding.values()))
                self._outstanding.clear()
            self._tell(api.EndpointUpdate(EndpointUpdateKind.FAILED, ()))

    def _watch_pause(self) -> float:
        """Grows and differs from node to node: all lose their watches at once, and would ask together."""
        most = max(WATCH_PAUSE, WATCH_PAUSE_PART * self._config.drain_grace_ns / 1e9)
        pause = min(most, WATCH_PAUSE * (1 << min(self._failed_watches, WATCH_DOUBLINGS)))
        self._failed_watches += 1
        return pause * self._random.uniform(0.5, 1.0)

    def _follow(self, kind: EndpointUpdateKind, hosts: tuple[DiscoveredEndpoint, ...]) -> None:
        """A long list is compared with what is held. Servers that leave are acted on in this turn of the
        loop, as the time within which sends to them must end runs; what is new or changed is told in slices.
        News takes the place of what is outstanding of older news. Of two entries with one id the later
        holds."""
        latest = {host.id: host for host in hosts}
        gone: list[DiscoveredEndpoint] = []
        if kind is not EndpointUpdateKind.DELTA:
            self._outstanding.clear()
            gone = [
                host._replace(state=EndpointState.REMOVED)
                for host in self._hosts.values()
                if host.id not in latest
            ]
        elif self._outstanding:
            for identity in latest:
                self._outstanding.pop(identity, None)
        if (
            len(latest) <= SLICE or kind is EndpointUpdateKind.CACHED
        ):  # a cached one comes before there are requests
            self._enter(kind, list(latest.values()), gone)
            return
        changed = [host for host in latest.values() if self._hosts.get(host.id) != host]
        # Those that are sent to already come first: one that was restarted is cold.
        changed.sort(key=lambda host: host.id not in self._hosts)
        leaving = gone + [host for host in changed if host.state is not EndpointState.READY]
        self._outstanding.update((host.id, host) for host in changed if host.state is EndpointState.READY)
        self._enter(EndpointUpdateKind.DELTA, leaving)
        if self._outstanding and self._next_slice is None:
            self._next_slice = self._loop.call_soon(self._enter_slice)

    def _enter_slice(self) -> None:
        ids = list(islice(self._outstanding, SLICE))
        if ids:  # none if newer news has taken the place of all
            self._enter(EndpointUpdateKind.DELTA, [self._outstanding.pop(identity) for identity in ids])
        # Between two slices the loop looks at its sockets: requests are served meanwhile.
        self._next_slice = self._loop.call_soon(self._enter_slice) if self._outstanding else None
        if not self._outstanding:
            self._synced.set()

    def _enter(
        self,
        kind: EndpointUpdateKind,
        hosts: list[DiscoveredEndpoint],
        gone: list[DiscoveredEndpoint] | None = None,
    ) -> None:
        """Tell the module of entries, and keep hosts and pools in step with it. `gone` are those that a whole
        list left out: where it is told whole, the module sees so itself."""
        servers = tuple(self._server(host) for host in hosts)
        leaving = [hash_name(host.id) for host in gone or ()]
        for host in gone or ():
            del self._hosts[host.id]
        for host, server in zip(hosts, servers, strict=True):
            if host.state is EndpointState.REMOVED:
                self._hosts.pop(host.id, None)
            else:
                self._hosts[host.id] = host
            if host.state is EndpointState.READY:
                self._pools.add_endpoint(server.id, host.address, server.started_at_ns)
            else:
                leaving.append(server.id)
        # The module is told before the others are retired: what ends by that may be sent elsewhere at once.
        self._tell(api.EndpointUpdate(kind, servers))
        for identity in leaving:
            self._pools.retire_endpoint(identity)
        self._starts.forget_removed(self._hosts)

    def _server(self, host: DiscoveredEndpoint) -> api.Endpoint:
        zones, kinds = self._config.zone_indices, self._config.hardware_type_indices
        return api.Endpoint(
            hash_name(host.id),
            zones.get(host.zone, len(zones)),
            host.cell,
            host.state,
            host.weight,
            self._starts.started_at_ns(host),
            kinds.get(host.hardware_type, len(kinds)),
        )
