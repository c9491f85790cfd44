"""Classifies errors of system calls by the party at fault.

The error numbers are those that Linux documents for socket(2), bind(2), connect(2), accept(2), recv(2) and
send(2).
"""

from __future__ import annotations

import errno
from enum import Enum


class Fault(Enum):
    """The party at fault for an error, which determines how the error is handled."""

    DESCRIPTORS = "descriptors"  # no descriptor is free: close an idle connection and retry the same peer
    MACHINE = "machine"  # a transient fault of this machine: retry the same peer, which is not at fault
    PATH = "path"  # no route to the peer: a fault of the peer, unless other peers are unreachable too
    PEER = "peer"  # a fault of the peer: use another one


FAULT_BY_ERRNO = {
    errno.EMFILE: Fault.DESCRIPTORS,
    errno.ENFILE: Fault.DESCRIPTORS,
    errno.ENOBUFS: Fault.MACHINE,
    errno.ENOMEM: Fault.MACHINE,
    errno.EADDRNOTAVAIL: Fault.MACHINE,  # no local port is free
    errno.EADDRINUSE: Fault.MACHINE,
    errno.EAGAIN: Fault.MACHINE,  # from connect(2): no entry in the routing cache, or no local port is free
    errno.EINTR: Fault.MACHINE,
    errno.EPERM: Fault.MACHINE,  # rejected by a local packet filter
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
LOCAL_FAULTS = frozenset((Fault.DESCRIPTORS, Fault.MACHINE))


def fault_of(error: BaseException | None) -> Fault:
    """Return the party at fault, which is the peer without an error or for an unknown error number."""
    number = error.errno if isinstance(error, OSError) else None
    if number is None:
        return Fault.PEER
    return FAULT_BY_ERRNO.get(number, Fault.PEER)
