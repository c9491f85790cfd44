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

ANSWER_GRACE = 0.5  # s after a request's time up to which its answer is late, but not lost
CLIENT_LEFT_GRACE = 0.1  # s after a client's close in which an attempt may begin
DRAIN_GRACE = 0.55  # s after a node was told, with the platform's slack on sockets
TOLD_SLACK = 0.15  # s by which the time that a server is told may exceed what the client has left


class Violation(NamedTuple):
    rule: str
    request: str  # its id, or the node's name
    detail: str


@dataclass(eq=False)
class Attempt:
    """A request as a server has received it, whole."""

    server: str
    at: float
    told: float  # s that the server was told are left
    ran: bool = True  # False where the server said that it has not run
    ended: float | None = None  # answered, or its connection ended


@dataclass(eq=False)
class Asked:
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

    asked: dict[str, Asked] = field(default_factory=dict)
    attempts: defaultdict[str, list[Attempt]] = field(default_factory=lambda: defaultdict(list))
    made: dict[bytes, str] = field(default_factory=dict)  # bodies that servers made: for which request
    taken: set[str] = field(default_factory=set)  # ids that nodes say they have read
    killed: defaultdict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    gone: list[tuple[str, str, float, float]] = field(default_factory=list)
    """Spans in which a node must not send to a server: node, server, told at, until."""
    slack: float = 0.0

    def violations(self) -> Iterator[Violation]:
        for asked in self.asked.values():
            yield from self._answer(asked)
            yield from self._attempts(asked)
        yield from self._drains()

    def _was_killed(self, asked: Asked) -> bool:
        """Its node died while it may have held the request."""
        end = asked.sent + asked.patience + ANSWER_GRACE
        return any(asked.sent - 0.1 <= at <= end + 0.1 for at in self.killed[asked.node])

    def _answer(self, asked: Asked) -> Iterator[Violation]:
        if asked.left is not None or self._was_killed(asked):
            return
        if asked.status is None:
            if asked.closed is None:
                yield Violation("lost", asked.identity, f"no answer to {asked}")
            elif asked.identity in self.taken or self.attempts[asked.identity]:
                yield Violation("lost", asked.identity, f"read, then closed: {asked}")
            return
        assert asked.answered is not None
        late = asked.answered - asked.sent - asked.patience - ANSWER_GRACE - self.slack
        if late > 0:
            yield Violation("lost", asked.identity, f"answered {late:.3f} s too late: {asked}")
        if asked.status == 200 and self.made.get(asked.body) != asked.identity:
            yield Violation("lost", asked.identity, f"no server made this answer: {asked.body[:60]!r}")
        ran = [attempt for attempt in self.attempts[asked.identity] if attempt.ran]
        if asked.status in (429, 503) and asked.once and ran:
            yield Violation("duplicate", asked.identity, f"refused, though it may have run: {ran}")

    def _attempts(self, asked: Asked) -> Iterator[Violation]:
        attempts = self.attempts[asked.identity]
        if asked.once and sum(attempt.ran for attempt in attempts) > 1:
            yield Violation("duplicate", asked.identity, f"ran more than once: {attempts}")
        for earlier, later in pairwise(attempts):
            if earlier.ended is None or earlier.ended > later.at + self.slack:
                yield Violation("duplicate", asked.identity, f"two out at once: {earlier}, {later}")
        for attempt in attempts:
            if asked.left is not None and attempt.at > asked.left + CLIENT_LEFT_GRACE + self.slack:
                late = attempt.at - asked.left
                yield Violation("lost", asked.identity, f"sent {late:.3f} s after its client had left")
            left = asked.sent + asked.patience - attempt.at
            if attempt.told > left + TOLD_SLACK + self.slack:
                yield Violation("deadline", asked.identity, f"told {attempt.told:.3f} of {left:.3f} s")

    def _drains(self) -> Iterator[Violation]:
        spans = defaultdict(list)
        for node, server, told, until in self.gone:
            spans[node, server].append((told + DRAIN_GRACE + self.slack, until))
        for identity, attempts in self.attempts.items():
            asked = self.asked.get(identity)
            for attempt in attempts:
                for begin, end in spans[asked.node, attempt.server] if asked else ():
                    if begin < attempt.at < end:
                        late = attempt.at - begin
                        yield Violation("drain", identity, f"to {attempt.server} {late:.3f} s too late")
