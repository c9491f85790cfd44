"""Classifies errors of system calls by the party at fault.

The error numbers are those that Linux documents for socket(2), bind(2), connect(2), accept(2), recv(2) and
send(2).
"""

from __future__ import annotations

import errno
from enum import Enum


class Fault(Enum):
    """The party at fault for an error, which determines how the error is handled."""

    # Class of socket errors: no free file descriptor. After a failed connect, the node closes an idle
    # connection to any server and connects to the same peer again.
    DESCRIPTORS = "descriptors"
    # Class of socket errors: transient fault of this machine. After a failed connect, the node connects to
    # the same peer again, as the peer is not at fault.
    MACHINE = "machine"
    # Class of socket errors: no route to the peer. The peer is at fault, unless the node found no route to
    # other peers either.
    PATH = "path"
    # Class of socket errors: fault of the peer, such as a refused or reset connection. After a failed
    # connect, another peer is to be used.
    PEER = "peer"


FAULT_BY_ERRNO = {
    errno.EMFILE: Fault.DESCRIPTORS,
    errno.ENFILE: Fault.DESCRIPTORS,
    errno.ENOBUFS: Fault.MACHINE,
    errno.ENOMEM: Fault.MACHINE,
    errno.EADDRNOTAVAIL: Fault.MACHINE,  # EADDRNOTAVAIL: no local port is free
    errno.EADDRINUSE: Fault.MACHINE,
    errno.EAGAIN: Fault.MACHINE,  # EAGAIN of connect(2): no entry in the routing cache, or no free local port
    errno.EINTR: Fault.MACHINE,
    errno.EPERM: Fault.MACHINE,  # EPERM: a local packet filter has rejected the connection
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


def classify_error(error: BaseException | None) -> Fault:
    """Return the party at fault for an error: the peer, if there is no error or its number is unknown."""
    number = error.errno if isinstance(error, OSError) else None
    if number is None:
        return Fault.PEER
    return FAULT_BY_ERRNO.get(number, Fault.PEER)
