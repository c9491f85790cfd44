"""Known failures: a test that fails for a real fault is listed in KNOWN-RED.txt until the fault is mended.

A listed test has to fail (of one with parameters, one case at least): a test that passes has to leave the
list, or the run fails. At most three may be on it.
"""

from __future__ import annotations

from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"
KNOWN_RED_MOST = 3  # so many faults may wait for their mend
SEPARATOR = " | "  # test, cause, issue

_outcomes: dict[str, set[bool]] = {}  # of the listed tests that ran: whether they failed


def read_known_red(path: Path = KNOWN_RED) -> dict[str, tuple[str, str]]:
    """Cause and issue by test. Raises ValueError for a malformed line, or for too many."""
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


def _test_of(nodeid: str) -> str:
    return nodeid.split("[")[0]


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    known = read_known_red()
    for item in items:
        if _test_of(item.nodeid) in known:
            cause, issue = known[_test_of(item.nodeid)]
            item.add_marker(pytest.mark.xfail(reason=f"{cause} ({issue})", strict=False))
    found = {_test_of(item.nodeid) for item in items}
    asked_for_all = list(config.args) == config.getini("testpaths") and not config.option.keyword
    if asked_for_all and (missing := known.keys() - found):
        raise pytest.UsageError(f"KNOWN-RED.txt lists what is no test: {sorted(missing)}")


def pytest_runtest_logreport(report: pytest.TestReport) -> None:
    if report.when == "call" and hasattr(report, "wasxfail"):
        _outcomes.setdefault(_test_of(report.nodeid), set()).add(report.skipped)


def pytest_sessionfinish(session: pytest.Session, exitstatus: int) -> None:
    if exitstatus == pytest.ExitCode.OK and any(True not in failed for failed in _outcomes.values()):
        session.exitstatus = pytest.ExitCode.TESTS_FAILED


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    for test, (cause, issue) in read_known_red().items():
        terminalreporter.write_line(f"KNOWN RED: {test}: {cause} ({issue})")
    for test, failed in _outcomes.items():
        if True not in failed:
            terminalreporter.write_line(f"FAILED {test} passes: take it off KNOWN-RED.txt")
