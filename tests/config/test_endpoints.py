"""Entries of the endpoint list: which are valid, and how an invalid one is reported."""

from __future__ import annotations

from ipaddress import ip_address

import pytest
from hypothesis import given
from hypothesis import strategies as st

from moleport.config.endpoints import EndpointListError, parse_address, parse_update


@pytest.mark.parametrize("entry", [None, 7, "x" * 1000, [], {}, {"id": "y" * 1000}, {"id": "\ud800"}])
def test_the_error_for_any_invalid_entry_is_short(entry: object) -> None:
    """Half of a surrogate pair in an id is rejected too, as it has no bytes to hash."""
    if isinstance(entry, dict):
        entry = {"state": "Ready", "addr": "10.0.0.1:80" if entry else None} | entry
        entry |= {"weight": None} if "y" in str(entry.get("id")) else {}
    with pytest.raises(EndpointListError) as found:
        parse_update({"version": 1, "servers": [entry]})
    assert len(str(found.value)) < 400
    str(found.value).encode()  # it is written to the log


@given(st.text(alphabet="0123456789.:abf%[] -+\x00é", max_size=20))
def test_an_address_is_valid_if_and_only_if_the_standard_library_accepts_it(host: str) -> None:
    """The fast path for IPv4 accepts no more and no less."""
    try:
        ip_address(host)
        good = True
    except ValueError:
        good = False
    try:
        assert parse_address(f"{host}:80") == (host, 80)
        assert good
    except EndpointListError:
        assert not good
