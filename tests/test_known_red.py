"""The list of known failures: its form, and that a test that passes has to leave it."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest
from conftest import read_known_red

CONFTEST = Path(__file__).parent / "conftest.py"
TESTS = """
import pytest

@pytest.mark.parametrize("case", [0, 1])
def test_red(case):
    {body}

def test_other():
    pass
"""


@pytest.mark.parametrize("text", ["test", "a | b", "a | b |  ", "a | b | c\n" * 2 + "d | e | f | g"])
def test_a_line_without_test_cause_and_issue_is_an_error_that_names_it(text: str, tmp_path: Path) -> None:
    path = tmp_path / "KNOWN-RED.txt"
    path.write_text(text)
    with pytest.raises(ValueError, match=r"line [13]"):
        read_known_red(path)


def test_three_may_wait_and_no_more(tmp_path: Path) -> None:
    path = tmp_path / "KNOWN-RED.txt"
    path.write_text("".join(f"test_{number} | cause | issue\n" for number in range(3)))
    assert len(read_known_red(path)) == 3
    path.write_text("".join(f"test_{number} | cause | issue\n" for number in range(4)))
    with pytest.raises(ValueError, match="over 3"):
        read_known_red(path)


@pytest.mark.parametrize(
    ("body", "green"),
    [
        ("assert case is None", True),
        ("assert case", False),  # one of its cases passes
        ("assert True", False),
        ("raise RuntimeError", False),  # it breaks, and shows nothing
    ],
)
def test_only_a_listed_test_that_fails_lets_the_run_pass(body: str, green: bool, tmp_path: Path) -> None:
    tests = tmp_path / "tests"
    tests.mkdir()
    (tests / "conftest.py").write_text(CONFTEST.read_text())
    (tests / "test_it.py").write_text(TESTS.format(body=body))
    (tmp_path / "KNOWN-RED.txt").write_text("tests/test_it.py::test_red | a cause | an issue\n")
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", "tests"]
    run = subprocess.run(command, cwd=tmp_path, capture_output=True, text=True, check=False)
    assert (run.returncode == 0) is green
    assert "KNOWN RED: tests/test_it.py::test_red: a cause (an issue)" in run.stdout
