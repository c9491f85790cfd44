"""Passes events to the policy one at a time, and executes the actions that it returns.

Entry and exit points of the node:

- client requests: `Dispatcher.accept_request`, which is `RequestRegistry.accept_request`
- final responses: `RequestRegistry`
- attempts: `AttemptSupervisor`
- endpoint updates: `EndpointList.on_update`
- a reloaded configuration (SIGHUP): `Dispatcher.reload`
"""

from __future__ import annotations

import logging
from collections import deque
from dataclasses import replace
from time import monotonic_ns

from moleport.config.node_config import Config
from moleport.node.attempt_supervisor import AttemptSupervisor
from moleport.node.connection_pools import ConnectionPools
from moleport.node.consistency_check import ConsistencyCheck
from moleport.node.endpoint_list import EndpointList
from moleport.node.hold_detector import HoldDetector
from moleport.node.policy_timers import PolicyTimers
from moleport.node.request import RequestRegistry
from moleport.policy import Balancer
from moleport.policy import interface as api
from moleport.telemetry import Event, Telemetry
from moleport.units import NS_PER_SECOND

log = logging.getLogger(__name__)


class Dispatcher:
    """Owns the policy, which gets an event only once all actions for the previous event are executed."""

    def __init__(self, config: Config, pools: ConnectionPools) -> None:
        """Create the policy and the components that the policy acts on; needs a running event loop."""
        self._config = config
        self._pools = pools
        self._balancer = Balancer(config.policy_settings, config.seed)
        self._ejection_notices = self._balancer.ejection_notices
        self._events: deque[api.Event] = deque()
        self._is_dispatching = False
        # Live view of the ids of all endpoints that have a connection pool.
        self._ready_endpoint_ids = pools.endpoint_ids()
        dispatch_event = self._dispatch_event
        self.telemetry = Telemetry()
        self.hold_detector = HoldDetector(self.telemetry)
        self.requests = RequestRegistry(config, self.telemetry, dispatch_event)
        self.endpoint_list = EndpointList(config, pools, self.hold_detector, self.telemetry, dispatch_event)
        self._timers = PolicyTimers(dispatch_event)
        attempts = AttemptSupervisor(
            config, pools, self.requests, self.hold_detector, self.telemetry, dispatch_event
        )
        self._consistency_check = ConsistencyCheck(
            self.requests.active, self.attempts_in_flight_by_policy, self.hold_detector, self.telemetry
        )
        # Methods that are called for each request are bound once to avoid attribute look-ups.
        self._start_attempt = attempts.start_attempt
        self._set_timer = self._timers.set
        self.accept_request = self.requests.accept_request
        self.on_client_disconnected = self.requests.on_client_disconnected
        self.on_client_half_closed = self.requests.on_client_half_closed
        self.retry_after_headers = self.requests.default_retry_after_headers

    def start(self) -> None:
        """Start the policy, and load the cached endpoints of the configuration."""
        self._pools.start()
        self.hold_detector.start()
        self._consistency_check.start()
        self._execute_actions(self._balancer.start(monotonic_ns()))
        self.endpoint_list.start()

    def reload(self, config: Config) -> None:
        """Apply the discovery address of a new configuration.

        Endpoints and requests are kept, and so are all other settings until a restart.
        """
        current = self._config
        with_new_address = replace(current, discovery_address=config.discovery_address)
        if replace(config, cached_endpoints=current.cached_endpoints, seed=current.seed) != with_new_address:
            log.warning(
                "only the discovery address of the new configuration is applied; other changes need a restart"
            )
        log.info("discovery address of the new configuration is %s:%d", *config.discovery_address)
        self._config = with_new_address
        self.endpoint_list.change_address(config.discovery_address)

    async def wait_until_endpoints_known(self) -> None:
        """Wait until discovery has sent its endpoint list, is unreachable or a time limit has passed."""
        await self.endpoint_list.wait_until_synced()

    def fail_all_requests(self) -> None:
        """Answer 504 to all unanswered requests and reject new ones, as the process is about to exit."""
        self.requests.fail_all()

    def attempts_in_flight_by_policy(self) -> int:
        """Return the policy's count of attempts in flight, without those that wait for a delayed release."""
        return self._balancer.attempts_in_flight()

    def server_connection_count(self) -> int:
        """Return the number of connections to servers that are open or connecting."""
        return self._pools.socket_count

    def has_endpoints(self) -> bool:
        """Return whether there is an endpoint that requests can be forwarded to."""
        return bool(self._ready_endpoint_ids)

    def _dispatch_event(self, event: api.Event) -> None:
        """Queue an event; handle all queued events, unless an outer call is already doing so."""
        self._events.append(event)
        if self._is_dispatching:
            return
        self._is_dispatching = True
        try:
            while self._events:
                event = self._events.popleft()
                self._execute_actions(self._handle(event))
                while self._ejection_notices:
                    self._report_notice(self._ejection_notices.popleft())
        finally:
            self._is_dispatching = False

    def _report_notice(self, notice: api.Notice) -> None:
        """Log and count the ejection or reinstatement of an endpoint."""
        pool = self._pools.get(notice.endpoint_id)
        server = "{}:{}".format(*pool.address) if pool is not None else notice.endpoint_id.hex()
        if isinstance(notice, api.EndpointReinstated):
            self.telemetry.count(Event.ENDPOINT_REINSTATED, server=server)
            log.info("server %s is reinstated", server)
            return
        self.telemetry.count(Event.ENDPOINT_EJECTED, server=server, result=notice.result.value)
        log.info(
            "server %s is ejected for %.1f s: result %s, failure rate %.2f, %d failed trials",
            server,
            notice.duration_ns / NS_PER_SECOND,
            notice.result.value,
            notice.failure_rate,
            notice.failed_trial_count,
        )

    def _handle(self, event: api.Event) -> list[api.Action]:
        """Return the policy's actions for an event, or none if the policy raises an exception.

        If the policy raises an exception on a timer event, the timer is set again. On the event of a request
        or an attempt, the request is answered with 502. On an endpoint update, the full endpoint list is
        dispatched later.
        """
        try:
            return self._balancer.handle(monotonic_ns(), event)
        except Exception:
            log.exception("the policy failed on event %.1000r", event)
        self.telemetry.count(Event.POLICY_FAILED, event_type=type(event).__name__)
        if isinstance(event, api.TimerFired):
            self._timers.set_after_failure(event.timer_id)
        elif isinstance(event, api.Request):
            self.requests.on_policy_failed(event.id)
        elif isinstance(event, api.AttemptOutcome):
            self.requests.on_policy_failed(event.request_id)
        elif isinstance(event, api.EndpointUpdate):
            self.endpoint_list.schedule_resync()
        return []

    def _execute_actions(self, actions: list[api.Action]) -> None:
        for action in actions:
            try:
                self._execute_action(action)
            except Exception:
                log.exception("action failed: %r", action)

    def _execute_action(self, action: api.Action) -> None:
        if isinstance(action, api.Forward):
            self._start_attempt(action)
        elif isinstance(action, api.Reject):
            self.requests.reject(action)
        elif isinstance(action, api.Fail):
            self.requests.report_failure(action)
        elif isinstance(action, api.SetTimer):
            self._set_timer(action.at_ns, action.timer_id)
        elif isinstance(action, api.CloseIdleConnections):
            pool = self._pools.get(action.endpoint_id)
            if pool is not None:
                pool.close_idle()
        elif isinstance(action, api.WatchEndpoints):
            self.endpoint_list.discovery.open_watch()
