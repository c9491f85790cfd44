"""Regression test: the decisions on recorded events stay the same to the byte.

Each recording is a fixed sequence of events for one node: lists, requests, outcomes, disconnections and
timers, which depend on a seed and on the actions of the module. The digest covers every event and every
action. A commit that changes decisions on purpose replaces the digests and says so; any other commit must not
change them.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field, replace
from hashlib import sha256
from random import Random

import pytest

from moleport.policy import Balancer
from moleport.policy import interface as api

MS_NS = 1_000_000  # ns
SECOND_NS = 1_000 * MS_NS
START_NS = 50 * SECOND_NS
REQUEST_COUNT = 6_000
SERVICE_TIME_NS = 15 * MS_NS
WEIGHTS = (1.0, 1.0, 0.5, 2.75, 1.0, 1.0, 0.0, 1.0, 2.0**50, 1.0, 1.0, 1.0)

IDEMPOTENT = api.RequestClass(200 * MS_NS, 3.0, 0.0, api.Idempotency.IDEMPOTENT)
LATE_VALUE = api.RequestClass(300 * MS_NS, 1.0, 0.5, api.Idempotency.IDEMPOTENT)
NOT_IDEMPOTENT_CLASS = api.RequestClass(500 * MS_NS, 9.0, 0.0, api.Idempotency.NOT_IDEMPOTENT)
IDEMPOTENCY_KEY_CLASSES = tuple(
    api.RequestClass(400 * MS_NS, 5.0, 0.2, api.Idempotency.IDEMPOTENCY_KEY, group, 700 * MS_NS)
    for group in api.DeduplicationScope
)
ORDERED_CLASS = api.RequestClass(
    600 * MS_NS, 6.0, 0.0, api.Idempotency.IDEMPOTENCY_KEY, api.DeduplicationScope.CELL, 900 * MS_NS, True
)

PLAIN_SETTINGS = api.Settings(
    classes=(IDEMPOTENT, NOT_IDEMPOTENT_CLASS, LATE_VALUE, *IDEMPOTENCY_KEY_CLASSES, ORDERED_CLASS),
    tenants=(),
    node_count=3,
    discovery_mode=api.DiscoveryMode.PUSH,
    poll_interval_ns=8 * SECOND_NS,
    slow_start_initial_ratio=0.2,
    slow_start_duration_ns=6 * SECOND_NS,
    max_attempts=3,
    max_retry_after_ns=SECOND_NS,
    sends_retry_after=True,
    weight_by_work=False,
    load_report_fields=(),
    idle_timeout_ns=4 * SECOND_NS,
    key_cooldown_ns=300 * MS_NS,
)
POLL_SETTINGS = replace(
    PLAIN_SETTINGS, discovery_mode=api.DiscoveryMode.POLL, node_count=40, zone=1, overload_multiple=3.0
)
LOAD_REPORT_SETTINGS = replace(
    PLAIN_SETTINGS, load_report_fields=("in_flight", "utilization"), zone=0, weight_by_work=True
)
TENANT_SETTINGS = replace(
    PLAIN_SETTINGS,
    tenants=(api.Tenant(0.5), api.Tenant(0.1), api.Tenant(0.0)),
    sends_retry_after=False,
    max_attempts=2,
)


@dataclass
class Recording:
    """The events of one node, generated while they are played, and the digest of events and actions."""

    settings: api.Settings
    seed: int
    request_rate: float  # requests per second
    endpoint_count: int
    now_ns: int = START_NS
    timers: list[tuple[int, int]] = field(default_factory=list)
    in_flight: list[tuple[int, int, int, bytes, int]] = field(default_factory=list)  # end time, request, ...
    attempts: dict[int, int] = field(default_factory=dict)
    answered: set[int] = field(default_factory=set)
    counts: Counter[str] = field(default_factory=Counter)  # number of actions by type
    service_time_factors: dict[bytes, float] = field(default_factory=dict)  # by endpoint; 0: no answer

    def __post_init__(self) -> None:
        self.random = Random(self.seed)
        self.digest = sha256()
        self.balancer = Balancer(self.settings, self.seed)
        self.endpoints: dict[bytes, api.Endpoint] = {}
        self._record(self.balancer.start(self.now_ns))

    def play(self) -> str:
        """Play all events, and return the start of the digest."""
        self._update_list(0, [self._endpoint(number) for number in range(self.endpoint_count)])
        for number in range(1, REQUEST_COUNT + 1):
            burst = 6.0 if number % 3_000 > 2_400 else 1.0
            self._advance(int(self.random.expovariate(self.request_rate * burst) * SECOND_NS))
            self._request(number)
            if number % 40 == 0:
                self._change_conditions(number)
        self._advance(3 * SECOND_NS)
        return self.digest.hexdigest()[:16]

    def _endpoint(self, number: int, started: int = 0, state: int = 0) -> api.Endpoint:
        states = (api.EndpointState.READY, api.EndpointState.DRAINING, api.EndpointState.REMOVED)
        weight = WEIGHTS[number % len(WEIGHTS)] if self.seed % 2 else 1.0
        entry = api.Endpoint(
            number.to_bytes(8, "big"), number % 3, number // 7, states[state], weight, started, number % 2
        )
        self.endpoints[entry.id] = entry
        return entry

    def _advance(self, duration_ns: int) -> None:
        end_ns = self.now_ns + duration_ns
        while True:
            timer = min(self.timers, default=(end_ns + 1, 0))
            outcome = min(self.in_flight, default=(end_ns + 1, 0, 0, b"", 0))
            if min(timer[0], outcome[0]) > end_ns:
                break
            if timer[0] <= outcome[0]:
                self.timers.remove(timer)
                self.now_ns = max(self.now_ns, timer[0])
                self._handle(api.TimerFired(timer[1]), f"timer {timer[1]}")
            else:
                self.in_flight.remove(outcome)
                self.now_ns = max(self.now_ns, outcome[0])
                self._end_attempt(outcome)
        self.now_ns = end_ns

    def _request(self, number: int) -> None:
        randrange = self.random.randrange
        key = randrange(60) if randrange(3) else 7 if randrange(2) else 0
        remaining_ns = (2 * SECOND_NS, 900 * MS_NS, 150 * MS_NS, 2 * MS_NS)[randrange(4)]
        index = randrange(len(self.settings.classes))
        request = api.Request(number, remaining_ns, index, randrange(4), key, randrange(6) == 0)
        self._handle(request, f"request {number} {remaining_ns} {index} {key}")

    def _end_attempt(self, outcome: tuple[int, int, int, bytes, int]) -> None:
        _, request, attempt, endpoint_id, started_at_ns = outcome
        result = self._result(endpoint_id, self.now_ns - started_at_ns)
        if result is api.AttemptResult.OK:
            self.answered.add(request)
        report = tuple(round(self.random.random(), 3) for _ in self.settings.load_report_fields)
        if self.random.randrange(10) == 0:
            report = ()
        is_answered = request in self.answered
        event = api.AttemptOutcome(
            request, is_answered, result, self.now_ns - started_at_ns, endpoint_id, attempt, report
        )
        self._handle(
            event,
            f"outcome {request} {is_answered} {list(api.AttemptResult).index(result)} {attempt} {report}",
        )

    def _result(self, endpoint_id: bytes, elapsed_ns: int) -> api.AttemptResult:
        if self.endpoints[endpoint_id].state is api.EndpointState.REMOVED:
            return api.AttemptResult.CONNECT_FAILED if self.random.randrange(2) else api.AttemptResult.RESET
        service_time_factor = self.service_time_factors.get(endpoint_id, 1.0)
        if not service_time_factor or (elapsed_ns >= 200 * MS_NS and self.random.randrange(2)):
            return api.AttemptResult.TIMEOUT
        draw = self.random.randrange(60)
        failures = (
            api.AttemptResult.ERROR,
            api.AttemptResult.REJECTED,
            api.AttemptResult.RESET,
            api.AttemptResult.CANCELLED,
            api.AttemptResult.NOT_SENT,
            api.AttemptResult.CLIENT_ERROR,
            api.AttemptResult.CONNECT_FAILED,
            api.AttemptResult.REJECTED,
        )
        if service_time_factor < 0.5:
            return failures[draw % len(failures)]
        return failures[draw] if draw < len(failures) else api.AttemptResult.OK

    def _change_conditions(self, request_number: int) -> None:
        """Change the list, the endpoints or the clients; ten kinds of change take turns."""
        randrange, change_kind = self.random.randrange, request_number // 40 % 10
        chosen_number = randrange(self.endpoint_count)
        endpoint_id = chosen_number.to_bytes(8, "big")
        if change_kind == 0:
            self._update_list(2, [self._endpoint(chosen_number, started=self.now_ns - randrange(SECOND_NS))])
        elif change_kind == 1:
            self._update_list(
                2,
                [
                    self._endpoint(chosen_number, state=1),
                    self._endpoint((chosen_number + 1) % self.endpoint_count, state=2),
                ],
            )
        elif change_kind == 2:
            numbers = self.random.sample(range(self.endpoint_count), self.endpoint_count - randrange(6))
            self._update_list(
                1,
                [
                    self._endpoint(number, started=randrange(2) * (self.now_ns - SECOND_NS))
                    for number in numbers
                ],
            )
        elif change_kind == 3:
            self.service_time_factors[endpoint_id] = (0.0, 0.2, 6.0)[randrange(3)]
        elif change_kind == 4:
            self.service_time_factors.clear()
        elif change_kind == 5:
            for _ in range(5):
                self._handle(
                    api.ClientDisconnected(max(1, request_number - randrange(20)), bool(randrange(2))),
                    "client gone",
                )
        elif change_kind == 6:
            self._update_list(3, [])
        elif change_kind == 7:
            self._update_list(2, [self._endpoint(number) for number in range(self.endpoint_count)])
        elif change_kind == 8:
            self._advance(randrange(4) * SECOND_NS)
        else:
            for number in range(self.endpoint_count // 3):
                self.service_time_factors[number.to_bytes(8, "big")] = (0.0, 0.3)[randrange(2)]

    def _update_list(self, kind: int, endpoints: list[api.Endpoint]) -> None:
        kinds = (
            api.EndpointUpdateKind.CACHED,
            api.EndpointUpdateKind.SNAPSHOT,
            api.EndpointUpdateKind.DELTA,
            api.EndpointUpdateKind.FAILED,
        )
        self._handle(api.EndpointUpdate(kinds[kind], tuple(endpoints)), f"list {kind} {len(endpoints)}")

    def _handle(self, event: api.Event, text: str) -> None:
        self.digest.update(f"{self.now_ns} {text}\n".encode())
        self._record(self.balancer.handle(self.now_ns, event))

    def _record(self, actions: list[api.Action]) -> None:
        action_types = (
            api.Forward,
            api.Reject,
            api.Fail,
            api.CloseIdleConnections,
            api.SetTimer,
            api.WatchEndpoints,
        )
        for action in actions:
            fields = [int(value) if isinstance(value, int) else value for value in action]
            self.digest.update(f"  {action_types.index(type(action))} {fields}\n".encode())
            self.counts[type(action).__name__] += 1
            if isinstance(action, api.Forward):
                self._start_attempt(*action)
            elif isinstance(action, api.Reject | api.Fail):
                self.answered.add(action[0])
            elif isinstance(action, api.SetTimer):
                self.timers.append((action[0], int(action[1])))

    def _start_attempt(
        self, request: int, endpoint_id: bytes, timeout_ns: int, _write_deadline_ns: int
    ) -> None:
        attempt = self.attempts.get(request, -1) + 1
        self.attempts[request] = attempt
        duration_ns = int(
            SERVICE_TIME_NS
            * self.service_time_factors.get(endpoint_id, 1.0)
            * self.random.gammavariate(2.0, 0.5)
        )
        if self.service_time_factors.get(endpoint_id, 1.0) == 0.0:
            duration_ns = 100 * SECOND_NS
        self.in_flight.append(
            (self.now_ns + min(timeout_ns, max(1, duration_ns)), request, attempt, endpoint_id, self.now_ns)
        )


@pytest.mark.parametrize(
    ("name", "settings", "rate", "count", "digests"),
    [
        ("plain", PLAIN_SETTINGS, 300.0, 40, ("a0b7cce6dd506f24", "b2d6c0fb925cb158")),
        ("polled", POLL_SETTINGS, 120.0, 150, ("befc91e1bffdb242", "91457bcd7200679c")),
        ("reported", LOAD_REPORT_SETTINGS, 900.0, 40, ("7897fdc95c5b6aff", "cfc10e04363501b4")),
        ("tenants", TENANT_SETTINGS, 500.0, 6, ("5a320fd29707d078", "8144eb26a6e51648")),
    ],
)
def test_the_actions_on_recorded_events_stay_the_same(
    name: str, settings: api.Settings, rate: float, count: int, digests: tuple[str, str]
) -> None:
    assert tuple(Recording(settings, seed, rate, count).play() for seed in (1, 2)) == digests, name
