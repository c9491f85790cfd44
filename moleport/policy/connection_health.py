"""Idle connections that may no longer work, and endpoints that new connections don't reach.

Three rates are kept as exponentially weighted means over this node's attempts, all endpoints together:

- `loss_rate`: lost attempts on fresh connections (new, or idle for at most MAX_FRESH_IDLE_NS)
- the idle loss rate: lost attempts on connections that had been idle for longer
- `connect_failure_rate`: new connections that failed

An attempt is lost if it ended with RESET or TIMEOUT. CANCELLED and CONNECT_FAILED count as not lost, like an
answer; NOT_SENT changes no rate.

An attempt lost on an idle connection while the idle loss rate is at least MIN_IDLE_LOSS_RATE and
IDLE_LOSS_MULTIPLE times the loss rate shows that idle connections are dropped unnoticed. Then only those are
used that were idle for at most half of its idle time; the bound doubles each TRUST_DOUBLING_NS, up to the
settings' `idle_timeout_ns`. An endpoint's connections beyond the bound are closed before an attempt, as what
is written to a dropped connection may be lost and can't always be sent again.

Failure that this is for: a firewall or load balancer that drops idle connections by reset or by silence, and
endpoints behind a partition. Neither is taken for a fault of the endpoint that the attempt was sent to.
"""

from __future__ import annotations

from moleport.policy import interface as api
from moleport.policy.actions import ActionBuffer
from moleport.policy.interface import AttemptResult
from moleport.policy.state import AttemptRecord, EndpointStatus

MAX_FRESH_IDLE_NS = 250_000_000  # a connection that idled for less is as good as a new one
LOSS_EWMA_WEIGHT = 0.2
IDLE_TIMEOUT_EWMA_WEIGHT = 0.05  # a time-out is weaker evidence of a dropped connection than a reset
MIN_IDLE_LOSS_RATE = 0.3  # two resets in a row, or seven time-outs
IDLE_LOSS_MULTIPLE = 2.0
TRUST_DOUBLING_NS = 10_000_000_000
MAX_TRUST_DOUBLINGS = 32.0

ANSWERED = (AttemptResult.OK, AttemptResult.ERROR, AttemptResult.REJECTED, AttemptResult.CLIENT_ERROR)
"""Results after which the connection is idle."""


class ConnectionHealth:
    """Tells which idle connections are used, and which losses are not the endpoint's fault."""

    def __init__(self, idle_timeout_ns: int, actions: ActionBuffer) -> None:
        self._idle_timeout_ns = idle_timeout_ns
        self._actions = actions
        self.loss_rate = 0.0
        self.connect_failure_rate = 0.0
        self._idle_loss_rate = 0.0
        self._trusted_idle_ns = 0  # idle time up to which connections are used
        self._distrusted_at_ns = 0  # when that bound was set; 0: never

    def usable_idle_ns(self, now_ns: int, status: EndpointStatus) -> int:
        """Return the idle time in ns of the connection that an attempt would use; 0: a new one."""
        if not status.idle_since_ns:
            return 0
        # At least 1, also for a connection that became idle just now: 0 stands for a new connection.
        idle_ns = now_ns - status.idle_since_ns[-1] + 1
        max_idle_ns = self._max_idle_ns(now_ns) if self._distrusted_at_ns else self._idle_timeout_ns
        return idle_ns if idle_ns <= max_idle_ns else 0

    def take_connection(self, now_ns: int, status: EndpointStatus) -> int:
        """Take the connection for an attempt, and return its idle time in ns; 0: a new one.

        Closes all idle connections to the endpoint if the newest can't be trusted.
        """
        idle_ns = self.usable_idle_ns(now_ns, status)
        if idle_ns:
            status.idle_since_ns.pop()
        elif status.idle_since_ns:
            status.idle_since_ns.clear()
            self._actions.emit(api.CloseIdleConnections(status.endpoint.id))
        return idle_ns

    def on_attempt_ended(self, now_ns: int, attempt: AttemptRecord) -> bool:
        """Update the rates, and return whether a connection dropped while idle lost the attempt."""
        result = attempt.result
        if result is AttemptResult.NOT_SENT:
            return False  # no connection was used
        if result in ANSWERED:
            attempt.status.idle_since_ns.append(now_ns)
        if not attempt.idle_ns:
            is_failed = result is AttemptResult.CONNECT_FAILED
            self.connect_failure_rate += LOSS_EWMA_WEIGHT * (is_failed - self.connect_failure_rate)
        is_lost = result in (AttemptResult.RESET, AttemptResult.TIMEOUT)
        if attempt.idle_ns <= MAX_FRESH_IDLE_NS:
            self.loss_rate += LOSS_EWMA_WEIGHT * (is_lost - self.loss_rate)
            return False
        return self._is_lost_on_idle(now_ns, attempt, is_lost)

    def _is_lost_on_idle(self, now_ns: int, attempt: AttemptRecord, is_lost: bool) -> bool:
        is_timeout = attempt.result is AttemptResult.TIMEOUT
        weight = IDLE_TIMEOUT_EWMA_WEIGHT if is_timeout else LOSS_EWMA_WEIGHT
        self._idle_loss_rate += weight * (is_lost - self._idle_loss_rate)
        min_rate = max(MIN_IDLE_LOSS_RATE, IDLE_LOSS_MULTIPLE * self.loss_rate)
        if not is_lost or self._idle_loss_rate < min_rate:
            return False
        self._trusted_idle_ns = max(MAX_FRESH_IDLE_NS, attempt.idle_ns // 2)
        self._distrusted_at_ns = now_ns
        return True

    def _max_idle_ns(self, now_ns: int) -> int:
        # Where new connections fail more often than idle ones, distrust would gain nothing.
        if self.connect_failure_rate > self._idle_loss_rate:
            return self._idle_timeout_ns
        doublings = min(MAX_TRUST_DOUBLINGS, (now_ns - self._distrusted_at_ns) / TRUST_DOUBLING_NS)
        return min(self._idle_timeout_ns, int(self._trusted_idle_ns * 2**doublings))
