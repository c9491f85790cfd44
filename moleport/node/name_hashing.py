"""Hash functions for endpoint ids and request keys, with the same results on every node and in every run."""

from __future__ import annotations

from hashlib import blake2b

NAME_HASH_BYTES = 8


def hash_name(name: str | bytes) -> bytes:
    """Return the eight-byte BLAKE2b digest of a name; the policy identifies endpoints by this digest."""
    data = name if isinstance(name, bytes) else name.encode()
    return blake2b(data, digest_size=NAME_HASH_BYTES).digest()


def hash_key(key: bytes) -> int:
    """Return the hash of a request's key as an integer; never 0, which means "no key"."""
    return int.from_bytes(hash_name(key), "little") or 1
