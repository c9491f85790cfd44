"""Time limits of the watches of discovery, and what they add up to.

All times are in seconds. What discovery has to tell counts as notified `NOTIFICATION_LIMIT_S` after discovery
could be reached, and after a reload `RELOAD_NOTIFICATION_LIMIT_S` after the signal. The longest waits for a
change:

- a watch falls silent: `DATA_TIMEOUT_S`, the backoff, and the time that discovery takes to respond;
- discovery is reachable again: the response timeout of the watch opened last, the backoff, and the time that
  discovery takes to respond;
- the address changes: the time that discovery takes to respond.

A timeout without a response, or within an update, does not end a watch, but makes it overdue: another one is
opened, as discovery may be reachable again, and the overdue one stays open, as discovery may be slow. So the
time that discovery may take is bounded by the sums above and `OVERDUE_PATIENCE_S`, not by a timeout.

The backoff is that of `reconnect_backoff` where lists are pushed, and of `policy.discovery_polling`, which
shares two limits with this module, where they are polled.
"""

from __future__ import annotations

from moleport.policy.discovery_polling import POLL_TIMEOUT_NS, WATCH_SILENCE_NS
from moleport.units import NS_PER_SECOND

# Time after which a change of the endpoint list counts as notified, from when discovery could be reached.
NOTIFICATION_LIMIT_S = 6.0
# Time after which the list of a new discovery address counts as notified, from the reload.
RELOAD_NOTIFICATION_LIMIT_S = 4.0

# AGENT_RESPONSE_TIMEOUT_S and SHARED_RESPONSE_TIMEOUT_S limit the time from the opening of a discovery watch
# to the headers of discovery's response. A discovery agent on the same machine responds at once. A discovery
# service that all nodes share queues their requests, so its timeout is longer.
AGENT_RESPONSE_TIMEOUT_S = 0.5
SHARED_RESPONSE_TIMEOUT_S = POLL_TIMEOUT_NS / NS_PER_SECOND
# Further time for the response headers of a discovery watch, if the node was held while it waited for them.
HOLD_EXTENSION_S = 0.5
# Discovery sends an empty line as soon as a watch opens, and then at least every 2 s.
# White space between two JSON objects, such as an empty line, counts as data of the watch.
FIRST_DATA_TIMEOUT_S = POLL_TIMEOUT_NS / NS_PER_SECOND  # from the opening of a watch to its first data
DATA_TIMEOUT_S = WATCH_SILENCE_NS / NS_PER_SECOND  # between two receptions of data on a watch
# Limits on the watches that one node has open at once, for an agent and for a service that all nodes share.
# Their descriptors are part of the reserve of the node.
AGENT_MAX_WATCH_COUNT = 8
SHARED_MAX_WATCH_COUNT = 3
# Limit on the watches that one node receives partial updates on, as each of them buffers its update.
MAX_RECEIVING_WATCH_COUNT = 2
# Time for which an overdue watch stays open; if too many are open, only the oldest has this time.
OVERDUE_PATIENCE_S = 30.0
