"""Support of the policy's tests: settings, a balancer driven by hand, and random events with a rule checker.

Servers are not simulated: the tests pass events to a balancer and check its actions.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace
from random import Random

from moleport.policy import Balancer
from moleport.policy import interface as api

SECOND_NS = 1_000_000_000
MS_NS = SECOND_NS // 1000
START_NS = 77 * SECOND_NS

DEADLINE_NS = SECOND_NS

# Limits that the checker applies; the balancer gets only the settings that it needs to keep them.
DRAIN_GRACE_NS = 500 * MS_NS
OVERLOAD_MULTIPLE = 3.0
OVERLOAD_WINDOW_NS = 1500 * MS_NS

SAFE = api.RequestClass(500 * MS_NS, 1.0, 0.0, api.Idempotency.IDEMPOTENT)
KEYED = api.RequestClass(
    400 * MS_NS, 5.0, 0.2, api.Idempotency.IDEMPOTENCY_KEY, api.DeduplicationScope.CELL, 700 * MS_NS
)
UNSAFE = api.RequestClass(300 * MS_NS, 10.0, 0.0, api.Idempotency.NOT_IDEMPOTENT)

BASE = api.Settings(
    classes=(SAFE, KEYED, UNSAFE),
    tenants=(),
    node_count=1,
    discovery_mode=api.DiscoveryMode.PUSH,
    poll_interval_ns=10 * SECOND_NS,
    slow_start_initial_ratio=0.15,
    slow_start_duration_ns=20 * SECOND_NS,
    max_attempts=4,
    max_retry_after_ns=2 * SECOND_NS,
    sends_retry_after=True,
    weight_by_work=False,
    load_report_fields=(),
    idle_timeout_ns=15 * SECOND_NS,
)


def settings(**changes: object) -> api.Settings:
    """Return `BASE` with changes."""
    return replace(BASE, **changes)  # type: ignore[arg-type]


def server(number: int, state: api.EndpointState = api.EndpointState.READY, started: int = 0) -> api.Endpoint:
    """Return an endpoint by its number; `started` is its start time in ns, 0 if unknown."""
    return api.Endpoint(number.to_bytes(6, "big"), number % 3, number // 3, state, 1.0, started)


def snapshot(*servers: api.Endpoint) -> api.EndpointUpdate:
    """Return a snapshot of endpoints."""
    return api.EndpointUpdate(api.EndpointUpdateKind.SNAPSHOT, servers)


class Node:
    """A balancer driven by hand, with consecutive request ids; times are in ns."""

    def __init__(
        self,
        with_settings: api.Settings = BASE,
        servers: int = 6,
        seed: int = 1,
        kind: api.EndpointUpdateKind = api.EndpointUpdateKind.SNAPSHOT,
    ) -> None:
        self.now = START_NS
        self.balancer = Balancer(with_settings, seed)
        self.timers = self._timers(self.balancer.start(self.now))
        self.next_id = 1
        self.sent: dict[int, list[api.Forward]] = {}
        self.handle(api.EndpointUpdate(kind, tuple(server(number) for number in range(servers))))

    @staticmethod
    def _timers(actions: Sequence[api.Action]) -> list[api.SetTimer]:
        return [action for action in actions if isinstance(action, api.SetTimer)]

    def handle(self, event: api.Event) -> list[api.Action]:
        """Pass an event to the balancer, record its timers and attempts, and return its actions."""
        actions = self.balancer.handle(self.now, event)
        self.timers += self._timers(actions)
        for action in actions:
            if isinstance(action, api.Forward):
                self.sent.setdefault(action.request_id, []).append(action)
        return actions

    def wait(self, span: int) -> list[api.Action]:
        """Advance the time by `span`, and deliver the timers that become due; return the actions."""
        end = self.now + span
        actions: list[api.Action] = []
        while due := [timer for timer in self.timers if timer.at_ns <= end]:
            timer = min(due)
            self.timers.remove(timer)
            self.now = max(self.now, timer.at_ns)
            actions += self.handle(api.TimerFired(timer.timer_id))
        self.now = end
        return actions

    def request(self, class_index: int = 0, key: int = 0, remaining_ns: int = SECOND_NS) -> list[api.Action]:
        """Pass a new request to the balancer, and return the actions."""
        self.next_id += 1
        return self.handle(api.Request(self.next_id - 1, remaining_ns, class_index, 0, key, False))

    def finish_attempt(
        self,
        forward: api.Forward,
        result: api.AttemptResult,
        elapsed: int = 10 * MS_NS,
        report: tuple[float, ...] = (),
    ) -> list[api.Action]:
        """Report the outcome of the newest attempt of a request, and return the actions."""
        attempt = len(self.sent[forward.request_id]) - 1
        closed = result is api.AttemptResult.OK
        return self.handle(
            api.AttemptOutcome(
                forward.request_id, closed, result, elapsed, forward.endpoint_id, attempt, report
            )
        )

    def serve(self, key: int, elapsed: int = 10 * MS_NS, class_index: int = 0) -> api.EndpointId | None:
        """Pass a new request and answer it; return the endpoint that it was forwarded to, or None."""
        action = self.request(class_index, key)[-1]
        if not isinstance(action, api.Forward):
            return None
        self.finish_attempt(action, api.AttemptResult.OK, elapsed)
        return action.endpoint_id


class RuleBrokenError(AssertionError):
    """A rule was broken; the message begins with the name of the rule and a colon."""


class _Attempt:
    """An attempt that the balancer made; times are in ns."""

    def __init__(self, endpoint: api.Endpoint, sent: int, timeout_ns: int) -> None:
        self.server = endpoint
        self.sent = sent
        self.timeout_ns = timeout_ns
        self.result: api.AttemptResult | None = None


class _AcceptedRequest:
    """A request that the balancer accepted, with its attempts; times are in ns."""

    def __init__(self, request: api.Request, request_class: api.RequestClass, now: int) -> None:
        self.request = request
        self.request_class = request_class
        self.expires_at = now + request.remaining_ns
        self.attempts: list[_Attempt] = []
        self.answered = False
        self.streaming_attempt: int | None = None  # index of the attempt whose response is being streamed
        self.cooldown_until = 0  # of its key, if its class is ordered by key


class RandomEvents:
    """A random legal sequence of events for one balancer, which checks every action against the rules.

    The rules are `lost`, `duplicate`, `drain`, `cold`, `order` and `malformed`; a broken one raises
    RuleBrokenError. Times are in ns.
    """

    def __init__(
        self, balancer: Balancer, rules: api.Settings, random: Random, streams: bool = False
    ) -> None:
        self.streams = streams
        self.balancer, self.rules, self.random = balancer, rules, random
        self.now = START_NS
        self.timers: list[api.SetTimer] = []
        self.listed: dict[api.EndpointId, api.Endpoint] = {}
        self.not_ready_since: dict[api.EndpointId, int] = {}  # when the balancer was notified
        self.requests: dict[int, _AcceptedRequest] = {}
        self.send_times: dict[api.EndpointId, list[int]] = {}
        self.warm_send_times: dict[api.EndpointId, list[int]] = {}  # those to an endpoint not in slow start
        self.sends_before_start: dict[api.EndpointId, int] = {}  # before the newest start was listed
        self.log: list[tuple[api.Event | None, list[api.Action]]] = []
        self.watch_count = 0
        self._check(None, balancer.start(self.now))

    # Generation of events.

    def run(self, steps: int) -> None:
        """Pass random events to the balancer, and let all open requests reach their deadlines."""
        self._update_list(api.EndpointUpdateKind.CACHED)
        possible_steps = [self._accept_request] * 6 + [self._finish_attempt] * 5 + [self._advance_time] * 3
        possible_steps += [self._change_list, self._disconnect_client, self._begin_stream]
        for _ in range(steps):
            self.random.choice(possible_steps)()
        self._run_to_deadlines()

    def _handle(self, event: api.Event) -> None:
        self._check(event, self.balancer.handle(self.now, event))

    def _accept_request(self) -> None:
        random = self.random
        index = random.randrange(len(self.rules.classes))
        request_class = self.rules.classes[index]
        remaining_ns = random.choice([DEADLINE_NS, DEADLINE_NS // 2, MS_NS])
        request = api.Request(
            len(self.requests) + 1,
            remaining_ns,
            index,
            random.randrange(3),
            random.choice([0, 1, 1, 2, 3, 99]),
            random.random() < 0.2,
        )
        self.requests[request.id] = _AcceptedRequest(request, request_class, self.now)
        self._handle(request)
        accepted = self.requests[request.id]
        if (
            not accepted.answered
            and not any(attempt.result is None for attempt in accepted.attempts)
            and not self.timers
        ):
            raise RuleBrokenError(
                f"lost: request {request.id} is neither in flight nor answered, and no timer is set"
            )

    def _attempts_in_flight(self) -> list[tuple[_AcceptedRequest, int]]:
        return [
            (accepted, index)
            for accepted in self.requests.values()
            for index, attempt in enumerate(accepted.attempts)
            if attempt.result is None
        ]

    def _finish_attempt(self) -> None:
        if in_flight := self._attempts_in_flight():
            accepted, index = self.random.choice(in_flight)
            result = self.random.choice(
                [
                    api.AttemptResult.OK,
                    api.AttemptResult.OK,
                    api.AttemptResult.OK,
                    api.AttemptResult.ERROR,
                    api.AttemptResult.REJECTED,
                    api.AttemptResult.CONNECT_FAILED,
                    api.AttemptResult.RESET,
                    api.AttemptResult.NOT_SENT,
                    api.AttemptResult.CANCELLED,
                ]
            )
            self._report_outcome(accepted, index, result)

    def _report_outcome(self, accepted: _AcceptedRequest, index: int, result: api.AttemptResult) -> None:
        attempt = accepted.attempts[index]
        attempt.result = result
        if result in (api.AttemptResult.TIMEOUT, api.AttemptResult.RESET, api.AttemptResult.CANCELLED):
            accepted.cooldown_until = self.now + self.rules.key_cooldown_ns
        stream_failed = accepted.streaming_attempt == index and result is not api.AttemptResult.OK
        if result is api.AttemptResult.OK or stream_failed:
            accepted.answered = True
        report = tuple(self.random.random() for _ in self.rules.load_report_fields)
        self._handle(
            api.AttemptOutcome(
                accepted.request.id,
                accepted.answered,
                result,
                self.now - attempt.sent,
                attempt.server.id,
                index,
                report,
            )
        )

    def _begin_stream(self) -> None:
        for accepted, index in self._attempts_in_flight():
            if self.streams and accepted.streaming_attempt is None and not accepted.answered:
                accepted.streaming_attempt = index  # neither its timeout nor the deadline ends it any more
                return

    def _disconnect_client(self) -> None:
        if self.requests:
            accepted = self.random.choice(list(self.requests.values()))
            accepted.answered = True  # the balancer must ignore the event for a closed request
            self._handle(api.ClientDisconnected(accepted.request.id))

    def _advance_time(self, span: int | None = None) -> None:
        """Advance the time by `span` or a random time, and deliver due timers and attempt timeouts."""
        end = self.now + (
            self.random.choice([MS_NS, 20 * MS_NS, 300 * MS_NS, 2 * SECOND_NS]) if span is None else span
        )
        while True:
            due = [(timer.at_ns, 0, timer.timer_id, 0) for timer in self.timers if timer.at_ns <= end]
            for accepted, index in self._attempts_in_flight():
                if accepted.streaming_attempt != index:
                    attempt = accepted.attempts[index]
                    at = min(
                        accepted.expires_at,
                        attempt.sent + attempt.timeout_ns if attempt.timeout_ns else accepted.expires_at,
                    )
                    if at <= end:
                        due.append((at, 1, accepted.request.id, index))
            if not due:
                break
            at, event_kind, name, index = min(due)
            self.now = max(self.now, at)
            if event_kind == 0:
                self.timers.remove(next(t for t in self.timers if (t.at_ns, t.timer_id) == (at, name)))
                self._handle(api.TimerFired(name))
            else:
                self._report_outcome(self.requests[name], index, api.AttemptResult.TIMEOUT)
            self._check_overdue()
        self.now = end
        self._check_overdue()

    def _update_list(self, kind: api.EndpointUpdateKind) -> None:
        random = self.random
        servers = []
        for number in range(random.choice([0, 1, 2, 9, 9])):
            state = random.choice([api.EndpointState.READY] * 5 + [api.EndpointState.DRAINING])
            started = random.choice([0, 0, 0, self.now - SECOND_NS, self.now])
            servers.append(server(number, state, started))
        if kind is api.EndpointUpdateKind.DELTA and servers:
            servers = random.sample(servers, 1)
            if random.random() < 0.3:
                servers[0] = servers[0]._replace(state=api.EndpointState.REMOVED)
        listed = {entry.id: entry for entry in servers}
        if kind is api.EndpointUpdateKind.DELTA:
            listed = {**self.listed, **listed}
        for name in {*self.listed, *listed}:
            ready = name in listed and listed[name].state is api.EndpointState.READY
            if ready:
                self.not_ready_since.pop(name, None)
            else:
                self.not_ready_since.setdefault(name, self.now)
        for name, entry in listed.items():
            if name not in self.listed or self.listed[name].started_at_ns != entry.started_at_ns:
                self.sends_before_start[name] = len(self.send_times.get(name, ()))
        self.listed = {**self.listed, **listed}
        self._handle(api.EndpointUpdate(kind, tuple(servers)))

    def _change_list(self) -> None:
        if self.rules.discovery_mode is api.DiscoveryMode.POLL:
            if not self.watch_count:
                return  # without a watch the balancer gets no updates
            if self.random.random() < 0.4:
                self._handle(api.EndpointUpdate(api.EndpointUpdateKind.FAILED, ()))
                return
        self._update_list(
            self.random.choice(
                [api.EndpointUpdateKind.SNAPSHOT, api.EndpointUpdateKind.DELTA, api.EndpointUpdateKind.DELTA]
            )
        )

    def _run_to_deadlines(self) -> None:
        """Let all open requests reach their deadlines, and complete the streamed responses."""
        for accepted, index in self._attempts_in_flight():
            if accepted.streaming_attempt == index:
                self._report_outcome(accepted, index, api.AttemptResult.OK)
        self._advance_time(DEADLINE_NS + MS_NS)
        for accepted in self.requests.values():
            if not accepted.answered:
                raise RuleBrokenError(f"lost: request {accepted.request.id} was never answered")

    # Checks of the actions.

    def _check(self, event: api.Event | None, actions: list[api.Action]) -> None:
        self.log.append((event, actions))
        for action in actions:
            if isinstance(action, api.SetTimer):
                self.timers.append(action)
            elif isinstance(action, api.WatchEndpoints):
                self.watch_count += 1
                if self.rules.discovery_mode is not api.DiscoveryMode.POLL:
                    raise RuleBrokenError("malformed: a watch in a discovery mode other than polling")
            elif isinstance(action, api.CloseIdleConnections):
                if action.endpoint_id not in self.listed:
                    raise RuleBrokenError(f"malformed: {action} names an endpoint that was never listed")
            else:
                if action.request_id not in self.requests:
                    raise RuleBrokenError(f"malformed: {action} names an unknown request")
                if isinstance(action, api.Forward):
                    self._check_forward(action)
                else:
                    self._check_answer(action)

    def _check_overdue(self) -> None:
        for accepted in self.requests.values():
            if (
                not accepted.answered
                and accepted.streaming_attempt is None
                and self.now > accepted.expires_at
            ):
                raise RuleBrokenError(f"lost: request {accepted.request.id} is unanswered past its deadline")

    def _check_forward(self, forward: api.Forward) -> None:
        accepted = self.requests[forward.request_id]
        if accepted.answered:
            raise RuleBrokenError(f"lost: {forward} comes after the final answer")
        if forward.endpoint_id not in self.listed:
            raise RuleBrokenError(f"malformed: {forward} is to an endpoint that was never listed")
        target = self.listed[forward.endpoint_id]
        if (
            forward.endpoint_id in self.not_ready_since
            and self.now > self.not_ready_since[forward.endpoint_id] + DRAIN_GRACE_NS
        ):
            raise RuleBrokenError(
                f"drain: {forward} is to an endpoint that drains or is removed, after the grace"
            )
        if len(accepted.attempts) >= self.rules.max_attempts:
            raise RuleBrokenError(f"duplicate: {forward} exceeds the maximum of attempts")
        if any(attempt.result is None for attempt in accepted.attempts):
            raise RuleBrokenError(f"duplicate: {forward} while an earlier attempt is in flight")
        for attempt in accepted.attempts:
            if attempt.result not in api.NOT_EXECUTED and not self._may_repeat(accepted, attempt, target):
                raise RuleBrokenError(
                    f"duplicate: {forward} though {attempt.server} may have executed the request"
                )
            keyed = (
                attempt.result not in api.NOT_EXECUTED
                and accepted.request_class.idempotency is api.Idempotency.IDEMPOTENCY_KEY
            )
            if (
                keyed
                and not self.now
                < forward.write_deadline_ns
                < attempt.sent + accepted.request_class.deduplication_window_ns
            ):
                raise RuleBrokenError(
                    f"duplicate: {forward} may be written after the deduplication window of {attempt.server}"
                )
        accepted.attempts.append(_Attempt(target, self.now, forward.timeout_ns))
        self._check_order(accepted, forward)
        self._check_slow_start(target)

    def _check_order(self, accepted: _AcceptedRequest, forward: api.Forward) -> None:
        key = accepted.request.key
        if not accepted.request_class.ordered_by_key or not key:
            return
        for earlier in self.requests.values():
            if earlier is accepted:
                return
            if earlier.request_class.ordered_by_key and earlier.request.key == key:
                if not earlier.answered or any(attempt.result is None for attempt in earlier.attempts):
                    raise RuleBrokenError(
                        f"order: {forward} before request {earlier.request.id} of its key has ended"
                    )
                if self.now < earlier.cooldown_until:
                    raise RuleBrokenError(
                        f"order: {forward} during the key cooldown after request {earlier.request.id}"
                    )

    def _may_repeat(self, accepted: _AcceptedRequest, earlier: _Attempt, target: api.Endpoint) -> bool:
        request_class = accepted.request_class
        if request_class.idempotency is not api.Idempotency.IDEMPOTENCY_KEY:
            return request_class.idempotency is api.Idempotency.IDEMPOTENT
        same_scope = {
            api.DeduplicationScope.ALL: True,
            api.DeduplicationScope.ZONE: earlier.server.zone == target.zone,
            api.DeduplicationScope.CELL: earlier.server.cell == target.cell,
        }[request_class.deduplication_scope]
        return (
            accepted.request.key != 0
            and same_scope
            and self.now - earlier.sent < request_class.deduplication_window_ns
        )

    def _check_answer(self, answer: api.Reject | api.Fail) -> None:
        accepted = self.requests[answer.request_id]
        if accepted.answered:
            raise RuleBrokenError(f"lost: {answer} is a second final answer")
        accepted.answered = True
        possibly_executed = [
            attempt for attempt in accepted.attempts if attempt.result not in api.NOT_EXECUTED
        ]
        request_class = accepted.request_class
        may_reject = request_class.idempotency is api.Idempotency.IDEMPOTENT or not possibly_executed
        may_reject |= (
            request_class.idempotency is api.Idempotency.IDEMPOTENCY_KEY
            and request_class.deduplication_scope is api.DeduplicationScope.ALL
        )
        if isinstance(answer, api.Reject):
            if not may_reject:
                raise RuleBrokenError(f"duplicate: {answer} though an attempt may have been executed")
            if answer.retry_after_ns > (self.rules.max_retry_after_ns if self.rules.sends_retry_after else 0):
                raise RuleBrokenError(f"malformed: {answer} has a longer retry delay than the settings allow")

    def _check_slow_start(self, target: api.Endpoint) -> None:
        """Check that an endpoint in slow start gets no more requests in any window than its capacity allows.

        The capacity is estimated by the highest number of requests in a window of the same length that any
        endpoint got outside slow start, as the requests before a restart show the capacity after slow start.
        """
        times = self.send_times.setdefault(target.id, [])
        times.append(self.now)
        age = self.now - target.started_at_ns
        if not target.started_at_ns or age >= self.rules.slow_start_duration_ns:
            self.warm_send_times.setdefault(target.id, []).append(self.now)
            return
        capacity_ratio = (
            self.rules.slow_start_initial_ratio
            + (1 - self.rules.slow_start_initial_ratio) * age / self.rules.slow_start_duration_ns
        )
        span = OVERLOAD_WINDOW_NS
        recent_sends = sum(
            1 for at in times[self.sends_before_start.get(target.id, 0) :] if at > self.now - span
        )
        max_warm_sends = 0
        for sent in self.warm_send_times.values():
            max_warm_sends = max(
                [max_warm_sends, *(sum(1 for x in sent if at - span < x <= at) for at in sent)]
            )
        # The 3 are two saved tokens and one earned.
        if recent_sends > OVERLOAD_MULTIPLE * capacity_ratio * max_warm_sends + 3:
            raise RuleBrokenError(f"cold: {recent_sends} requests within {span} ns to {target}")
