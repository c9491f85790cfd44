"""The rules of the platform, held against what clients, servers and agents of the soak have seen.

All times are monotonic seconds of the driver, which sees each thing a little late: `slack` is its own worst
lateness. A rule is only said to be broken where that lateness can't explain it.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import pairwise
from typing import NamedTuple

ANSWER_GRACE_SECONDS = 0.5  # s after a request's time up to which its answer is late, but not lost
DISCONNECT_GRACE_SECONDS = 0.1  # s after a client's close in which an attempt may begin
DRAIN_GRACE_SECONDS = 0.55  # after the notification, with the platform's slack
DEADLINE_TOLERANCE_SECONDS = 0.15  # of a stated timeout


class Violation(NamedTuple):
    """A rule that was broken, and by what."""

    rule: str
    request: str  # its id, or the node's name
    detail: str


@dataclass(eq=False)
class Attempt:
    """A request as a server has received it, to its last byte."""

    server: str
    at: float
    timeout_s: float  # as the request states
    ran: bool = True  # False where the server said that it has not run
    ended: float | None = None  # answered, or its connection ended


@dataclass(eq=False)
class ClientRequest:
    """A request as its client has sent it."""

    identity: str
    node: str
    once: bool  # must never run twice
    sent: float
    patience: float  # s
    left: float | None = None  # when its client closed the connection
    status: int | None = None
    body: bytes = b""
    answered: float | None = None
    closed: float | None = None  # when the connection ended with no answer


@dataclass
class Record:
    """All that was seen."""

    requests: dict[str, ClientRequest] = field(default_factory=dict)
    attempts: defaultdict[str, list[Attempt]] = field(default_factory=lambda: defaultdict(list))
    made: dict[bytes, str] = field(default_factory=dict)  # bodies that servers made: for which request
    taken: set[str] = field(default_factory=set)  # ids that nodes say they have read
    killed: defaultdict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    removals: list[tuple[str, str, float, float]] = field(default_factory=list)
    """Spans in which a node must not send to a server: node, server, notified at, until."""
    slack: float = 0.0

    def violations(self) -> Iterator[Violation]:
        """Yield each violation of a rule."""
        for request in self.requests.values():
            yield from self._answer(request)
            yield from self._attempts(request)
        yield from self._drains()

    def _was_killed(self, request: ClientRequest) -> bool:
        """Its node died while it may have held the request."""
        end = request.sent + request.patience + ANSWER_GRACE_SECONDS
        return any(request.sent - 0.1 <= at <= end + 0.1 for at in self.killed[request.node])

    def _answer(self, request: ClientRequest) -> Iterator[Violation]:
        if request.left is not None or self._was_killed(request):
            return
        if request.status is None:
            if request.closed is None:
                yield Violation("lost", request.identity, f"no answer to {request}")
            elif request.identity in self.taken or self.attempts[request.identity]:
                yield Violation("lost", request.identity, f"read, then closed: {request}")
            return
        assert request.answered is not None
        late = request.answered - request.sent - request.patience - ANSWER_GRACE_SECONDS - self.slack
        if late > 0:
            yield Violation("lost", request.identity, f"answered {late:.3f} s too late: {request}")
        if request.status == 200 and self.made.get(request.body) != request.identity:
            yield Violation("lost", request.identity, f"no server made this answer: {request.body[:60]!r}")
        ran = [attempt for attempt in self.attempts[request.identity] if attempt.ran]
        if request.status in (429, 503) and request.once and ran:
            yield Violation("duplicate", request.identity, f"refused, though it may have run: {ran}")

    def _attempts(self, request: ClientRequest) -> Iterator[Violation]:
        attempts = self.attempts[request.identity]
        if request.once and sum(attempt.ran for attempt in attempts) > 1:
            yield Violation("duplicate", request.identity, f"ran more than once: {attempts}")
        for earlier, later in pairwise(attempts):
            if earlier.ended is None or earlier.ended > later.at + self.slack:
                yield Violation("duplicate", request.identity, f"two out at once: {earlier}, {later}")
        for attempt in attempts:
            if request.left is not None and attempt.at > request.left + DISCONNECT_GRACE_SECONDS + self.slack:
                late = attempt.at - request.left
                yield Violation("lost", request.identity, f"sent {late:.3f} s after its client had left")
            left = request.sent + request.patience - attempt.at
            if attempt.timeout_s > left + DEADLINE_TOLERANCE_SECONDS + self.slack:
                yield Violation(
                    "deadline", request.identity, f"stated {attempt.timeout_s:.3f} of {left:.3f} s"
                )

    def _drains(self) -> Iterator[Violation]:
        spans = defaultdict(list)
        for node, server, notified_at, until in self.removals:
            spans[node, server].append((notified_at + DRAIN_GRACE_SECONDS + self.slack, until))
        for identity, attempts in self.attempts.items():
            request = self.requests.get(identity)
            for attempt in attempts:
                for begin, end in spans[request.node, attempt.server] if request else ():
                    if begin < attempt.at < end:
                        late = attempt.at - begin
                        yield Violation("drain", identity, f"to {attempt.server} {late:.3f} s too late")
