"""Reads the node's configuration from its environment variables and its configuration file.

The variable `BALANCER_CONFIG` is the path of the file, which contains a JSON object with these keys:

| key of the file | field of `Config` |
| --- | --- |
| `listen` | `listen_address`; the variable `BALANCER_LISTEN` overrides it |
| `discovery` | `discovery_address`; the variable `BALANCER_DISCOVERY` overrides it at the process's start |
| `seed` | `seed`, as a number or as hexadecimal text |
| `limits.sockets` | `max_descriptors` |
| `limits.memory_mb` | `max_memory_bytes`; optional |
| `known` | `cached_endpoints`, in the form of `moleport.config.endpoints` |
| `settings` | all other fields; their keys and values are in `moleport.config.protocol_keys` |
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from moleport.config.endpoints import DiscoveryUpdate, EndpointListError, parse_address, parse_update
from moleport.config.protocol_keys import ENTRY_NAME_KEY, NodeKey, RequestClassKey, SettingKey
from moleport.config.settings import SettingsError, SettingsReader, flatten, format_for_error, parse_settings
from moleport.policy import interface as api

CONFIG_VARIABLE = "BALANCER_CONFIG"
"""Environment variable with the path of the configuration file."""
LISTEN_VARIABLE = "BALANCER_LISTEN"
"""Environment variable with the address at which the node accepts clients."""
DISCOVERY_VARIABLE = "BALANCER_DISCOVERY"
"""Environment variable with the address of the discovery agent."""

MIN_DESCRIPTOR_COUNT = 96
"""Lowest accepted number of file descriptors.

With a lower number, the node's own descriptors leave none for connections to clients and servers.
"""
MAX_DESCRIPTOR_COUNT = 1 << 30
"""Highest accepted number of file descriptors; Linux's own limit, fs.nr_open, is 1 << 20 by default."""

MAX_MEMORY_MB = 1 << 30
"""Highest accepted memory limit in MB; no machine has so much memory."""
BYTES_PER_MB = 1 << 20


class ConfigError(Exception):
    """Raised for an invalid configuration; the message names the invalid key or environment variable."""


@dataclass(slots=True, frozen=True)
class Config:
    """The validated configuration of a node.

    The decision module identifies classes, tenants, zones and hardware types by the indices in this object.
    """

    listen_address: tuple[str, int]
    """IP address and port at which the node accepts clients."""
    discovery_address: tuple[str, int]
    """IP address and port of the discovery agent."""
    seed: int
    """Seed of the random numbers of the decision module and of the reconnect backoff."""
    max_descriptors: int
    """Number of file descriptors that the process may have open."""
    max_memory_bytes: int | None
    """Memory that the process may use; None: the configuration file states no limit."""
    cached_endpoints: DiscoveryUpdate
    """The last endpoint list that the platform had when it wrote the configuration file; it may be stale."""
    policy_settings: api.Settings
    """Settings of the decision module."""
    class_indices: dict[bytes, int]
    """Index of each request class, by the class name that requests contain."""
    max_deadlines_ns: tuple[int, ...]
    """Longest deadline that a request of a class may have, by class index."""
    tenant_indices: dict[bytes, int]
    """Index of each tenant, by the tenant name that requests contain."""
    zone_indices: dict[str, int]
    """Index of each zone, by the zone name that endpoint lists contain."""
    hardware_type_indices: dict[str, int]
    """Index of each hardware type, by the name that endpoint lists contain."""
    load_report_wire_names: tuple[bytes, ...]
    """Names of the figures in a server's load report, as responses contain them."""
    connect_timeout_ns: int
    """Time within which a connection to a server must be established."""
    idle_timeout_ns: int
    """Idle time after which a server closes a connection."""
    max_requests: int
    """Number of requests that the node may have in flight."""
    drain_grace_ns: int
    """Time after the start of a server's drain by which the node must stop sending requests to the server."""


def load(environment: Mapping[str, str]) -> Config:
    """Read the node's configuration at the start of the process; raises ConfigError."""
    document = _read_file(environment)
    try:
        return _parse(environment, document)
    except (SettingsError, ValueError) as error:
        raise ConfigError(f"settings: {error}") from None


def reload(environment: Mapping[str, str]) -> Config:
    """Read the configuration again in a running process; raises ConfigError.

    The environment dates from the start of the process, so the discovery address in the file is newer than
    the one in `BALANCER_DISCOVERY`.
    """
    return load({name: text for name, text in environment.items() if name != DISCOVERY_VARIABLE})


def _read_file(environment: Mapping[str, str]) -> dict[str, Any]:
    path = environment.get(CONFIG_VARIABLE)
    if not path:
        raise ConfigError(f"{CONFIG_VARIABLE} is not set")
    try:
        with open(path, encoding="utf-8") as file:
            document = json.load(file)
    except OSError as error:
        raise ConfigError(f"{CONFIG_VARIABLE}: cannot read {path!r}: {error.strerror}") from None
    except (ValueError, RecursionError):
        # RecursionError is caught, and reported as invalid JSON in the node's configuration file, as
        # json.load raises it for a text with thousands of nesting levels.
        raise ConfigError(f"{CONFIG_VARIABLE}: {path!r} does not contain valid JSON") from None
    if not isinstance(document, dict):
        raise ConfigError(f"{CONFIG_VARIABLE}: {path!r} does not contain a JSON object")
    return document


def _parse(environment: Mapping[str, str], document: dict[str, Any]) -> Config:
    tree = _read_object(document, "settings")
    values = dict(flatten(tree))
    reader = SettingsReader(values)
    return Config(
        policy_settings=parse_settings(values),
        listen_address=_read_address(environment, LISTEN_VARIABLE, document, "listen"),
        discovery_address=_read_address(environment, DISCOVERY_VARIABLE, document, "discovery"),
        seed=_read_seed(document),
        max_descriptors=_read_max_descriptors(document),
        max_memory_bytes=_read_max_memory_bytes(document),
        cached_endpoints=_read_cached_endpoints(document),
        class_indices=_read_encoded_indices(tree, SettingKey.CLASSES),
        max_deadlines_ns=reader.entries(SettingKey.CLASSES, _read_max_deadline_ns),
        tenant_indices=_read_encoded_indices(tree, SettingKey.TENANTS),
        zone_indices=_read_name_indices(tree, NodeKey.ZONES),
        hardware_type_indices=_read_name_indices(tree, NodeKey.HARDWARE_TYPES),
        load_report_wire_names=tuple(
            _encode_name(name, SettingKey.LOAD_REPORT_FIELDS)
            for name in reader.comma_separated(SettingKey.LOAD_REPORT_FIELDS)
        ),
        connect_timeout_ns=reader.integer(NodeKey.CONNECT_TIMEOUT_NS, minimum=1),
        idle_timeout_ns=reader.integer(SettingKey.IDLE_TIMEOUT_NS, minimum=1),
        max_requests=reader.integer(NodeKey.MAX_REQUESTS, minimum=1),
        drain_grace_ns=reader.integer(NodeKey.DRAIN_GRACE_NS),
    )


def _read_object(parent: dict[str, Any], key: str) -> dict[str, Any]:
    value = parent.get(key)
    if not isinstance(value, dict):
        raise ConfigError(f"configuration key {key} is not a JSON object")
    return value


def _read_address(
    environment: Mapping[str, str], variable: str, document: dict[str, Any], key: str
) -> tuple[str, int]:
    name, text = (variable, environment[variable]) if variable in environment else (key, document.get(key))
    try:
        return parse_address(text)
    except EndpointListError:
        raise ConfigError(f"address in {name} is not a numeric host:port: {format_for_error(text)}") from None


def _read_seed(document: dict[str, Any]) -> int:
    seed = document.get("seed")
    try:
        return int(seed, 16) if isinstance(seed, str) else int(seed)  # type: ignore[arg-type]
    except (TypeError, ValueError, OverflowError):
        raise ConfigError(
            f"configuration key seed cannot be read as an integer: {format_for_error(seed)}"
        ) from None


def _read_max_descriptors(document: dict[str, Any]) -> int:
    sockets = _read_object(document, "limits").get("sockets")
    if isinstance(sockets, int) and MIN_DESCRIPTOR_COUNT <= sockets <= MAX_DESCRIPTOR_COUNT:
        return sockets
    raise ConfigError(
        "configuration key limits.sockets is not an integer from "
        f"{MIN_DESCRIPTOR_COUNT} to {MAX_DESCRIPTOR_COUNT}: {format_for_error(sockets)}"
    )


def _read_max_memory_bytes(document: dict[str, Any]) -> int | None:
    memory_mb = _read_object(document, "limits").get("memory_mb")
    if memory_mb is None:
        return None
    if isinstance(memory_mb, int | float) and 0 < memory_mb <= MAX_MEMORY_MB:
        return int(memory_mb * BYTES_PER_MB)
    raise ConfigError(
        "configuration key limits.memory_mb is not a positive number up to "
        f"{MAX_MEMORY_MB}: {format_for_error(memory_mb)}"
    )


def _read_cached_endpoints(document: dict[str, Any]) -> DiscoveryUpdate:
    try:
        return parse_update(document.get("known"))
    except EndpointListError as error:
        raise ConfigError(f"configuration key known is not a valid endpoint list: {error}") from None
    except RecursionError:
        raise ConfigError(
            "configuration key known has too many nesting levels for an endpoint list"
        ) from None


def _read_max_deadline_ns(reader: SettingsReader, path: str) -> int:
    return reader.integer(f"{path}.{RequestClassKey.MAX_DEADLINE_NS}", minimum=1)


def _read_entry_names(tree: dict[str, Any], key: str) -> list[str]:
    """Return the names of the entries of a list setting.

    The names are read from the JSON tree, as the flat form would not keep spaces and commas in a name.
    """
    entries = tree.get(key) or []
    if not isinstance(entries, list):
        raise ConfigError(f"settings: {key} is not a list")
    if not all(isinstance(entry, dict) and isinstance(entry.get(ENTRY_NAME_KEY), str) for entry in entries):
        raise ConfigError(f"settings: {key} has an entry whose {ENTRY_NAME_KEY} is missing or is not text")
    return [entry[ENTRY_NAME_KEY] for entry in entries]


def _read_encoded_indices(tree: dict[str, Any], key: str) -> dict[bytes, int]:
    names = _read_entry_names(tree, key)
    return {_encode_name(name, key): index for index, name in enumerate(names)}


def _encode_name(name: str, key: str) -> bytes:
    try:
        return name.encode()
    except UnicodeEncodeError:
        raise ConfigError(
            f"settings: {key} has a name that is not valid text: {format_for_error(name)}"
        ) from None


def _read_name_indices(tree: dict[str, Any], key: str) -> dict[str, int]:
    names = tree.get(key)
    if not isinstance(names, list):
        raise ConfigError(f"settings: {key} is not a list")
    return {str(name): index for index, name in enumerate(names)}
