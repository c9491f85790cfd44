"""Reads the decision module's settings from a flat mapping of paths to text, for the adapter and the node.

`moleport.config.protocol_keys` defines the paths, and the values of settings with a fixed set of values.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from math import inf
from typing import TypeVar

from moleport.config import protocol_keys as protocol
from moleport.config.protocol_keys import RequestClassKey, SettingKey, TenantKey
from moleport.policy import interface as api

MAX_NESTING_LEVELS = 64
"""Highest accepted nesting depth of objects and lists in a settings object."""
MAX_INTEGER = (1 << 63) - 1
"""Highest integer that the simulator's protocol can carry."""
MAX_SHOWN_CHARACTERS = 100
"""Number of characters to which an error message truncates a value or a path."""

_T = TypeVar("_T")
_Default = TypeVar("_Default")


class SettingsError(Exception):
    """Raised for a missing, unreadable or out-of-range setting; the message contains its protocol path."""


def flatten(tree: object, path: str = "", depth: int = 0) -> Iterator[tuple[str, str]]:
    """Yield the paths and values of a settings object, in the text form of the simulator's protocol.

    A list of plain values becomes one comma-separated text. A list of objects becomes a count, and a path for
    each index. Raises SettingsError for a value below more than MAX_NESTING_LEVELS objects and lists.
    """
    if depth > MAX_NESTING_LEVELS:
        raise SettingsError(f"setting {path:.{MAX_SHOWN_CHARACTERS}} has too many nesting levels")
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
            raise SettingsError(f"setting {path} has too many nesting levels") from None
    elif isinstance(tree, bool):
        yield path, str(tree).lower()
    else:
        yield path, str(tree)


class SettingsReader:
    """Typed, validated access to settings in flat form, a mapping from paths to text.

    Each method that returns a value raises SettingsError for a missing, unreadable or out-of-range setting.
    """

    def __init__(self, values: Mapping[str, str]) -> None:
        """Create a reader of a mapping from paths to text."""
        self._values = values

    def has(self, path: str) -> bool:
        """Return whether the settings contain the path."""
        return path in self._values

    def optional(self, path: str, read: Callable[[str], _T], default: _Default) -> _T | _Default:
        """Return `read(path)`, with a method `read` of this reader, or the default for a missing setting."""
        return read(path) if path in self._values else default

    def text(self, path: str) -> str:
        """Return the unparsed text of the setting at a path."""
        if path not in self._values:
            raise SettingsError(f"required setting {path} is missing")
        return self._values[path]

    def integer(self, path: str, minimum: int = 0) -> int:
        """Return the setting at a path as an integer from `minimum` to MAX_INTEGER."""
        value = self._parse(path, int)
        if value < minimum:
            raise SettingsError(f"setting {path} is below {minimum}: {format_for_error(value)}")
        if value > MAX_INTEGER:
            raise SettingsError(f"setting {path} is above {MAX_INTEGER}: {format_for_error(value)}")
        return value

    def number(self, path: str) -> float:
        """Return the setting at a path as a finite number that is not negative."""
        return self._parse(path, _parse_number)

    def one_of(self, path: str, values_by_text: Mapping[str, _T]) -> _T:
        """Return the value of the setting at a path, by a table from valid texts to values."""
        text = self.text(path)
        if text not in values_by_text:
            raise SettingsError(f"setting {path} has an unknown value: {format_for_error(text)}")
        return values_by_text[text]

    def flag(self, path: str) -> bool:
        """Return the setting at a path as a boolean."""
        return self.one_of(path, protocol.FLAGS)

    def comma_separated(self, path: str) -> tuple[str, ...]:
        """Return the items of the comma-separated setting at a path, without empty items."""
        return tuple(item for item in self.text(path).split(",") if item)

    def entries(self, path: str, read: Callable[[SettingsReader, str], _T]) -> tuple[_T, ...]:
        """Return the result of `read` for each entry of a list setting.

        `read` gets this reader and the path of the entry.
        """
        return tuple(read(self, f"{path}.{index}") for index in range(self.integer(f"{path}.count")))

    def _parse(self, path: str, parse: Callable[[str], _T]) -> _T:
        text = self.text(path)
        try:
            return parse(text)
        except (ValueError, OverflowError):
            raise SettingsError(f"setting {path} is not a valid number: {format_for_error(text)}") from None


def format_for_error(value: object) -> str:
    """Return the text of a value for an error message, in ASCII and at most MAX_SHOWN_CHARACTERS long."""
    return ascii(value)[:MAX_SHOWN_CHARACTERS]


def parse_settings(values: Mapping[str, str]) -> api.Settings:
    """Return the decision module's settings from a mapping of paths to text; raises SettingsError."""
    reader = SettingsReader(values)
    try:
        return _parse_settings(reader)
    except ValueError as error:
        raise _with_protocol_path(error, SettingKey) from None


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
            protocol.LOAD_REPORT_FIELDS.get(name, name)
            for name in reader.comma_separated(SettingKey.LOAD_REPORT_FIELDS)
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
    except ValueError as error:
        raise _with_protocol_path(error, RequestClassKey, f"{path}.") from None


def _parse_tenants(reader: SettingsReader) -> tuple[api.Tenant, ...]:
    if not reader.has(f"{SettingKey.TENANTS}.count"):
        return ()
    return reader.entries(SettingKey.TENANTS, _parse_tenant)


def _parse_tenant(reader: SettingsReader, path: str) -> api.Tenant:
    try:
        return api.Tenant(quota_ratio=reader.number(f"{path}.{TenantKey.QUOTA_RATIO}"))
    except ValueError as error:
        raise _with_protocol_path(error, TenantKey, f"{path}.") from None


def _parse_number(text: str) -> float:
    value = float(text)
    if not 0.0 <= value < inf:
        raise ValueError(text)
    return value


def _with_protocol_path(error: ValueError, keys: type[object], prefix: str = "") -> SettingsError:
    """Return an error with the protocol path of the field whose name begins the decision module's error."""
    field, _, statement = str(error).partition(" ")
    key = getattr(keys, field.upper(), None)
    if key is None:
        return SettingsError(str(error))
    return SettingsError(f"{prefix}{key} ({field}) {statement}")
