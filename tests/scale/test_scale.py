"""The runner of the capacity measurements: its figures, slopes and failures."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from scale import __main__ as runner
from scale.figures import (
    Figure,
    FigureError,
    fit_exponent,
    fit_line,
    format_markdown,
    format_table,
    median_and_spread,
    parse_figure,
)

ENTRY = {
    "name": "tick",
    "size": {"servers": 60, "nodes": 3},
    "value": 2.5,
    "unit": "ms",
    "bound": 3,
    "why": "by hand",
}


def test_a_line_is_found_with_its_spread() -> None:
    line = fit_line((x, 3 + 2 * x) for x in (1, 10, 100, 1000))
    assert (line.slope, line.intercept) == (pytest.approx(2), pytest.approx(3))
    assert line.residual == pytest.approx(0, abs=1e-9)
    assert line.value_at(7200) == pytest.approx(14403)
    noisy = fit_line([(0, 1), (1, 0), (2, 3), (3, 2)])
    assert (noisy.slope, noisy.slope_error) == (
        pytest.approx(0.6),
        pytest.approx(0.4**0.5 * 0.894427191, rel=1e-6),
    )


def test_a_slope_of_three_points_is_rejected() -> None:
    with pytest.raises(FigureError, match="4 points"):
        fit_line([(1, 1), (2, 2), (3, 3)])
    with pytest.raises(FigureError, match="different"):
        fit_line([(1, 1), (1, 2), (1, 3), (1, 4)])


def test_quadratic_growth_has_the_exponent_two() -> None:
    assert fit_exponent((x, 5 * x * x) for x in (10, 100, 400, 1600)).slope == pytest.approx(2)


def test_repeated_runs_give_their_median_and_half_their_range() -> None:
    values = iter((5.0, 1.0, 2.0))
    assert median_and_spread(lambda: next(values), 3) == (2.0, 2.0)


def test_a_figure_above_its_bound_is_not_met() -> None:
    assert parse_figure("fleet", ENTRY).is_met() is True
    assert parse_figure("fleet", {**ENTRY, "value": 3.5}).is_met() is False
    assert parse_figure("fleet", {**ENTRY, "bound": None}).is_met() is None
    assert parse_figure("fleet", ENTRY).size == "servers=60 nodes=3"


@pytest.mark.parametrize(
    "entry", [None, {"name": "tick"}, {**ENTRY, "value": "much"}, {**ENTRY, "value": float("nan")}]
)
def test_a_malformed_figure_is_rejected(entry: object) -> None:
    with pytest.raises(FigureError, match="fleet"):
        parse_figure("fleet", entry)


def test_the_text_table_and_the_markdown_table_show_a_missed_bound() -> None:
    missed = parse_figure("fleet", {**ENTRY, "value": 3.5, "spread": 0.25})
    assert format_table([missed]).splitlines()[2].split()[-5:] == ["±0.25", "ms", "3.000", "NOT", "MET"]
    assert "| 3.500 ±0.25 ms | 3.000 NOT MET | `python -m scale --part fleet` |" in format_markdown([missed])


def fake_run_part(*found: Figure) -> object:
    """Return a replacement of `run_part` that returns these figures and 1 MiB of memory."""
    return lambda name, smoke, seconds: (list(found), 1 << 20)


def test_the_exit_code_is_1_if_a_bound_is_not_met(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "figures.json"
    arguments = ["--part", "fleet", "--json", str(path), "--rows", str(tmp_path / "rows.md")]
    monkeypatch.setattr(runner, "run_part", fake_run_part(parse_figure("fleet", ENTRY)))
    assert runner.main(arguments) == 0
    monkeypatch.setattr(runner, "run_part", fake_run_part(parse_figure("fleet", {**ENTRY, "value": 4})))
    assert runner.main(arguments) == 1
    assert "NOT MET: fleet: tick at servers=60 nodes=3: 4.000 ms, bound 3.000" in capsys.readouterr().out
    assert json.loads(path.read_text())["figures"][0]["value"] == 4.0


def test_the_exit_code_is_1_if_a_part_crashes(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    # The child process does not know this part, and exits with an error.
    monkeypatch.setitem(runner.PART_TIMEOUT_SECONDS, "figures", 20.0)
    path = tmp_path / "figures.json"
    assert runner.main(["--part", "figures", "--smoke", "--json", str(path)]) == 1
    assert "FAILED: part figures ended with code" in capsys.readouterr().out
    assert json.loads(path.read_text())["failures"] == ["part figures ended with code 2"]


def test_a_part_that_takes_too_long_is_killed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(runner, "POLL_INTERVAL_SECONDS", 0.01)
    with pytest.raises(runner.PartError, match="part fleet took more than 0 s"):
        runner.run_part("fleet", True, 0.0)


def test_a_part_that_uses_too_much_memory_is_killed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(runner, "POLL_INTERVAL_SECONDS", 0.01)
    monkeypatch.setattr(runner, "MAX_MEMORY_BYTES", 0)
    with pytest.raises(runner.PartError, match="part fleet held"):
        runner.run_part("fleet", True, 20.0)


def test_a_bound_that_needs_a_missing_mechanism_fails_the_run_unless_the_capacity_page_names_it(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """A figure above its bound fails the run, except for a missing mechanism that the page documents."""
    page = tmp_path / "CAPACITY.md"
    monkeypatch.setattr(runner, "CAPACITY_PAGE", page)
    above_bound = {**ENTRY, "value": 4, "mechanism": "missing: a faster tick"}
    monkeypatch.setattr(runner, "run_part", fake_run_part(parse_figure("fleet", above_bound)))
    page.write_text("# Capacity\n\n1. *A faster tick*, which breaks at 60 servers.\n")
    assert runner.main(["--part", "fleet"]) == 0
    assert "MISSING: fleet: tick at servers=60 nodes=3: 4.000 ms, bound 3.000" in capsys.readouterr().out
    page.write_text("# Capacity\n")
    assert runner.main(["--part", "fleet"]) == 1
    assert "NOT MET: fleet: tick" in capsys.readouterr().out
    page.write_text("a faster tick")
    monkeypatch.setattr(runner, "run_part", fake_run_part(parse_figure("fleet", {**ENTRY, "value": 4})))
    assert runner.main(["--part", "fleet"]) == 1


def test_a_simulated_fleet_is_measured_at_the_smallest_size(tmp_path: Path) -> None:
    path = tmp_path / "figures.json"
    assert runner.main(["--part", "fleet", "--smoke", "--json", str(path)]) == 0
    found = {one["name"]: one["value"] for one in json.loads(path.read_text())["figures"]}
    assert found["servers that met no request"] == 0.0
    assert found["load for its weight, most of a server to the mean"] >= 1.0
