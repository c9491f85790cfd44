"""All decisions of the balancer. Its events, actions and settings are in interface.py, beside this file.

The ordinary path of a request: its class's adaptive circuit breaker admits or refuses it at once; its key
names two servers and the one with fewer of this node's own requests in flight gets it. The rest is what
that leaves open: servers that fail, start, drain or leave, further attempts, and the list of servers.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from functools import partial
from heapq import heappop, heappush
from itertools import accumulate
from math import exp, inf, sqrt
from random import Random

from moleport.policy import interface as api
from moleport.policy.actions import ActionBuffer, DeferredTasks
from moleport.policy.connection_health import ConnectionHealth
from moleport.policy.discovery_polling import DiscoveryPoller
from moleport.policy.hardware_types import HardwareTypes
from moleport.policy.hashing import (
    HASH_RATIO_SCALE,
    MAX_WEIGHT,
    MIN_WEIGHT,
    WEIGHT_UNITS,
    mix64,
    to_weight_units,
)
from moleport.policy.hot_keys import HotKeyTracker
from moleport.policy.interface import (
    AttemptResult,
    EndpointState,
    EndpointUpdateKind,
)
from moleport.policy.load_reports import LoadReports
from moleport.policy.quotas import TenantQuotas
from moleport.policy.rejection_rates import RejectionRates
from moleport.policy.state import ActiveRequest, Attempt, EndpointStatus
from moleport.policy.zones import CandidateIndex

SECOND = 1_000_000_000  # ns

# The breaker: the paper's controller, its period and smoothing shorter as overload fills servers in seconds.
PERIOD = SECOND // 2  # ns between two updates
KEEP = 0.5  # p: part of the old alpha that an update keeps
PERCENTILE = 0.85  # of response times: the last few are long by their own work, not by load
TARGET = 0.7  # of a class's aim
HEADROOM = 1.5  # times the unloaded tail: no target is below that, as no cap could reach it
BASE_FALLS, BASE_RISES = 0.2, 0.01  # part of the way that the unloaded tail follows a window's
CENSORED = 2.0  # times what was waited: an attempt that timed out would have taken longer
START_PER_SERVER = 10.0  # requests in flight, of all nodes together: the cap until a window tells
SPREADS = 2.0  # roots of the cap that chance may bunch above it
LEAST_PER_SERVER = 0.3  # of a class, likewise, are always let in: without samples no cap could rise again
PROVEN_PART = 0.5  # of the most that was lately carried within the target: the cap stays above that
PROVEN_FADES = 0.99  # each window
WORTH_ABOVE = 1.2  # times the worth for its work: a class whose threshold binds the lesser ones too
WORTH_MORE = 2.0  # times the worth for its work: a class that the lesser ones leave room for
RESERVE = 0.8  # part of such a class's threshold that they may fill
RESUBMITTED_PART = 0.5  # of its cap, for a client's marked retry: its aim is part gone
OVER_SHARE_PART = 0.5  # of its cap, for a tenant beyond its share

# Servers.
FULL_ABOVE = 0.5  # of it: goes only to a server that is not, while there is one
FULL_LOOKS = 100  # of them, before the least loaded is taken: more would cost more than they are worth
FULL_COUNTS = 2.0  # a server always full is compared as with so many more requests in flight
BUSY_ABOVE = 0.7  # part of its cores in use: above it a server counts as with up to one more in flight
PACE_WEIGHT = 0.05  # part of the newest response time in a server's pace
SLOW_ABOVE = 2.0  # slowness: its response times tell of it alone then, and close the breaker for no other
DRAWS = 12  # tries to find two servers that may be used before any usable one is taken
FAIL_WEIGHT = 0.3  # part of the newest outcome in a server's share of failures: two in a row eject
SLOW_WEIGHT = 0.15  # the same for a time-out or a reset of a server that answers others: it is not down
ANSWERS = SECOND // 2  # a server that did so lately does
FLEET_WEIGHT = 0.02  # the same for all servers together: the last fifty outcomes or so
EJECT_ABOVE = 0.5  # share of failures
EJECT_TIMES_FLEET = 2.5  # and so much above the fleet's: what fails everywhere is no server's fault
EJECT_WORSE = 0.25  # and so much above that of one that is out: takes its place where there is no other
EJECT_PART = 1 / 4  # of the list at most: more leaves the others with more than they can carry
UNREACHABLE_PART = 3 / 4  # the same where connections fail: that is no sign of load
ANSWERED_LATELY = 2 * SECOND  # a failed connection is no failure of a server that did
STALE = 8  # entries in the heap of the ejected for each of them, before it is made anew
EJECT_TIME = 2 * SECOND  # doubles with each failed trial
SLOW_START_CAUTION = 0.8  # of what a warm server takes: a cold server's keys are cold too and cost more
COLD_SLACK = 3.0  # requests, of all nodes, that a cold server stands beyond its budget, however small that is
SLOW_START_BURST = 2.0  # requests that a cold server's budget may save up
CONNECT_LEAST = 0.1  # share of new connections that fail; one below it is none
CONNECT_COUNTS = 8.0  # where all fail, a server without an idle one counts as with so many more in flight

# Further attempts.
RETRY_BUDGET = 0.1  # further attempts earned by each first one
RETRY_BURST = 10.0  # that may be saved up
RETRY_LEAST = 0.5  # of what is usual for the class: with less time left no further attempt is made

# The list.
MANY = 50  # part of the list, one in: so many that come at once are sorted in, fewer inserted
DOUBLINGS = 4  # of that pause and of an ejection, at most


@dataclass(slots=True)
class InFlight:
    """Requests in flight, now and in the mean of late."""

    count: int = 0
    mean: float = 0.0
    changed_at_ns: int = 0

    def add(self, now: int, change: int) -> None:
        keep = exp((self.changed_at_ns - now) / PERIOD)
        self.mean = keep * self.mean + (1.0 - keep) * self.count
        self.count += change
        self.changed_at_ns = now

    def is_below(self, now: int, cap: float) -> bool:
        """At a small share of the traffic a cap is near one or less, and chance bunches a few requests where
        the mean is far from it: up to a few spreads above the cap are let in while the mean is below it."""
        self.add(now, 0)
        return self.count + 1 <= cap or (self.mean < cap and self.count < cap + SPREADS * sqrt(cap))


@dataclass(slots=True)
class CircuitBreaker:
    """The paper's controller for one class: at how many requests in flight at this node it meets its aim."""

    latency_objective_ns: int
    target_ns: float = 0.0
    unloaded_tail_ns: float = 0.0  # the tail where little waits: followed down fast and up slowly
    ns_per_request: float = 0.0  # response time for each request in flight; 0 until a window has told
    proven_in_flight: float = 0.0  # requests in flight, all classes
    typical_ns: float = 0.0  # response time: a measure of the class's work
    in_flight: InFlight = field(default_factory=InFlight)  # of this class
    samples_ns: list[float] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.target_ns, self.typical_ns = TARGET * self.latency_objective_ns, float(self.latency_objective_ns)

    def threshold(self, start: float) -> float:
        return (
            max(self.target_ns / self.ns_per_request, PROVEN_PART * self.proven_in_flight)
            if self.ns_per_request
            else start
        )

    def update(self, in_flight: float, start: float, idle: bool) -> None:
        """At the end of a window, with the mean of the requests in flight in it."""
        if self.samples_ns and in_flight:
            self.samples_ns.sort()
            # An answer within the same tick took no time: a zero would divide.
            tail = max(1.0, self.samples_ns[int(PERCENTILE * (len(self.samples_ns) - 1))])
            self.typical_ns += (1 - KEEP) * (self.samples_ns[len(self.samples_ns) // 2] - self.typical_ns)
            follow = BASE_FALLS if tail < self.unloaded_tail_ns else BASE_RISES
            self.unloaded_tail_ns = (
                self.unloaded_tail_ns + follow * (tail - self.unloaded_tail_ns)
                if self.unloaded_tail_ns
                else tail
            )
            self.target_ns = min(
                self.latency_objective_ns,
                max((1.0 if idle else TARGET) * self.latency_objective_ns, HEADROOM * self.unloaded_tail_ns),
            )
            # Where all servers turn slow, no cap can meet the target and the plain rule falls without end.
            self.proven_in_flight = max(
                PROVEN_FADES * self.proven_in_flight, in_flight if tail <= self.target_ns else 0.0
            )
            alpha = tail / in_flight
            # A window within its target can't lower the cap: a quiet one would, and refuse the next burst.
            if tail > self.target_ns or self.target_ns / alpha > self.threshold(start):
                self.ns_per_request = (
                    KEEP * (self.ns_per_request or self.target_ns / max(1.0, start)) + (1 - KEEP) * alpha
                )
        self.samples_ns.clear()


@dataclass(slots=True)
class KeyQueue:
    """The requests of one key that run in order: the first has the turn, the others wait."""

    requests: deque[ActiveRequest] = field(default_factory=deque)
    cooldown_until_ns: int = 0  # what may still run at a server is given this long


class Balancer:
    """One node's decisions: timed events in, actions out. No clock, no input or output of its own."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self._settings = settings
        self._random = Random(seed)
        self._breakers = [CircuitBreaker(kind.latency_objective_ns) for kind in settings.classes]
        self._backends: dict[api.EndpointId, EndpointStatus] = {}
        self._ready: list[EndpointStatus] = []  # by id
        self._candidates: CandidateIndex[EndpointStatus] = CandidateIndex(settings.zone)
        self._changed: dict[api.EndpointId, None] = {}  # entries that the list just changed
        # Of those that are ready, by what ticks look at; a dict's order is the same in each process.
        self._ejected: dict[EndpointStatus, None] = {}
        self._by_failures: list[
            tuple[float, api.EndpointId]
        ] = []  # a heap of the ejected, with stale entries
        self._cold: dict[EndpointStatus, None] = {}  # or not yet known to be warm
        self._warm_units = 0  # weight of those that are warm
        self._rejection_rates = RejectionRates()
        self._open: dict[int, ActiveRequest] = {}
        self._caps = [0.0] * len(settings.classes)  # requests in flight at which a class is refused
        self._in_flight = InFlight()
        self._quotas = TenantQuotas(settings.tenants)
        self._deferred = DeferredTasks()
        self._fleet_failures = 0.0  # share of attempts
        self._hardware_types = HardwareTypes()
        self._load_reports = LoadReports(settings, self._hardware_types)
        self._key_queues: dict[int, KeyQueue] = {}  # by key
        self._retry_budget = RETRY_BURST
        self._hitters = HotKeyTracker()  # among the keys
        self._answered = 0  # requests, by warm servers in this window
        self._warm_answers = self._warm_time = self._time = 0.0  # the same, their weight by time, and time
        self._rate = 0.0  # answers per nanosecond and unit of a warm server's weight, lately
        self._window_requests = 0  # arrivals in this window
        self._arrival_rate = 0.0  # requests per nanosecond, lately
        self._assumed_rate = 0.0  # stands in for the rate of warm servers while none was measured
        self._visits = 1.0  # part of the visits to a cold server that may use what is saved up
        self._actions = ActionBuffer()
        self._connections = ConnectionHealth(settings.idle_timeout_ns, self._actions)
        self._poller = DiscoveryPoller(settings, self._random, self._actions)

    # Events.

    def start(self, now: int) -> list[api.Action]:
        """First actions; the cached list follows. Each node has its own phase: all would cut together."""
        self._actions.pending = []
        self._actions.emit(api.SetTimer(now + self._jittered(PERIOD, 0.0), api.TimerId.UPDATE))
        self._poller.start(now)
        return self._actions.pending

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        self._actions.pending = []
        self._deferred.run_due(now)
        if isinstance(event, api.Request):
            self._arrive(now, event)
        elif isinstance(event, api.AttemptOutcome):
            self._settle(now, event)
        elif isinstance(event, api.TimerFired):
            self._wake(now, event.timer_id)
        elif isinstance(event, api.EndpointUpdate):
            self._follow(now, event)
        elif isinstance(event, api.ClientDisconnected):
            self._close(now, event)
        return self._actions.pending

    def _jittered(self, span: int, least: float) -> int:
        return int(span * self._random.uniform(least, 1.0))

    def _wake(self, now: int, token: int) -> None:
        if token == api.TimerId.UPDATE:
            self._in_flight.add(now, 0)
            for breaker in self._breakers:
                breaker.update(
                    self._in_flight.mean,
                    self._start_cap(),
                    self._load_reports.is_fleet_idle(len(self._ready)),
                )
            self._set_caps()
            self._rejection_rates.decay()
            self._hitters.update(len(self._ready))
            if self._candidates.has_equal_weights():
                self._hardware_types.update_ratios()
            self._measure_rate(now)
            self._actions.emit(api.SetTimer(now + PERIOD, api.TimerId.UPDATE))
        elif token == api.TimerId.POLL:
            self._poller.on_timer(now)

    # The breaker.

    def _start_cap(self) -> float:
        return START_PER_SERVER * len(self._ready) / self._settings.node_count

    def _set_caps(self) -> None:
        """A class stops at its own threshold, and short of those of the classes that are worth more. All
        stop sooner where fewer than half of all attempts are answered: overdriven servers need to rest."""
        brake = min(1.0, 2.0 * (1.0 - self._connections.loss_rate))
        start = self._start_cap()
        thresholds = [breaker.threshold(start) for breaker in self._breakers]
        values = [self._value(index) for index in range(len(thresholds))]
        # By falling value, and the lowest threshold of each and all before it: settings may hold hundreds.
        order = sorted(range(len(values)), key=values.__getitem__, reverse=True)
        lowest = list(accumulate((thresholds[index] for index in order), min))
        falling = [-values[index] for index in order]
        for index, cap in enumerate(thresholds):
            if above := bisect_left(falling, -WORTH_ABOVE * values[index]):
                cap = min(cap, lowest[above - 1])
            if above := bisect_left(falling, -WORTH_MORE * values[index]):
                cap = min(cap, RESERVE * lowest[above - 1])
            self._caps[index] = brake * cap

    def _admits(self, now: int, request: api.Request) -> bool:
        part = OVER_SHARE_PART if self._quotas.is_over_quota(request.tenant_index) else 1.0
        return self._has_room(now, request, part * RESUBMITTED_PART if request.is_client_retry else part)

    def _has_room(self, now: int, request: api.Request, part: float = 1.0) -> bool:
        least = LEAST_PER_SERVER * len(self._ready) / self._settings.node_count
        own = self._breakers[request.class_index].in_flight
        cap = part * self._caps[request.class_index]
        return self._in_flight.is_below(now, cap) or own.is_below(now, least)

    def _value(self, index: int) -> float:
        """Worth for a unit of work."""
        worth = self._settings.classes[index].priority_weight
        return worth if self._settings.weight_by_work else worth / max(1.0, self._breakers[index].typical_ns)

    # Requests.

    def _arrive(self, now: int, request: api.Request) -> None:
        kind = self._settings.classes[request.class_index]
        self._window_requests += 1
        if request.key:
            self._hitters.record(request.key)
        expires = now + request.remaining_ns
        entry = ActiveRequest(
            request,
            kind,
            expires if kind.late_weight_ratio else min(expires, now + kind.latency_objective_ns),
        )
        send = self._enqueue if kind.ordered_by_key and request.key else self._send_first
        if not self._admits(now, request) or not send(now, entry):
            self._refuse(entry)

    def _send_first(self, now: int, entry: ActiveRequest) -> bool:
        if (backend := self._choose(now, entry)) is None:
            return False
        self._retry_budget = min(RETRY_BURST, self._retry_budget + RETRY_BUDGET)
        self._open[entry.request.id] = entry
        self._send(now, entry, backend)
        return True

    def _send(self, now: int, entry: ActiveRequest, backend: EndpointStatus) -> None:
        idle, time_out = self._connections.take_connection(now, backend), max(1, entry.useful_until_ns - now)
        self._actions.emit(
            api.Forward(entry.request.id, backend.endpoint.id, time_out, entry.write_deadline_ns())
        )
        entry.attempts.append(Attempt(backend, now, idle))
        backend.in_flight += 1
        backend.is_on_trial = backend.ejected_until_ns > 0
        if self._warmth(now, backend.endpoint) < 1.0:
            backend.slow_start_tokens -= 1.0
        self._in_flight.add(now, 1)
        self._breakers[entry.request.class_index].in_flight.add(now, 1)

    def _settle(self, now: int, outcome: api.AttemptOutcome) -> None:
        entry = self._open.get(outcome.request_id)
        if entry is None or outcome.attempt_index >= len(entry.attempts):
            return
        attempt = entry.attempts[outcome.attempt_index]
        if attempt.result is not None:
            return
        attempt.result = outcome.result
        self._cool_down(now, entry, outcome.result)
        # What was lost to a dropped connection tells no more of its server than a cancelled attempt does, nor
        # does a time-out before an answer could be there: a further attempt gets what time is left.
        enough = min(self._typical(entry), TARGET * entry.request_class.latency_objective_ns)
        hasty = outcome.result is AttemptResult.TIMEOUT and outcome.elapsed_ns < enough
        result = (
            AttemptResult.CANCELLED
            if self._connections.on_attempt_ended(now, attempt) or hasty
            else outcome.result
        )
        if outcome.result is AttemptResult.OK:
            self._load_reports.on_success(attempt.status)
        self._answered += (
            outcome.result is AttemptResult.OK and self._warmth(now, attempt.status.endpoint) >= 1.0
        )
        self._load_reports.on_report(attempt.status, outcome.load_report)
        if outcome.result is AttemptResult.TIMEOUT and not attempt.status.ejected_until_ns:
            until = now + min(outcome.elapsed_ns, entry.request_class.latency_objective_ns)
            # A server may go on with work that nobody waits for: freed at once, it would be filled again.
            self._deferred.defer(until, partial(self._release, attempt.status, entry))
        else:
            self._release(attempt.status, entry, now)
        self._detect_outlier(now, attempt.status, result, entry.request.class_index)
        entry.is_closed |= outcome.is_answered
        again = not entry.is_closed and self._try_again(now, entry, outcome.result)
        if result is outcome.result:
            self._sample(now, entry, attempt, outcome.elapsed_ns, again)
        if not entry.is_closed and not again:
            self._end(entry)
        self._forget_if_done(now, entry)

    def _typical(self, entry: ActiveRequest) -> float:
        return self._breakers[entry.request.class_index].typical_ns

    def _sample(self, now: int, entry: ActiveRequest, attempt: Attempt, elapsed: int, again: bool) -> None:
        if attempt.status.ejected_until_ns or self._warmth(now, attempt.status.endpoint) < 1.0:
            return  # it tells of that server: silent and cold ones would close the breaker for all the others
        breaker = self._breakers[entry.request.class_index]
        if attempt.result in (AttemptResult.OK, AttemptResult.TIMEOUT):
            backend, answered, ratio = (
                attempt.status,
                attempt.result is AttemptResult.OK,
                elapsed / breaker.typical_ns,
            )
            backend.waiting_time_ratio += PACE_WEIGHT * (ratio - backend.waiting_time_ratio)
            if answered:
                backend.response_time_ratio += PACE_WEIGHT * (ratio - backend.response_time_ratio)
            if backend.waiting_time_ratio < SLOW_ABOVE:
                breaker.samples_ns.append(elapsed if answered else CENSORED * elapsed)
        elif (
            attempt.result is AttemptResult.REJECTED and not again
        ):  # a fast failure, but no sign of a fast server
            breaker.samples_ns.append(CENSORED * entry.request_class.latency_objective_ns)

    def _release(self, backend: EndpointStatus, entry: ActiveRequest, now: int) -> None:
        backend.in_flight -= 1
        self._in_flight.add(now, -1)
        self._breakers[entry.request.class_index].in_flight.add(now, -1)

    def _try_again(self, now: int, entry: ActiveRequest, result: AttemptResult) -> bool:
        """True if the request needs no final answer now: it went out again, or is out still."""
        if any(attempt.result is None for attempt in entry.attempts):
            return True
        left = entry.useful_until_ns - now
        if left <= RETRY_LEAST * self._typical(entry) or len(entry.attempts) >= self._settings.max_attempts:
            return False
        nothing_arrived = result in (AttemptResult.CONNECT_FAILED, AttemptResult.NOT_SENT)
        price = 0.0 if nothing_arrived else 1.0
        if self._retry_budget < price or (backend := self._choose(now, entry)) is None:
            return False
        self._retry_budget -= price
        self._send(now, entry, backend)
        return True

    def _end(self, entry: ActiveRequest) -> None:
        entry.is_closed = True
        if entry.may_reject():
            self._refuse(entry)
        else:
            self._actions.emit(api.Fail(entry.request.id))

    def _refuse(self, entry: ActiveRequest) -> None:
        # Past its aim an answer is worth nothing, and who comes back for one takes the room of another.
        most = self._settings.max_retry_after_ns
        wait = (
            min(entry.request_class.latency_objective_ns, most)
            if entry.request_class.late_weight_ratio
            else most
        )
        self._actions.emit(api.Reject(entry.request.id, wait if self._settings.sends_retry_after else 0))

    def _close(self, now: int, event: api.ClientDisconnected) -> None:
        if entry := self._open.get(event.request_id):
            entry.useful_until_ns = now
            entry.is_closed |= not event.is_half_closed
            self._give_up_waiting(entry, now)

    def _forget_if_done(self, now: int, entry: ActiveRequest) -> None:
        done = entry.is_complete() and self._open.pop(entry.request.id, None) is not None
        if done and entry.request.key in self._key_queues:
            self._send_next_of_key(entry.request.key, now)

    # Order.

    def _enqueue(self, now: int, entry: ActiveRequest) -> bool:
        """Take the key's turn, or wait for it where it will come in time: refused now, the client may
        find another node, whose queue for this key is its own."""
        key = entry.request.key
        turns = self._key_queues.get(key)
        if turns is None:
            if not self._send_first(now, entry):
                return False
            self._key_queues[key] = turns = KeyQueue()
        else:
            typical = int(self._typical(entry))
            ahead = sum(1 for other in turns.requests if not other.is_closed) * typical
            latest = entry.useful_until_ns - typical
            if max(now, turns.cooldown_until_ns) + ahead > latest:
                return False
            self._open[entry.request.id] = entry
            self._deferred.defer(latest, partial(self._give_up_waiting, entry))
            self._actions.emit(api.SetTimer(latest, api.TimerId.DEFERRED))
        turns.requests.append(entry)
        return True

    def _give_up_waiting(self, entry: ActiveRequest, now: int) -> None:
        if not entry.attempts and not entry.is_closed:
            self._end(entry)
        self._forget_if_done(now, entry)

    def _cool_down(self, now: int, entry: ActiveRequest, result: AttemptResult) -> None:
        """An attempt without an answer may still run: the key's next request waits for a while."""
        turns = self._key_queues.get(entry.request.key) if entry.request_class.ordered_by_key else None
        if turns is not None and result in (
            AttemptResult.TIMEOUT,
            AttemptResult.RESET,
            AttemptResult.CANCELLED,
        ):
            turns.cooldown_until_ns = now + self._settings.key_cooldown_ns

    def _send_next_of_key(self, key: int, now: int) -> None:
        """Send the first that waits, once all before it are over; forget a key that nobody waits for."""
        turns = self._key_queues.get(key)
        while turns is not None:
            while turns.requests and turns.requests[0].is_complete():
                turns.requests.popleft()
            if turns.requests and turns.requests[0].attempts:
                return
            if now < turns.cooldown_until_ns:
                self._deferred.defer(turns.cooldown_until_ns, partial(self._send_next_of_key, key))
                self._actions.emit(api.SetTimer(turns.cooldown_until_ns, api.TimerId.DEFERRED))
                return
            if not turns.requests:
                del self._key_queues[key]
                return
            first = turns.requests[0]
            if self._has_room(now, first.request) and self._send_first(now, first):
                return
            self._end(first)
            del self._open[first.request.id]

    # The choice of a server.

    def _choose(self, now: int, entry: ActiveRequest) -> EndpointStatus | None:
        seen = {attempt.status for attempt in entry.attempts}
        # After a failed connection any server with an idle one is better than the less loaded of two.
        unconnected = bool(seen) and entry.attempts[-1].result is AttemptResult.CONNECT_FAILED
        wanted = DRAWS if unconnected else 2
        pair: list[EndpointStatus] = []
        full: list[EndpointStatus] = []
        for backend in self._preferred(entry):
            if backend in seen or (entry.attempts and not entry.may_send_to(backend.endpoint, now)):
                continue
            seen.add(backend)
            if self._usable(now, backend):
                is_full = backend.rejection_rates.get(entry.request.class_index, 0.0) > FULL_ABOVE
                (full if is_full else pair).append(backend)
                if len(pair) == wanted or len(full) == FULL_LOOKS:
                    break
        return min(pair or full, key=partial(self._load, now, entry.request.class_index), default=None)

    def _preferred(self, entry: ActiveRequest) -> Iterator[EndpointStatus]:
        """Servers in the order of this request's preference; some come more than once. Every other one is of
        the own zone: with no or one request in flight the first gets it, and at random most would cross."""
        if ready := self._ready:
            find, kinds = self._candidates.find, self._hardware_types.by_type
            key = entry.request.key or self._random.getrandbits(64)
            spread = self._hitters.fan_out.get(key, 1)
            first = self._random.randrange(spread) if spread > 1 else 0
            for draw in range(first, first + DRAWS):
                place = mix64(key + draw)
                backend = find(place, not (draw - first) % 2)
                if backend is not None:
                    share = kinds[backend.endpoint.hardware_type].hash_ratio
                    if share >= 1.0 or place >> 44 < share * HASH_RATIO_SCALE:
                        yield backend
            turn = mix64(key) % len(ready)  # the head of the list would get all that finds no other
            for place in range(turn, turn + len(ready)):
                yield ready[place % len(ready)]

    def _measure_rate(self, now: int) -> None:
        """What warm servers answer: no loss of others makes that more than they can do, as it does with what
        they are sent. Rises slowly: what a node sees of few servers in a window is chance, and what each
        node holds adds up."""
        self._warm_answers = PROVEN_FADES * self._warm_answers + self._answered
        self._warm_time = PROVEN_FADES * self._warm_time + PERIOD * self._warm_weight(now)
        self._time = PROVEN_FADES * self._time + PERIOD
        self._find_surge(now)
        mean = self._warm_answers / self._warm_time if self._warm_time else 0.0
        # Falls slowly: while the breaker refuses much, cold servers would get the less for it too.
        self._rate = max(mean, PROVEN_FADES * self._rate)
        self._answered = 0
        newest = self._window_requests / PERIOD
        self._arrival_rate += (1.0 - KEEP) * (newest - self._arrival_rate) if self._arrival_rate else newest
        self._window_requests = 0
        self._assumed_rate = self._rate or self._assume_rate()

    def _assume_rate(self) -> float:
        """What a warm server takes for its weight, in requests per nanosecond, where none was seen warm yet,
        as after a start amid a release: the fleet is taken to be able to do, warm, what it is asked for, each
        server its even part of this node's arrivals. Too much only where more is asked for than the fleet can
        do; the fall multiple and the caution leave room for that."""
        weight = sum(backend.endpoint.weight for backend in self._ready)
        return self._arrival_rate / weight if weight else 0.0

    def _warm_weight(self, now: int) -> float:
        """Of the servers that are ready. Looks at those that were cold when it last did."""
        for backend in [one for one in self._cold if self._warmth(now, one.endpoint) >= 1.0]:
            del self._cold[backend]
            backend.warm_weight_units = to_weight_units(backend.endpoint.weight)
            self._warm_units += backend.warm_weight_units
        return self._warm_units / WEIGHT_UNITS

    def _load(self, now: int, class_index: int, backend: EndpointStatus) -> float:
        """In requests in flight; what the server itself told adds to this node's own. Where new connections
        fail or take long, one that stands is worth a detour."""
        load = float(backend.in_flight)
        if backend.utilization > BUSY_ABOVE:
            load += (backend.utilization - BUSY_ABOVE) / (1.0 - BUSY_ABOVE)
        if fullness := backend.rejection_rates.get(class_index):
            load += FULL_COUNTS * round(fullness, 1)  # no trace may break ties
        if self._connections.connect_failure_rate > CONNECT_LEAST and not self._connections.usable_idle_ns(
            now, backend
        ):
            load += CONNECT_COUNTS * self._connections.connect_failure_rate
        return (
            load
            * backend.response_time_ratio
            / (
                backend.endpoint.weight
                * self._hardware_types.by_type[backend.endpoint.hardware_type].hash_ratio
            )
        )

    def _usable(self, now: int, backend: EndpointStatus) -> bool:
        if backend.ejected_until_ns and (backend.is_on_trial or now < backend.ejected_until_ns):
            return False
        if (warmth := self._warmth(now, backend.endpoint)) >= 1.0:
            return True
        share = SLOW_START_CAUTION * warmth * (self._rate or self._assumed_rate) * backend.endpoint.weight
        backend.slow_start_tokens = min(
            SLOW_START_BURST, backend.slow_start_tokens + share * (now - backend.refilled_at_ns)
        )
        backend.refilled_at_ns = now
        return backend.slow_start_tokens >= 1.0 and self._random.random() < self._visits

    def _warmth(self, now: int, server: api.Endpoint) -> float:
        """The part of its work that a server does at least, by the time since its start."""
        if not server.started_at_ns:
            return 1.0
        age = max(0, now - server.started_at_ns) / max(1, self._settings.slow_start_duration_ns)
        return self._settings.slow_start_initial_ratio + (1.0 - self._settings.slow_start_initial_ratio) * age

    # Connections.

    # The health of servers.

    def _detect_outlier(
        self, now: int, backend: EndpointStatus, result: AttemptResult, class_index: int
    ) -> None:
        if result is AttemptResult.TIMEOUT and not backend.ejected_until_ns:
            self._load_reports.on_timeout(backend)
        self._rejection_rates.record(backend, class_index, result)
        trial, backend.is_on_trial = backend.is_on_trial, False
        if result in (
            AttemptResult.CANCELLED,
            AttemptResult.NOT_SENT,
            AttemptResult.REJECTED,
            AttemptResult.CLIENT_ERROR,
        ):
            return
        if result is AttemptResult.OK:
            backend.answered_at_ns = now
        elif result is AttemptResult.CONNECT_FAILED and now - backend.answered_at_ns < ANSWERED_LATELY:
            return  # it serves on standing connections: slow to connect to, not down
        failed = float(result is not AttemptResult.OK)
        # A node that sees a server seldom can't wait for a second failure, nor can it for a second success.
        seldom = backend.silence_ns(now) >= ANSWERED_LATELY and result is not AttemptResult.CONNECT_FAILED
        weight = EJECT_ABOVE if seldom else FAIL_WEIGHT
        if result in (AttemptResult.TIMEOUT, AttemptResult.RESET) and now - backend.answered_at_ns < ANSWERS:
            weight = SLOW_WEIGHT
        backend.failure_rate += weight * (failed - backend.failure_rate)
        self._fleet_failures += FLEET_WEIGHT * (failed - self._fleet_failures)
        self._count_ejected(backend)
        if trial:
            if failed:
                backend.ejection_doublings = min(DOUBLINGS, backend.ejection_doublings + 1)
                self._eject(now, backend)
            else:
                self._reinstate(backend)
        elif failed and not backend.ejected_until_ns and self._may_eject(backend, result):
            self._eject(now, backend)

    def _may_eject(self, backend: EndpointStatus, result: AttemptResult) -> bool:
        part = UNREACHABLE_PART if result is AttemptResult.CONNECT_FAILED else EJECT_PART
        outlier = backend.failure_rate >= EJECT_TIMES_FLEET * self._fleet_failures
        if backend.failure_rate < EJECT_ABOVE or not (outlier or result is AttemptResult.CONNECT_FAILED):
            return False
        most = part * len(self._ready)
        if 1 + len(self._ejected) > most:
            mildest = self._mildest_ejected()
            if mildest is not None and mildest.failure_rate < backend.failure_rate - EJECT_WORSE:
                self._reinstate(mildest)  # time-outs in a busy moment must not keep in one that fails all
        return 1 + len(self._ejected) <= most

    def _mildest_ejected(self) -> EndpointStatus | None:
        """The lowest id, where several failed as little."""
        heap = self._by_failures
        while heap:
            backend = self._backends.get(heap[0][1])
            if backend in self._ejected and backend is not None and backend.failure_rate == heap[0][0]:
                return backend
            heappop(heap)
        return None

    def _count_ejected(self, backend: EndpointStatus) -> None:
        """Whenever one is ejected or its failures change."""
        if backend.ejected_until_ns and backend.is_ready:
            self._ejected[backend] = None
            heappush(self._by_failures, (backend.failure_rate, backend.endpoint.id))
            if len(self._by_failures) > STALE * (STALE + len(self._ejected)):
                self._by_failures = sorted((one.failure_rate, one.endpoint.id) for one in self._ejected)

    def _reinstate(self, backend: EndpointStatus) -> None:
        backend.reset_failures()
        self._ejected.pop(backend, None)

    def _eject(self, now: int, backend: EndpointStatus) -> None:
        seldom = min(backend.silence_ns(now), 4 * EJECT_TIME)  # a shorter time would pass without a visit
        backend.ejected_until_ns = now + self._jittered(
            max(seldom, EJECT_TIME << backend.ejection_doublings), 0.5
        )
        self._count_ejected(backend)

    # The list of servers.

    def _follow(self, now: int, update: api.EndpointUpdate) -> None:
        if update.kind is EndpointUpdateKind.FAILED:
            self._poller.on_failure(now)
            return
        if update.kind is not EndpointUpdateKind.CACHED:
            self._poller.on_list()
        listed = {server.id: server for server in update.endpoints}
        if update.kind is not EndpointUpdateKind.DELTA:
            for backend in self._backends.values():
                if backend.endpoint.id not in listed:
                    backend.endpoint = backend.endpoint._replace(state=EndpointState.REMOVED)
                    self._changed[backend.endpoint.id] = None
        for server in listed.values():
            self._enter(now, server)
        self._place_changed()
        self._find_surge(now)
        if not self._ready:
            self._poller.on_empty_list(now)

    def _enter(self, now: int, server: api.Endpoint) -> None:
        if not 0.0 < server.weight < inf:  # no figure: as any other
            server = server._replace(weight=1.0)
        elif not MIN_WEIGHT <= server.weight <= MAX_WEIGHT:  # past any size of machine
            server = server._replace(weight=min(max(server.weight, MIN_WEIGHT), MAX_WEIGHT))
        backend = self._backends.get(server.id)
        if backend is None:
            self._backends[server.id] = EndpointStatus(
                server, self._first_token(now, server), now, listed_at_ns=now
            )
        elif server == backend.endpoint:
            return
        else:
            if server.started_at_ns != backend.endpoint.started_at_ns:
                self._reinstate(backend)
                backend.slow_start_tokens, backend.refilled_at_ns, backend.listed_at_ns = (
                    self._first_token(now, server),
                    now,
                    now,
                )
            backend.endpoint = server
        self._changed[server.id] = None

    def _first_token(self, now: int, server: api.Endpoint) -> float:
        """A random part, so that the nodes' first requests spread, and what a visit brings: a node that sees
        a server seldom would else earn its first request long after its first visit. Few nodes may each send
        one at once: a fleet of one server that restarts is not left without any."""
        brought = SLOW_START_CAUTION * min(1.0, self._warmth(now, server)) * self._visits
        return max(self._random.random() + brought, min(1.0, COLD_SLACK / self._settings.node_count))

    def _find_surge(self, now: int) -> None:
        """What all nodes have saved up for a cold server must not come at once when others are lost and each
        gets several times the visits: then only a part of them may, so that they stay at the usual number,
        or above it by what the fall multiple leaves beyond what is earned meanwhile."""
        present = self._warm_weight(now) + sum(self._capacity(now, one) for one in self._cold)
        present -= sum(self._capacity(now, one) for one in self._ejected)
        usual = self._warm_time / self._time if self._time else present
        left = max(0.0, self._settings.overload_multiple / SLOW_START_CAUTION - 1.0)
        self._visits = min(1.0, left * max(0.0, present) / usual) if usual else 1.0

    def _capacity(self, now: int, backend: EndpointStatus) -> float:
        return min(1.0, self._warmth(now, backend.endpoint)) * backend.endpoint.weight

    def _place_changed(self) -> None:
        """Costs what changed, up to a shift within the list of those that are ready."""
        changed = [self._backends[name] for name in self._changed]
        self._changed.clear()
        came = []
        for backend in changed:
            ready = backend.endpoint.state is EndpointState.READY
            if backend.is_ready:
                self._uncount(backend)
                if not ready:
                    del self._ready[bisect_left(self._ready, backend.endpoint.id, key=_id)]
            elif ready:
                came.append(backend)
            backend.is_ready = ready
            if ready:
                self._load_reports.add_ready(backend)
                self._cold[backend] = None
                self._count_ejected(backend)
            elif backend.endpoint.state is EndpointState.REMOVED:
                # Attempts hold their server themselves: gone ones would fill this over months.
                del self._backends[backend.endpoint.id]
        if len(came) * MANY > len(self._ready):
            self._ready = sorted(self._ready + came, key=_id)
        else:
            for backend in came:
                insort(self._ready, backend, key=_id)
        self._candidates.update(
            {
                one.endpoint.id: (one.endpoint.zone, one.endpoint.weight, one) if one.is_ready else None
                for one in changed
            }
        )
        self._set_caps()

    def _uncount(self, backend: EndpointStatus) -> None:
        self._load_reports.remove_ready(backend)
        self._warm_units -= backend.warm_weight_units
        backend.warm_weight_units = 0
        for group in (self._cold, self._ejected):
            group.pop(backend, None)


def _id(backend: EndpointStatus) -> api.EndpointId:
    return backend.endpoint.id
