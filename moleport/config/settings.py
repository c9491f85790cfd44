"""Reads the decision module's settings from a flat mapping of paths to text, for the adapter and the node.

The paths and the words of their values are in `moleport.config.protocol_keys`.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from math import inf
from typing import TypeVar

from moleport.config import protocol_keys as protocol
from moleport.config.protocol_keys import RequestClassKey, SettingKey, TenantKey
from moleport.policy import interface as api

MAX_DEPTH = 64  # objects and lists within each other
MAX_INTEGER = (1 << 63) - 1  # what the simulator's wire can hold
MAX_SHOWN_CHARACTERS = 100  # of a value or path in an error

_T = TypeVar("_T")
_Default = TypeVar("_Default")


class SettingsError(Exception):
    """A setting is missing, unreadable or out of range; the text names it by its path in the protocol."""


def flatten(tree: object, path: str = "", depth: int = 0) -> Iterator[tuple[str, str]]:
    """Yield the paths and values of a settings object in the text form of the simulator's protocol.

    Lists of plain values are joined with commas; lists of objects have a count and a path for each index.
    Raises SettingsError for values that are nested more than MAX_DEPTH deep.
    """
    if depth > MAX_DEPTH:
        raise SettingsError(f"setting {path:.{MAX_SHOWN_CHARACTERS}} is nested too deeply")
    if isinstance(tree, dict):
        for name, value in tree.items():
            yield from flatten(value, f"{path}.{name}" if path else str(name), depth + 1)
    elif isinstance(tree, list) and tree and isinstance(tree[0], dict):
        yield f"{path}.count", str(len(tree))
        for index, value in enumerate(tree):
            yield from flatten(value, f"{path}.{index}", depth + 1)
    elif isinstance(tree, list):
        try:
            yield path, ",".join(str(value) for value in tree)
        except RecursionError:
            raise SettingsError(f"setting {path} is nested too deeply") from None
    elif isinstance(tree, bool):
        yield path, str(tree).lower()
    else:
        yield path, str(tree)


class SettingsReader:
    """Checked access to flat settings. Each method raises SettingsError if the setting can't be read."""

    def __init__(self, values: Mapping[str, str]) -> None:
        """Read from a mapping of paths to text."""
        self._values = values

    def has(self, path: str) -> bool:
        """Return whether the setting is present."""
        return path in self._values

    def optional(self, path: str, read: Callable[[str], _T], default: _Default) -> _T | _Default:
        """Return what the method `read` makes of the setting, or the default if it is not present."""
        return read(path) if path in self._values else default

    def text(self, path: str) -> str:
        """Return the setting as it stands."""
        if path not in self._values:
            raise SettingsError(f"required setting {path} is missing")
        return self._values[path]

    def integer(self, path: str, minimum: int = 0) -> int:
        """Return an integer from the minimum to MAX_INTEGER."""
        value = self._parse(path, int)
        if value < minimum:
            raise SettingsError(f"setting {path} is below {minimum}: {shown(value)}")
        if value > MAX_INTEGER:
            raise SettingsError(f"setting {path} is above {MAX_INTEGER}: {shown(value)}")
        return value

    def number(self, path: str) -> float:
        """Return a finite number of at least 0."""
        return self._parse(path, _parse_number)

    def one_of(self, path: str, meanings: Mapping[str, _T]) -> _T:
        """Return the meaning of a setting that has to be one of these words."""
        text = self.text(path)
        if text not in meanings:
            raise SettingsError(f"setting {path} is unreadable: {shown(text)}")
        return meanings[text]

    def flag(self, path: str) -> bool:
        """Return a boolean."""
        return self.one_of(path, protocol.FLAGS)

    def words(self, path: str) -> tuple[str, ...]:
        """Return the words of a comma-separated setting, without empty ones."""
        return tuple(word for word in self.text(path).split(",") if word)

    def entries(self, path: str, read: Callable[[SettingsReader, str], _T]) -> tuple[_T, ...]:
        """Return what `read` makes of each entry of a list setting; it is given the reader and the path."""
        return tuple(read(self, f"{path}.{index}") for index in range(self.integer(f"{path}.count")))

    def _parse(self, path: str, parse: Callable[[str], _T]) -> _T:
        text = self.text(path)
        try:
            return parse(text)
        except (ValueError, OverflowError):
            raise SettingsError(f"setting {path} is unreadable: {shown(text)}") from None


def shown(value: object) -> str:
    """Return a value as it stands in an error: short, and without what can't be encoded."""
    return ascii(value)[:MAX_SHOWN_CHARACTERS]


def parse_settings(values: Mapping[str, str]) -> api.Settings:
    """Return the decision module's settings from a mapping of paths to text; raises SettingsError."""
    reader = SettingsReader(values)
    try:
        return _parse_settings(reader)
    except ValueError as problem:
        raise _out_of_range(problem, SettingKey) from None


def _parse_settings(reader: SettingsReader) -> api.Settings:
    return api.Settings(
        classes=reader.entries(SettingKey.CLASSES, _parse_request_class),
        tenants=_parse_tenants(reader),
        node_count=reader.integer(SettingKey.NODE_COUNT, minimum=1),
        discovery_mode=reader.one_of(SettingKey.DISCOVERY_MODE, protocol.DISCOVERY_MODES),
        poll_interval_ns=reader.integer(SettingKey.POLL_INTERVAL_NS),
        slow_start_initial_ratio=reader.number(SettingKey.SLOW_START_INITIAL_RATIO),
        slow_start_duration_ns=reader.integer(SettingKey.SLOW_START_DURATION_NS),
        max_attempts=reader.integer(SettingKey.MAX_ATTEMPTS, minimum=1),
        max_retry_after_ns=reader.integer(SettingKey.MAX_RETRY_AFTER_NS),
        sends_retry_after=reader.flag(SettingKey.SENDS_RETRY_AFTER),
        weight_by_work=reader.one_of(SettingKey.WEIGHT_BY_WORK, protocol.WEIGHT_BY_WORK_VALUES),
        load_report_fields=tuple(
            protocol.LOAD_REPORT_FIELDS.get(word, word)
            for word in reader.words(SettingKey.LOAD_REPORT_FIELDS)
        ),
        idle_timeout_ns=reader.integer(SettingKey.IDLE_TIMEOUT_NS),
        key_cooldown_ns=reader.optional(SettingKey.KEY_COOLDOWN_NS, reader.integer, 0),
        zone=reader.optional(SettingKey.ZONE, reader.integer, None),
        node_index=reader.optional(SettingKey.NODE_INDEX, reader.integer, None),
        overload_multiple=reader.optional(
            SettingKey.OVERLOAD_MULTIPLE, reader.number, api.DEFAULT_OVERLOAD_MULTIPLE
        ),
        overload_window_ns=reader.optional(
            SettingKey.OVERLOAD_WINDOW_NS, reader.integer, api.DEFAULT_OVERLOAD_WINDOW_NS
        ),
    )


def _parse_request_class(reader: SettingsReader, path: str) -> api.RequestClass:
    try:
        return api.RequestClass(
            latency_objective_ns=reader.integer(f"{path}.{RequestClassKey.LATENCY_OBJECTIVE_NS}", minimum=1),
            priority_weight=reader.number(f"{path}.{RequestClassKey.PRIORITY_WEIGHT}"),
            late_weight_ratio=reader.number(f"{path}.{RequestClassKey.LATE_WEIGHT_RATIO}"),
            idempotency=reader.one_of(f"{path}.{RequestClassKey.IDEMPOTENCY}", protocol.IDEMPOTENCY_VALUES),
            deduplication_scope=reader.one_of(
                f"{path}.{RequestClassKey.DEDUPLICATION_SCOPE}", protocol.DEDUPLICATION_SCOPES
            ),
            deduplication_window_ns=reader.integer(f"{path}.{RequestClassKey.DEDUPLICATION_WINDOW_NS}"),
            ordered_by_key=reader.optional(f"{path}.{RequestClassKey.ORDERED_BY_KEY}", reader.flag, False),
        )
    except ValueError as problem:
        raise _out_of_range(problem, RequestClassKey, f"{path}.") from None


def _parse_tenants(reader: SettingsReader) -> tuple[api.Tenant, ...]:
    if not reader.has(f"{SettingKey.TENANTS}.count"):
        return ()
    return reader.entries(SettingKey.TENANTS, _parse_tenant)


def _parse_tenant(reader: SettingsReader, path: str) -> api.Tenant:
    try:
        return api.Tenant(quota_ratio=reader.number(f"{path}.{TenantKey.QUOTA_RATIO}"))
    except ValueError as problem:
        raise _out_of_range(problem, TenantKey, f"{path}.") from None


def _parse_number(text: str) -> float:
    value = float(text)
    if not 0.0 <= value < inf:
        raise ValueError(text)
    return value


def _out_of_range(problem: ValueError, keys: type[object], prefix: str = "") -> SettingsError:
    """Add the protocol's path to an error of the decision module, whose text begins with the field's name."""
    field, _, statement = str(problem).partition(" ")
    key = getattr(keys, field.upper(), None)
    if key is None:
        return SettingsError(str(problem))
    return SettingsError(f"{prefix}{key} ({field}) {statement}")
