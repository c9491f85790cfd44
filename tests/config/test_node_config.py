"""Tests that a configuration file is either usable, or causes an error that names the invalid key."""

from __future__ import annotations

import copy
import json
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from rig import Server, configuration

from moleport.config.node_config import Config, ConfigError, load
from moleport.node.connection_pools import ConnectionPools
from moleport.node.node_factory import max_client_connections
from moleport.policy import Balancer

SERVER = Server("s-1")
SERVER.address = "127.0.0.1:3000"
DOCUMENT = configuration(SERVER)
DOCUMENT["settings"]["Tenants"] = [{"Name": "one", "Share": 0.5}]


def nested_list(level_count: int) -> Any:
    """Return lists that contain each other, with this number of levels."""
    value: Any = 1
    for _ in range(level_count):
        value = [value]
    return value


def load_text(text: str) -> Config:
    """Load a configuration file with this content."""
    with TemporaryDirectory() as folder:
        path = Path(folder, "config.json")
        path.write_text(text, encoding="utf-8", errors="surrogatepass")
        return load({"BALANCER_CONFIG": str(path)})


def paths_of_values(value: Any, path: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    """Return the path of each value in a document, without the path of the document itself."""
    items = value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    found = [path] if path else []
    for key, inner in items:
        found += paths_of_values(inner, (*path, key))
    return found


PATHS = paths_of_values(DOCUMENT)
REPLACEMENT_VALUES = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.sampled_from([2**31, 2**63, 10**30, 10**400, -1, 0]),
    st.floats(),
    st.text(max_size=5),
    st.sampled_from(["\ud800", "1e999", "nan", "0x10", ",", "\x00", "127.0.0.1:70000"]),
    st.lists(st.one_of(st.integers(), st.text(max_size=3), st.dictionaries(st.text(max_size=3), st.none()))),
    st.dictionaries(st.text(max_size=5), st.integers(), max_size=2),
    st.sampled_from([{"count": 10**9}, nested_list(20), nested_list(200)]),
)


def with_value(document: dict[str, Any], path: tuple[Any, ...], value: Any) -> dict[str, Any]:
    """Return a copy of a document with another value at the path."""
    document = copy.deepcopy(document)
    parent: Any = document
    for key in path[:-1]:
        parent = parent[key]
    parent[path[-1]] = value
    return document


@hypothesis_settings(max_examples=600, deadline=None, database=None, derandomize=True)
@given(st.sampled_from(PATHS), REPLACEMENT_VALUES)
def test_a_changed_document_is_usable_or_its_error_names_the_key(path: tuple[Any, ...], value: Any) -> None:
    """Guards against values that pass the checks of the configuration and make the node fail later."""
    try:
        config = load_text(json.dumps(with_value(DOCUMENT, path, value)))
    except ConfigError as error:
        keys = [str(key) for key in path if isinstance(key, str)]
        assert any(key in str(error) for key in keys), (path, value, error)
        assert len(str(error)) < 400
        str(error).encode()  # the error is written to the log as UTF-8
        return
    Balancer(config.policy_settings, config.seed).start(1)
    ConnectionPools(10, config.connect_timeout_ns, config.idle_timeout_ns)
    assert max_client_connections(config.max_descriptors) > 0


@pytest.mark.parametrize(
    ("path", "value", "named_key"),
    [
        (("settings", "Tenants"), 5, "Tenants"),
        (("settings", "Grades"), 5, "Grades"),
        (("settings", "Grades"), "page", "Grades"),
        (("settings", "Grades", 0, "Name"), "\ud800", "Grades"),
        (("settings", "Feedback", "Fields"), ["\ud800"], "Feedback.Fields"),
        (("settings", "Limits", "IdleClose"), 10**400, "Limits.IdleClose"),
        (("limits", "sockets"), 10**400, "limits.sockets"),
        (("seed",), float("inf"), "seed"),
        (("seed",), float("nan"), "seed"),
    ],
    ids=range(9),
)
def test_the_error_for_an_invalid_value_names_its_key(
    path: tuple[Any, ...], value: Any, named_key: str
) -> None:
    """The values have the wrong type, cannot be encoded or are out of range."""
    with pytest.raises(ConfigError, match=named_key):
        load_text(json.dumps(with_value(DOCUMENT, path, value)))


def test_unknown_settings_may_have_any_value() -> None:
    """A setting that the node does not read has no effect, whatever its nesting and type."""
    document = copy.deepcopy(DOCUMENT)
    document["settings"]["Other"] = {"a": [nested_list(20), {"b": None}], "c": [{"d": [[]]}, 5]}
    assert load_text(json.dumps(document)) == load_text(json.dumps(DOCUMENT))


@pytest.mark.parametrize(
    "text",
    ["[" * 100_000, '{"settings":' * 100_000, "", "5", "[]", "\ud800"],
    ids=["nested lists", "nested objects", "empty", "number", "list", "surrogate"],
)
def test_a_file_without_a_json_object_is_an_error(text: str) -> None:
    """The error names BALANCER_CONFIG, also for text that is nested too deeply to parse."""
    with pytest.raises(ConfigError, match="BALANCER_CONFIG"):
        load_text(text)
