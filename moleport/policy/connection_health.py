"""Health of connections: detects dropped idle connections, and endpoints that can't be connected to.

Three rates are kept as exponentially weighted means over this node's attempts, all endpoints together:

- `loss_rate`: fraction of lost attempts on fresh connections (new, or idle for at most MAX_FRESH_IDLE_NS)
- the idle loss rate: fraction of lost attempts on connections that had been idle for longer
- `connect_failure_rate`: fraction of new connections that failed

An attempt is lost if it ended with RESET or TIMEOUT. CANCELLED and CONNECT_FAILED count as not lost, like an
answer; NOT_SENT changes no rate.

If an attempt is lost on an idle connection while the idle loss rate is at least MIN_IDLE_LOSS_RATE and at
least IDLE_LOSS_MULTIPLE times the loss rate, the network is dropping idle connections without notice. From
then on, only connections that were idle for at most half as long as that one are reused. This bound doubles
every IDLE_BOUND_DOUBLING_NS, up to the setting `idle_timeout_ns`. Connections to an endpoint that are beyond
the bound are closed before an attempt, as a request that is written to a dropped connection may be lost and
can't always be sent again.

This guards against firewalls and load balancers that drop idle connections, with a reset or silently, and
against network partitions. Neither counts as a failure of the endpoint that the attempt was sent to.
"""

from __future__ import annotations

from moleport.policy import interface as api
from moleport.policy.actions import ActionBuffer
from moleport.policy.interface import AttemptResult
from moleport.policy.state import AttemptRecord, EndpointStatus

# Longest idle time of a connection to an endpoint at which an attempt on it counts in the loss rate of fresh
# connections, not in that of idle connections. A new connection counts as fresh too.
MAX_FRESH_IDLE_NS = 250_000_000
LOSS_EWMA_WEIGHT = 0.2
# Weight of a time-out in the idle loss rate, the fraction of attempts lost on idle connections.
# A time-out is weaker evidence of a dropped connection than a reset.
IDLE_TIMEOUT_EWMA_WEIGHT = 0.05
# lowest fraction of attempts lost on idle connections at which the network counts as dropping idle
# connections: two resets in a row, or seven time-outs
MIN_IDLE_LOSS_RATE = 0.3
IDLE_LOSS_MULTIPLE = 2.0
IDLE_BOUND_DOUBLING_NS = 10_000_000_000
MAX_IDLE_BOUND_DOUBLINGS = 32.0

ANSWERED = (AttemptResult.OK, AttemptResult.ERROR, AttemptResult.REJECTED, AttemptResult.CLIENT_ERROR)
"""Results of an attempt after which the connection of the attempt is idle and can be reused."""


class ConnectionHealth:
    """Decides which idle connections are reused, and which losses don't count against an endpoint."""

    def __init__(self, idle_timeout_ns: int, actions: ActionBuffer) -> None:
        self._idle_timeout_ns = idle_timeout_ns
        self._actions = actions
        self.loss_rate = 0.0
        """Fraction of lost attempts on fresh connections, 0 to 1."""
        self.connect_failure_rate = 0.0
        """Fraction of new connections that failed, 0 to 1."""
        self._idle_loss_rate = 0.0
        # bound on the idle time of reused connections in ns when last set; the bound doubles over time
        self._idle_bound_ns = 0
        # time in ns at which the bound on the idle time of reused connections was last set; 0: never
        self._idle_bound_set_at_ns = 0

    def usable_idle_ns(self, now_ns: int, status: EndpointStatus) -> int:
        """Return the idle time of the connection that an attempt would use, in ns; 0: a new connection."""
        if not status.idle_since_ns:
            return 0
        # Even a connection that became idle just now has an idle time of 1 ns, as 0 stands for a new one.
        idle_ns = now_ns - status.idle_since_ns[-1] + 1
        max_idle_ns = self._max_idle_ns(now_ns) if self._idle_bound_set_at_ns else self._idle_timeout_ns
        return idle_ns if idle_ns <= max_idle_ns else 0

    def take_connection(self, now_ns: int, status: EndpointStatus) -> int:
        """Choose the connection of an attempt, and return its idle time in ns; 0: a new connection.

        Closes all idle connections to the endpoint if the newest one has been idle for too long.
        """
        idle_ns = self.usable_idle_ns(now_ns, status)
        if idle_ns:
            status.idle_since_ns.pop()
        elif status.idle_since_ns:
            status.idle_since_ns.clear()
            self._actions.emit(api.CloseIdleConnections(status.endpoint.id))
        return idle_ns

    def on_attempt_ended(self, now_ns: int, attempt: AttemptRecord) -> bool:
        """Update the loss rates; return whether an attempt was lost as its idle connection was dropped."""
        result = attempt.result
        if result is AttemptResult.NOT_SENT:
            # An attempt that was not sent used no connection, and so changes no loss rate of connections.
            return False
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
        self._idle_bound_ns = max(MAX_FRESH_IDLE_NS, attempt.idle_ns // 2)
        self._idle_bound_set_at_ns = now_ns
        return True

    def _max_idle_ns(self, now_ns: int) -> int:
        # Closing idle connections gains nothing if new connections fail more often than attempts are lost on
        # idle connections.
        if self.connect_failure_rate > self._idle_loss_rate:
            return self._idle_timeout_ns
        doublings = min(
            MAX_IDLE_BOUND_DOUBLINGS, (now_ns - self._idle_bound_set_at_ns) / IDLE_BOUND_DOUBLING_NS
        )
        return min(self._idle_timeout_ns, int(self._idle_bound_ns * 2**doublings))
