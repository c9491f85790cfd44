"""Dispatches the events of interface.py to the modules that decide on them, in a fixed order.

This module constructs the others and contains no rule of its own. The modules that handle each event are

- arrival of a request: slow_start and hot_keys (or endpoint_subset) count it; admission (quotas,
  circuit_breaker) admits it; then key_ordering or directly selection; final_answers if it is rejected
- start of an attempt: connection_health, outlier_detection, slow_start, admission
- end of an attempt: key_ordering (cooldown), connection_health, load_reports and slow_start, admission,
  rejection_rates, outlier_detection; then retries and selection, admission (sample of the response time),
  final_answers if no retry is allowed, and key_ordering (next request of the key)
- update of the endpoint list: discovery_polling (which also decides when to poll), endpoint_registry,
  admission, slow_start
- disconnection of a client: final_answers, key_ordering
- end of a window: admission, endpoint_subset, rejection_rates, hot_keys, hardware_types and slow_start
  update their rates

`ActiveRequest` in state.py decides whether a request may be sent more than once.
"""

from __future__ import annotations

from random import Random

from moleport.policy import interface as api
from moleport.policy.actions import ActionBuffer, DeferredTasks
from moleport.policy.admission import AdmissionControl
from moleport.policy.connection_health import ConnectionHealth
from moleport.policy.discovery_polling import DiscoveryPoller
from moleport.policy.endpoint_registry import EndpointRegistry
from moleport.policy.endpoint_set import EndpointSet
from moleport.policy.endpoint_subset import EndpointSubset
from moleport.policy.final_answers import FinalAnswers
from moleport.policy.hardware_types import HardwareTypes
from moleport.policy.hot_keys import HotKeyTracker
from moleport.policy.interface import AttemptResult, EndpointUpdateKind, TimerId
from moleport.policy.key_ordering import KeyOrdering
from moleport.policy.load_reports import LoadReports
from moleport.policy.outlier_detection import OutlierDetector
from moleport.policy.rejection_rates import RejectionRates
from moleport.policy.retries import RetryPolicy
from moleport.policy.selection import EndpointSelector
from moleport.policy.slow_start import SlowStart
from moleport.policy.state import ActiveRequest, AttemptRecord, EndpointStatus
from moleport.policy.timing import WINDOW_NS, jittered_ns

# shortest time limit of an attempt in ns, as a time limit of 0 in the action `Forward` means no limit
MIN_TIMEOUT_NS = 1


class Balancer:
    """Makes the decisions of one node: returns actions for timed events, without a clock or any I/O."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self._settings = settings
        self._random = random = Random(seed)
        self._actions = actions = ActionBuffer()
        self._endpoints = endpoints = EndpointSet(settings.zone)
        self._deferred = DeferredTasks()
        self._active_requests: dict[int, ActiveRequest] = {}
        self._hot_keys = HotKeyTracker()
        self._hardware_types = hardware_types = HardwareTypes()
        self._load_reports = load_reports = LoadReports(settings, hardware_types)
        self._rejection_rates = RejectionRates()
        self._connections = connections = ConnectionHealth(settings.idle_timeout_ns, actions)
        self._outliers = outliers = OutlierDetector(endpoints, random)
        self._subset = subset = EndpointSubset(settings, endpoints, seed)
        self.ejection_notices = outliers.notices
        """Ejections and reinstatements, the oldest first; the caller removes each from the left to log it."""
        self._slow_start = slow_start = SlowStart(settings, random, endpoints, outliers, subset)
        self._registry = EndpointRegistry(endpoints, outliers, slow_start, load_reports)
        self._poller = DiscoveryPoller(settings, random, actions)
        self._admission = AdmissionControl(
            settings, endpoints, connections, load_reports, slow_start, self._deferred
        )
        self._selector = EndpointSelector(
            random, endpoints, self._hot_keys, hardware_types, connections, outliers, slow_start, subset
        )
        self._retries = RetryPolicy(settings.max_attempts, self._admission)
        self._final_answers = FinalAnswers(settings, actions)
        self._key_ordering = KeyOrdering(
            settings.key_cooldown_ns,
            self._active_requests,
            self._admission,
            self._final_answers,
            self._deferred,
            actions,
            self._send_first,
            self._finish_unsent,
        )

    def start(self, now_ns: int) -> list[api.Action]:
        """Set the first timers, and return these actions; the caller passes the cached endpoint list later.

        The first window ends at a random time, as otherwise all nodes would shed load at the same time.
        """
        self._actions.pending = []
        window_ends_ns = now_ns + jittered_ns(self._random, WINDOW_NS, 0.0)
        self._actions.emit(api.SetTimer(window_ends_ns, TimerId.WINDOW_END))
        self._poller.start(now_ns)
        return self._actions.pending

    def handle(self, now_ns: int, event: api.Event) -> list[api.Action]:
        """Return the actions for an event; `now_ns` must not decrease from one event to the next."""
        self._actions.pending = []
        if isinstance(event, api.ClientDisconnected):
            # The request of a client that has disconnected is closed before deferred tasks run.
            # Deferred tasks would send a final answer to a request that is still open.
            self._mark_closed(event)
        self._deferred.run_due(now_ns)
        if isinstance(event, api.Request):
            self._on_request(now_ns, event)
        elif isinstance(event, api.AttemptOutcome):
            self._on_attempt_outcome(now_ns, event)
        elif isinstance(event, api.TimerFired):
            self._on_timer(now_ns, event.timer_id)
        elif isinstance(event, api.EndpointUpdate):
            self._on_endpoint_update(now_ns, event)
        elif isinstance(event, api.ClientDisconnected):
            self._on_client_disconnected(now_ns, event)
        return self._actions.pending

    def attempts_in_flight(self) -> int:
        """Return the number of attempts in flight, from the counts that are compared with the caps."""
        return self._admission.attempts_in_flight()

    def _on_request(self, now_ns: int, request: api.Request) -> None:
        request_class = self._settings.classes[request.class_index]
        self._slow_start.on_request()
        if request.key:
            self._hot_keys.record(request.key)
        else:
            self._subset.on_keyless_request()
        answer_deadline_ns = now_ns + request.remaining_ns
        if not request_class.late_weight_ratio:
            answer_deadline_ns = min(answer_deadline_ns, now_ns + request_class.latency_objective_ns)
        active = ActiveRequest(request, request_class, answer_deadline_ns)
        is_ordered = request_class.ordered_by_key and request.key
        send = self._key_ordering.enqueue if is_ordered else self._send_first
        if not self._admission.admits(now_ns, request) or not send(now_ns, active):
            self._final_answers.reject(active)

    def _on_attempt_outcome(self, now_ns: int, outcome: api.AttemptOutcome) -> None:
        active = self._active_requests.get(outcome.request_id)
        if active is None or outcome.attempt_index >= len(active.attempts):
            return
        attempt = active.attempts[outcome.attempt_index]
        if attempt.result is not None:
            return
        attempt.result = outcome.result
        self._key_ordering.cool_down(now_ns, active, outcome.result)
        is_conclusive = self._record_evidence(now_ns, active, attempt, outcome)
        class_index = active.request.class_index
        # When an attempt ends, admission control runs before outlier detection: it reads the time until which
        # the endpoint is ejected, which outlier detection may change.
        self._admission.on_attempt_ended(now_ns, class_index, attempt, outcome.elapsed_ns)
        recorded_result = outcome.result if is_conclusive else AttemptResult.CANCELLED
        self._record_result(now_ns, attempt.status, recorded_result, class_index)
        active.is_closed |= outcome.is_answered
        is_retried = not active.is_closed and self._retry(now_ns, active, outcome.result)
        if is_conclusive:
            self._admission.record_response(now_ns, active, attempt, outcome.elapsed_ns, is_retried)
        if not active.is_closed and not is_retried:
            self._final_answers.finish(active)
        self._remove_if_complete(now_ns, active)

    def _on_timer(self, now_ns: int, timer_id: int) -> None:
        if timer_id == TimerId.WINDOW_END:
            self._end_window(now_ns)
        elif timer_id == TimerId.POLL:
            self._poller.on_timer(now_ns)

    def _on_endpoint_update(self, now_ns: int, update: api.EndpointUpdate) -> None:
        if update.kind is EndpointUpdateKind.FAILED:
            self._poller.on_failure(now_ns)
            return
        if update.kind is not EndpointUpdateKind.CACHED:
            self._poller.on_list()
        self._registry.apply_update(now_ns, update)
        self._admission.update_caps()
        self._slow_start.update_burst_ratio(now_ns)
        if not self._endpoints.ready:
            self._poller.on_empty_list(now_ns)

    def _mark_closed(self, event: api.ClientDisconnected) -> None:
        active = self._active_requests.get(event.request_id)
        if active is not None:
            active.is_closed |= not event.may_be_half_closed

    def _on_client_disconnected(self, now_ns: int, event: api.ClientDisconnected) -> None:
        active = self._active_requests.get(event.request_id)
        if active is not None:
            active.answer_deadline_ns = now_ns
            self._finish_unsent(active, now_ns)

    def _end_window(self, now_ns: int) -> None:
        self._admission.end_window(now_ns)
        self._subset.end_window(self._admission.in_flight.mean, self._slow_start.window_arrivals)
        self._rejection_rates.decay()
        self._hot_keys.update(len(self._endpoints.ready))
        if self._endpoints.candidates.has_equal_weights():
            self._hardware_types.update_ratios()
        self._slow_start.end_window(now_ns)
        self._actions.emit(api.SetTimer(now_ns + WINDOW_NS, TimerId.WINDOW_END))

    def _send_first(self, now_ns: int, active: ActiveRequest) -> bool:
        """Send the first attempt of a request; return False if no endpoint may be used."""
        status = self._selector.select(now_ns, active)
        if status is None:
            return False
        self._retries.on_first_attempt()
        self._active_requests[active.request.id] = active
        self._send(now_ns, active, status)
        return True

    def _retry(self, now_ns: int, active: ActiveRequest, result: AttemptResult) -> bool:
        """Retry a request if none of its attempts is in flight and a retry is allowed.

        Returns whether an attempt of the request is in flight.
        """
        if any(attempt.result is None for attempt in active.attempts):
            return True
        if not self._retries.may_retry(now_ns, active, result):
            return False
        status = self._selector.select(now_ns, active)
        if status is None:
            return False
        self._retries.on_retry(result)
        self._send(now_ns, active, status)
        return True

    def _send(self, now_ns: int, active: ActiveRequest, status: EndpointStatus) -> None:
        idle_ns = self._connections.take_connection(now_ns, status)
        timeout_ns = max(MIN_TIMEOUT_NS, active.answer_deadline_ns - now_ns)
        write_deadline_ns = active.write_deadline_ns()
        self._actions.emit(api.Forward(active.request.id, status.endpoint.id, timeout_ns, write_deadline_ns))
        active.attempts.append(AttemptRecord(status, now_ns, idle_ns))
        self._outliers.on_attempt_sent(status)
        self._slow_start.on_attempt_sent(now_ns, status)
        self._admission.on_attempt_sent(now_ns, active.request.class_index, status)

    def _record_evidence(
        self, now_ns: int, active: ActiveRequest, attempt: AttemptRecord, outcome: api.AttemptOutcome
    ) -> bool:
        """Record the outcome of an attempt; return whether the result is evidence about the endpoint."""
        is_lost_on_idle = self._connections.on_attempt_ended(now_ns, attempt)
        if outcome.result is AttemptResult.OK:
            self._load_reports.on_success(attempt.status)
            self._slow_start.on_success(now_ns, attempt.status)
        else:
            self._slow_start.on_failure(attempt.status)
        self._load_reports.on_report(attempt.status, outcome.load_report)
        is_early = self._admission.is_early_timeout(active, outcome.result, outcome.elapsed_ns)
        return not is_lost_on_idle and not is_early

    def _record_result(
        self, now_ns: int, status: EndpointStatus, result: AttemptResult, class_index: int
    ) -> None:
        if result is AttemptResult.TIMEOUT and not status.ejected_until_ns:
            self._load_reports.on_timeout(status)
        self._rejection_rates.record(status, class_index, result)
        self._outliers.on_attempt_ended(now_ns, status, result)

    def _finish_unsent(self, active: ActiveRequest, now_ns: int) -> None:
        """Send the final answer of a request that is open and was never sent to an endpoint."""
        if not active.attempts and not active.is_closed:
            self._final_answers.finish(active)
        self._remove_if_complete(now_ns, active)

    def _remove_if_complete(self, now_ns: int, active: ActiveRequest) -> None:
        if not active.is_complete():
            return
        if self._active_requests.pop(active.request.id, None) is not None:
            self._key_ordering.on_request_complete(now_ns, active)
