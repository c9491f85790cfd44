"""Whose fault an error of a system call is, and so what follows from it.

The numbers are those that Linux documents for socket(2), bind(2), connect(2), accept(2), recv(2) and send(2).
"""

from __future__ import annotations

import errno
from enum import Enum


class Fault(Enum):
    """What an error tells, and what follows."""

    DESCRIPTORS = "descriptors"  # this process or machine has none left: free one, and try here again soon
    MACHINE = "machine"  # this machine's, for a moment: try here again soon, and blame nobody
    PATH = "path"  # no way to the peer: its own trouble, unless there is none to others either
    PEER = "peer"  # the other side's: try elsewhere, and remember it


FAULTS = {
    errno.EMFILE: Fault.DESCRIPTORS,
    errno.ENFILE: Fault.DESCRIPTORS,
    errno.ENOBUFS: Fault.MACHINE,
    errno.ENOMEM: Fault.MACHINE,
    errno.EADDRNOTAVAIL: Fault.MACHINE,  # no local port is free
    errno.EADDRINUSE: Fault.MACHINE,
    errno.EAGAIN: Fault.MACHINE,  # of connect: no entry in the routing cache, or no local port
    errno.EINTR: Fault.MACHINE,
    errno.EPERM: Fault.MACHINE,  # a local packet filter
    errno.EACCES: Fault.MACHINE,
    errno.ENETDOWN: Fault.MACHINE,
    errno.ENETUNREACH: Fault.PATH,
    errno.EHOSTUNREACH: Fault.PATH,
    errno.EHOSTDOWN: Fault.PATH,
    errno.ECONNREFUSED: Fault.PEER,
    errno.ECONNRESET: Fault.PEER,
    errno.ECONNABORTED: Fault.PEER,
    errno.EPIPE: Fault.PEER,
    errno.EPROTO: Fault.PEER,
    errno.ETIMEDOUT: Fault.PEER,
}
OWN = frozenset((Fault.DESCRIPTORS, Fault.MACHINE))


def fault_of(problem: BaseException | None) -> Fault:
    """Of an error without a number, and of one that is not known, the peer's."""
    number = problem.errno if isinstance(problem, OSError) else None
    return FAULTS.get(number, Fault.PEER) if number is not None else Fault.PEER
