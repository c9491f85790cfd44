"""Reads the node's configuration from its environment and its configuration file.

`BALANCER_CONFIG` is the path of the file, a JSON object with these keys:

| key | field of `Config` |
| --- | --- |
| `listen` | `listen_address`; the variable `BALANCER_LISTEN` goes before it |
| `discovery` | `discovery_address`; the variable `BALANCER_DISCOVERY` goes before it at the start |
| `seed` | `seed`, a number or hexadecimal text |
| `limits.sockets` | `max_descriptors` |
| `known` | `cached_endpoints`, in the form of `moleport.config.endpoints` |
| `settings` | all others; the words are in `moleport.config.protocol_keys` |
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from moleport.config.endpoints import DiscoveryUpdate, EndpointListError, parse_address, parse_update
from moleport.config.protocol_keys import ENTRY_NAME_KEY, NodeKey, RequestClassKey, SettingKey
from moleport.config.settings import SettingsError, SettingsReader, flatten, parse_settings, shown
from moleport.policy import interface as api

CONFIG_VARIABLE = "BALANCER_CONFIG"
LISTEN_VARIABLE = "BALANCER_LISTEN"
DISCOVERY_VARIABLE = "BALANCER_DISCOVERY"

MIN_DESCRIPTOR_COUNT = 96
"""With fewer, nothing is left for clients and endpoints beside the node's own descriptors."""
MAX_DESCRIPTOR_COUNT = 1 << 30
"""Linux allows no more for a process."""


class ConfigError(Exception):
    """The configuration can't be used; the text names the key or the variable at fault."""


@dataclass(slots=True, frozen=True)
class Config:
    """The node's configuration, checked. The indices are those that the decision module uses."""

    listen_address: tuple[str, int]
    """Host and port."""
    discovery_address: tuple[str, int]
    """Host and port."""
    seed: int
    max_descriptors: int
    """File descriptors that the process may use."""
    cached_endpoints: DiscoveryUpdate
    """The endpoint list as the platform last had it; it may be stale."""
    policy_settings: api.Settings
    class_indices: dict[bytes, int]
    """Index of each request class by its name in requests."""
    max_deadlines_ns: tuple[int, ...]
    """The longest deadline of a request, by class index."""
    tenant_indices: dict[bytes, int]
    """Index of each tenant by its name in requests."""
    zone_indices: dict[str, int]
    hardware_type_indices: dict[str, int]
    load_report_wire_names: tuple[bytes, ...]
    """Names of the figures in an endpoint's load report, as they stand in responses."""
    connect_timeout_ns: int
    idle_timeout_ns: int
    """An endpoint closes a connection that has been idle for this long."""
    max_requests: int
    """Requests that the node may have in flight."""
    drain_grace_ns: int
    """Time after an endpoint begins to drain by which sends to it have to end."""


def load(environment: Mapping[str, str]) -> Config:
    """Read the node's configuration; raises ConfigError."""
    document = _read_file(environment)
    try:
        return _parse(environment, document)
    except (SettingsError, ValueError) as problem:
        raise ConfigError(f"settings: {problem}") from None


def reload(environment: Mapping[str, str]) -> Config:
    """Read the configuration anew in a running process; raises ConfigError.

    The environment is that of the process's start, so the file's discovery address is the newer one.
    """
    return load({name: text for name, text in environment.items() if name != DISCOVERY_VARIABLE})


def _read_file(environment: Mapping[str, str]) -> dict[str, Any]:
    path = environment.get(CONFIG_VARIABLE)
    if not path:
        raise ConfigError(f"{CONFIG_VARIABLE} is not set")
    try:
        with open(path, encoding="utf-8") as file:
            document = json.load(file)
    except OSError as problem:
        raise ConfigError(f"{CONFIG_VARIABLE} can't be read: {problem.strerror}") from None
    except (ValueError, RecursionError):  # the latter for text that is nested thousands deep
        raise ConfigError(f"{CONFIG_VARIABLE} is no JSON text") from None
    if not isinstance(document, dict):
        raise ConfigError(f"{CONFIG_VARIABLE} holds no JSON object")
    return document


def _parse(environment: Mapping[str, str], document: dict[str, Any]) -> Config:
    tree = _object(document, "settings")
    values = dict(flatten(tree))
    reader = SettingsReader(values)
    return Config(
        policy_settings=parse_settings(values),
        listen_address=_address(environment, LISTEN_VARIABLE, document, "listen"),
        discovery_address=_address(environment, DISCOVERY_VARIABLE, document, "discovery"),
        seed=_seed(document),
        max_descriptors=_max_descriptors(document),
        cached_endpoints=_cached_endpoints(document),
        class_indices=_encoded_indices(tree, SettingKey.CLASSES),
        max_deadlines_ns=reader.entries(SettingKey.CLASSES, _max_deadline_ns),
        tenant_indices=_encoded_indices(tree, SettingKey.TENANTS),
        zone_indices=_name_indices(tree, NodeKey.ZONES),
        hardware_type_indices=_name_indices(tree, NodeKey.HARDWARE_TYPES),
        load_report_wire_names=tuple(
            _encoded(word, SettingKey.LOAD_REPORT_FIELDS)
            for word in reader.words(SettingKey.LOAD_REPORT_FIELDS)
        ),
        connect_timeout_ns=reader.integer(NodeKey.CONNECT_TIMEOUT_NS, minimum=1),
        idle_timeout_ns=reader.integer(SettingKey.IDLE_TIMEOUT_NS, minimum=1),
        max_requests=reader.integer(NodeKey.MAX_REQUESTS, minimum=1),
        drain_grace_ns=reader.integer(NodeKey.DRAIN_GRACE_NS),
    )


def _object(holder: dict[str, Any], key: str) -> dict[str, Any]:
    value = holder.get(key)
    if not isinstance(value, dict):
        raise ConfigError(f"{key} is no object")
    return value


def _address(
    environment: Mapping[str, str], variable: str, document: dict[str, Any], key: str
) -> tuple[str, int]:
    name, text = (variable, environment[variable]) if variable in environment else (key, document.get(key))
    try:
        return parse_address(text)
    except EndpointListError:
        raise ConfigError(f"{name} is no address: {shown(text)}") from None


def _seed(document: dict[str, Any]) -> int:
    seed = document.get("seed")
    try:
        return int(seed, 16) if isinstance(seed, str) else int(seed)  # type: ignore[arg-type]
    except (TypeError, ValueError, OverflowError):
        raise ConfigError(f"seed is unreadable: {shown(seed)}") from None


def _max_descriptors(document: dict[str, Any]) -> int:
    sockets = _object(document, "limits").get("sockets")
    if isinstance(sockets, int) and MIN_DESCRIPTOR_COUNT <= sockets <= MAX_DESCRIPTOR_COUNT:
        return sockets
    raise ConfigError(
        f"limits.sockets is no number from {MIN_DESCRIPTOR_COUNT} to {MAX_DESCRIPTOR_COUNT}: {shown(sockets)}"
    )


def _cached_endpoints(document: dict[str, Any]) -> DiscoveryUpdate:
    try:
        return parse_update(document.get("known"))
    except EndpointListError as problem:
        raise ConfigError(f"known is unreadable: {problem}") from None
    except RecursionError:
        raise ConfigError("known is unreadable: it is nested too deeply") from None


def _max_deadline_ns(reader: SettingsReader, path: str) -> int:
    return reader.integer(f"{path}.{RequestClassKey.MAX_DEADLINE_NS}", minimum=1)


def _entry_names(tree: dict[str, Any], key: str) -> list[str]:
    """Return the names in a list of objects; the flat form would not keep their spaces and commas."""
    entries = tree.get(key) or []
    if not isinstance(entries, list):
        raise ConfigError(f"settings: {key} is no list")
    if not all(isinstance(entry, dict) and isinstance(entry.get(ENTRY_NAME_KEY), str) for entry in entries):
        raise ConfigError(f"settings: {key} has an entry without {ENTRY_NAME_KEY}")
    return [entry[ENTRY_NAME_KEY] for entry in entries]


def _encoded_indices(tree: dict[str, Any], key: str) -> dict[bytes, int]:
    names = _entry_names(tree, key)
    return {_encoded(name, key): index for index, name in enumerate(names)}


def _encoded(name: str, key: str) -> bytes:
    try:
        return name.encode()
    except UnicodeEncodeError:
        raise ConfigError(f"settings: {key} has a name that is no text: {shown(name)}") from None


def _name_indices(tree: dict[str, Any], key: str) -> dict[str, int]:
    names = tree.get(key)
    if not isinstance(names, list):
        raise ConfigError(f"settings: {key} is no list")
    return {str(name): index for index, name in enumerate(names)}
