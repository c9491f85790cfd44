"""All decisions of the balancer. Its events, actions and settings are in interface.py, beside this file.

The ordinary path of a request: its class's adaptive circuit breaker admits or refuses it at once; its key
names two servers and the one with fewer of this node's own requests in flight gets it. The rest is what
that leaves open: servers that fail, start, drain or leave, further attempts, and the list of servers.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from functools import partial
from itertools import accumulate
from math import exp, sqrt
from random import Random

from moleport.policy import interface as api
from moleport.policy.actions import ActionBuffer, DeferredTasks
from moleport.policy.connection_health import ConnectionHealth
from moleport.policy.discovery_polling import DiscoveryPoller
from moleport.policy.endpoint_registry import EndpointRegistry
from moleport.policy.endpoint_set import EndpointSet
from moleport.policy.hardware_types import HardwareTypes
from moleport.policy.hashing import (
    HASH_RATIO_SCALE,
    mix64,
)
from moleport.policy.hot_keys import HotKeyTracker
from moleport.policy.interface import (
    AttemptResult,
    EndpointUpdateKind,
)
from moleport.policy.load_reports import LoadReports
from moleport.policy.outlier_detection import OutlierDetector
from moleport.policy.quotas import TenantQuotas
from moleport.policy.rejection_rates import RejectionRates
from moleport.policy.slow_start import SlowStart
from moleport.policy.state import ActiveRequest, Attempt, EndpointStatus
from moleport.policy.timing import WINDOW_NS, jittered_ns

SECOND = 1_000_000_000  # ns

# The breaker: the paper's controller, its period and smoothing shorter as overload fills servers in seconds.
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
CONNECT_LEAST = 0.1  # share of new connections that fail; one below it is none
CONNECT_COUNTS = 8.0  # where all fail, a server without an idle one counts as with so many more in flight

# Further attempts.
RETRY_BUDGET = 0.1  # further attempts earned by each first one
RETRY_BURST = 10.0  # that may be saved up
RETRY_LEAST = 0.5  # of what is usual for the class: with less time left no further attempt is made

# The list.


@dataclass(slots=True)
class InFlight:
    """Requests in flight, now and in the mean of late."""

    count: int = 0
    mean: float = 0.0
    changed_at_ns: int = 0

    def add(self, now: int, change: int) -> None:
        keep = exp((self.changed_at_ns - now) / WINDOW_NS)
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
        self._endpoints = EndpointSet(settings.zone)
        self._outliers = OutlierDetector(self._endpoints, self._random)
        self._slow_start = SlowStart(settings, self._random, self._endpoints, self._outliers)
        self._rejection_rates = RejectionRates()
        self._open: dict[int, ActiveRequest] = {}
        self._caps = [0.0] * len(settings.classes)  # requests in flight at which a class is refused
        self._in_flight = InFlight()
        self._quotas = TenantQuotas(settings.tenants)
        self._deferred = DeferredTasks()
        self._hardware_types = HardwareTypes()
        self._load_reports = LoadReports(settings, self._hardware_types)
        self._key_queues: dict[int, KeyQueue] = {}  # by key
        self._retry_budget = RETRY_BURST
        self._hitters = HotKeyTracker()  # among the keys
        self._registry = EndpointRegistry(
            self._endpoints, self._outliers, self._slow_start, self._load_reports
        )
        self._actions = ActionBuffer()
        self._connections = ConnectionHealth(settings.idle_timeout_ns, self._actions)
        self._poller = DiscoveryPoller(settings, self._random, self._actions)

    # Events.

    def start(self, now: int) -> list[api.Action]:
        """First actions; the cached list follows. Each node has its own phase: all would cut together."""
        self._actions.pending = []
        self._actions.emit(api.SetTimer(now + jittered_ns(self._random, WINDOW_NS, 0.0), api.TimerId.UPDATE))
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

    def _wake(self, now: int, token: int) -> None:
        if token == api.TimerId.UPDATE:
            self._in_flight.add(now, 0)
            for breaker in self._breakers:
                breaker.update(
                    self._in_flight.mean,
                    self._start_cap(),
                    self._load_reports.is_fleet_idle(len(self._endpoints.ready)),
                )
            self._set_caps()
            self._rejection_rates.decay()
            self._hitters.update(len(self._endpoints.ready))
            if self._endpoints.candidates.has_equal_weights():
                self._hardware_types.update_ratios()
            self._slow_start.end_window(now)
            self._actions.emit(api.SetTimer(now + WINDOW_NS, api.TimerId.UPDATE))
        elif token == api.TimerId.POLL:
            self._poller.on_timer(now)

    # The breaker.

    def _start_cap(self) -> float:
        return START_PER_SERVER * len(self._endpoints.ready) / self._settings.node_count

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
        least = LEAST_PER_SERVER * len(self._endpoints.ready) / self._settings.node_count
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
        self._slow_start.on_request()
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
        self._outliers.on_attempt_sent(backend)
        self._slow_start.on_attempt_sent(now, backend)
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
            self._slow_start.on_success(now, attempt.status)
        self._load_reports.on_report(attempt.status, outcome.load_report)
        if outcome.result is AttemptResult.TIMEOUT and not attempt.status.ejected_until_ns:
            until = now + min(outcome.elapsed_ns, entry.request_class.latency_objective_ns)
            # A server may go on with work that nobody waits for: freed at once, it would be filled again.
            self._deferred.defer(until, partial(self._release, attempt.status, entry))
        else:
            self._release(attempt.status, entry, now)
        self._note_result(now, attempt.status, result, entry.request.class_index)
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
        if (
            attempt.status.ejected_until_ns
            or self._slow_start.capacity_ratio(now, attempt.status.endpoint) < 1.0
        ):
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
        if ready := self._endpoints.ready:
            find, kinds = self._endpoints.candidates.find, self._hardware_types.by_type
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
        if backend.ejected_until_ns and not self._outliers.may_try(now, backend):
            return False
        return self._slow_start.may_send(now, backend)

    def _note_result(
        self, now_ns: int, status: EndpointStatus, result: AttemptResult, class_index: int
    ) -> None:
        if result is AttemptResult.TIMEOUT and not status.ejected_until_ns:
            self._load_reports.on_timeout(status)
        self._rejection_rates.record(status, class_index, result)
        self._outliers.on_attempt_ended(now_ns, status, result)

    # Connections.

    # The health of servers.

    # The list of servers.

    def _follow(self, now: int, update: api.EndpointUpdate) -> None:
        if update.kind is EndpointUpdateKind.FAILED:
            self._poller.on_failure(now)
            return
        if update.kind is not EndpointUpdateKind.CACHED:
            self._poller.on_list()
        self._registry.apply_update(now, update)
        self._set_caps()
        self._slow_start.update_burst_ratio(now)
        if not self._endpoints.ready:
            self._poller.on_empty_list(now)
