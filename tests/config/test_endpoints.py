"""Tests of endpoint lists: which entries and addresses are valid, and the errors for invalid ones."""

from __future__ import annotations

from ipaddress import ip_address

import pytest
from hypothesis import given
from hypothesis import strategies as st

from moleport.config.endpoints import EndpointListError, parse_address, parse_update


@pytest.mark.parametrize("entry", [None, 7, "x" * 1000, [], {}, {"id": "y" * 1000}, {"id": "\ud800"}])
def test_the_error_for_any_invalid_entry_is_short(entry: object) -> None:
    """An id with half of a surrogate pair is invalid too, as it has no UTF-8 encoding to hash."""
    if isinstance(entry, dict):
        entry = {"state": "Ready", "addr": "10.0.0.1:80" if entry else None} | entry
        entry |= {"weight": None} if "y" in str(entry.get("id")) else {}
    with pytest.raises(EndpointListError) as raised:
        parse_update({"version": 1, "servers": [entry]})
    assert len(str(raised.value)) < 400
    str(raised.value).encode()  # the error is written to the log as UTF-8


@given(st.text(alphabet="0123456789.:abf%[] -+\x00é", max_size=20))
def test_an_address_is_valid_if_and_only_if_the_standard_library_accepts_it(host: str) -> None:
    """Guards against a difference between the fast path for IPv4 and the standard library."""
    try:
        ip_address(host)
        is_valid = True
    except ValueError:
        is_valid = False
    try:
        assert parse_address(f"{host}:80") == (host, 80)
        assert is_valid
    except EndpointListError:
        assert not is_valid
