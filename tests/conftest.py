"""Known failures: a test that fails for a real fault is listed in KNOWN-RED.txt until the fault is mended.

A listed test has to fail, by an assertion or a time-out and in each of its cases: one that passes, or breaks
in another way, fails the run. At most three may be listed.
"""

from __future__ import annotations

from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"
KNOWN_RED_MOST = 3  # so many faults may wait for their mend
SEPARATOR = " | "  # test, cause, issue
FAILURES = (AssertionError, TimeoutError)


def read_known_red(path: Path = KNOWN_RED) -> dict[str, tuple[str, str]]:
    """Cause and issue by test: its id, or that of one of its cases. Raises ValueError for a malformed line,
    or for too many."""
    lines = path.read_text(encoding="utf-8").splitlines() if path.exists() else []
    known: dict[str, tuple[str, str]] = {}
    for number, line in enumerate(lines, 1):
        parts = line.split(SEPARATOR)
        if len(parts) != 3 or not all(part.strip() for part in parts):
            raise ValueError(f"{path.name}, line {number}: want 'test{SEPARATOR}cause{SEPARATOR}issue'")
        known[parts[0].strip()] = (parts[1].strip(), parts[2].strip())
    if len(known) > KNOWN_RED_MOST:
        raise ValueError(f"{path.name} lists {len(known)} tests, over {KNOWN_RED_MOST}")
    return known


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    known = read_known_red()
    found = set()
    for item in items:
        for name in {item.nodeid, item.nodeid.split("[")[0]} & known.keys():
            found.add(name)
            reason = "{} ({})".format(*known[name])
            item.add_marker(pytest.mark.xfail(reason=reason, strict=True, raises=FAILURES))
    asked_for_all = list(config.args) == config.getini("testpaths") and not config.option.keyword
    if asked_for_all and (missing := known.keys() - found):
        raise pytest.UsageError(f"KNOWN-RED.txt lists what is no test: {sorted(missing)}")


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    for test, (cause, issue) in read_known_red().items():
        terminalreporter.write_line(f"KNOWN RED: {test}: {cause} ({issue})")
