"""Figures of the capacity measurements with their bounds: statistics, parsing, tables and JSON."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import asdict, dataclass
from itertools import groupby
from math import isfinite, isnan
from pathlib import Path
from typing import Any

import numpy as np

MIN_SLOPE_POINT_COUNT = 4


class FigureError(ValueError):
    """A figure is malformed, or points don't determine a line; the message gives the reason."""


@dataclass(frozen=True, slots=True)
class Figure:
    """A measured or calculated value with its bound; the attributes are keys of the JSON file."""

    part: str
    name: str
    size: str  # of what was measured, such as "servers=7200 nodes=660"
    value: float
    unit: str
    bound: float | None = None  # the highest allowed value
    why: str = ""  # how it was measured, and for what purpose
    spread: float | None = None  # in the same unit: half of the range of repeated runs, or one sigma
    calculated: bool = False  # whether it was calculated from measured figures
    mechanism: str = ""  # that keeps the bound, with its file; "missing: " and its name if there is none

    def is_met(self) -> bool | None:
        """Return whether the value is within its bound; None without a bound."""
        return None if self.bound is None else self.value <= self.bound

    def missing(self) -> str:
        """Return the name of the missing mechanism without which the bound can't be met, or ""."""
        kind, _, name = self.mechanism.partition(": ")
        return name if kind == "missing" else ""


@dataclass(frozen=True, slots=True)
class Fit:
    """A least-squares line, y = intercept + slope * x."""

    slope: float
    intercept: float
    slope_error: float  # standard error, one sigma
    residual: float  # root mean square in the unit of y, for points - 2 degrees of freedom
    points: int  # number of points

    def value_at(self, x: float) -> float:
        """Return the line's y at x."""
        return self.intercept + self.slope * x


def fit_line(points: Iterable[tuple[float, float]]) -> Fit:
    """Return the least-squares line of (x, y) points.

    Raises FigureError if there are fewer than `MIN_SLOPE_POINT_COUNT` points, or all have the same x.
    """
    pairs = np.array(list(points), dtype=float)
    if len(pairs) < MIN_SLOPE_POINT_COUNT:
        raise FigureError(f"a slope needs {MIN_SLOPE_POINT_COUNT} points, not {len(pairs)}")
    x, y = pairs[:, 0], pairs[:, 1]
    x_offsets = x - x.mean()
    if not x_offsets.any():
        raise FigureError("a slope needs different sizes")
    slope = float((x_offsets * y).sum() / (x_offsets**2).sum())
    intercept = float(y.mean() - slope * x.mean())
    residual = float(np.sqrt(((y - intercept - slope * x) ** 2).sum() / (len(pairs) - 2)))
    return Fit(slope, intercept, residual / float(np.sqrt((x_offsets**2).sum())), residual, len(pairs))


def fit_exponent(points: Iterable[tuple[float, float]]) -> Fit:
    """Return the line of log(y) over log(x).

    Its slope is the exponent of the growth of y with x, 1 if y is proportional to x. Raises as `fit_line`.
    """
    return fit_line((float(np.log(x)), float(np.log(y))) for x, y in points)


def median_and_spread(run: Callable[[], float], count: int) -> tuple[float, float]:
    """Call `run` repeatedly; return the median of its values, and half of their range."""
    values = [run() for _ in range(count)]
    return float(np.median(values)), (max(values) - min(values)) / 2


def size_text(size: object) -> str:
    """Return a size as text, a mapping as "name=value" pairs."""
    if isinstance(size, Mapping):
        return " ".join(f"{name}={value}" for name, value in size.items())
    return str(size)


def parse_figure(part: str, entry: object) -> Figure:
    """Convert an entry that a part returned to a Figure.

    Raises FigureError if the entry is not a mapping, lacks a required key, or has an invalid number.
    """
    if not isinstance(entry, Mapping):
        raise FigureError(f"{part}: a figure is not a mapping: {entry!r}")
    if missing := {"name", "size", "value", "unit"} - entry.keys():
        raise FigureError(f"{part}: a figure lacks {', '.join(sorted(missing))}: {dict(entry)!r}")
    numbers: dict[str, float | None] = {}
    for name in ("value", "bound", "spread"):
        given = entry.get(name)
        try:
            numbers[name] = None if given is None else float(given)
        except (TypeError, ValueError):
            raise FigureError(f"{part}: {entry['name']}: {name} is not a number: {given!r}") from None
    value, bound, spread = numbers["value"], numbers["bound"], numbers["spread"]
    if value is None or not isfinite(value) or (bound is not None and isnan(bound)):
        raise FigureError(f"{part}: {entry['name']}: invalid value {value!r} or bound {bound!r}")
    return Figure(
        part,
        str(entry["name"]),
        size_text(entry["size"]),
        value,
        str(entry["unit"]),
        bound,
        str(entry.get("why", "")),
        spread,
        bool(entry.get("calculated")),
        str(entry.get("mechanism", "")),
    )


def format_number(value: float | None) -> str:
    """Return a value with about four significant digits and a separator of thousands; "" for None."""
    if value is None:
        return ""
    if value == 0 or 0.001 <= abs(value) < 1:
        return f"{value:.4g}"
    digits = 0 if abs(value) >= 1000 else 1 if abs(value) >= 100 else 2 if abs(value) >= 10 else 3
    return f"{value:,.{digits}f}" if 1 <= abs(value) < 1e12 else f"{value:.3g}"


def verdict(figure: Figure) -> str:
    """Return "met", "MISSING" (a mechanism) or "NOT MET"; "" without a bound."""
    met = figure.is_met()
    return "" if met is None else "met" if met else "MISSING" if figure.missing() else "NOT MET"


def format_table(figures: Sequence[Figure]) -> str:
    """Return an aligned table of figures and bounds, with a heading for each part.

    The reason of a figure that is not met follows its row.
    """
    head = ("what", "size", "figure", "spread", "unit", "bound", "")
    rows = [
        (
            figure.name + (" (calculated)" if figure.calculated else ""),
            figure.size,
            format_number(figure.value),
            f"±{format_number(figure.spread)}" if figure.spread is not None else "",
            figure.unit,
            format_number(figure.bound),
            verdict(figure),
        )
        for figure in figures
    ]
    widths = [max(len(row[column]) for row in (head, *rows)) for column in range(len(head))]
    right = {2, 3, 5}

    def line(row: Sequence[str]) -> str:
        cells = [
            text.rjust(width) if column in right else text.ljust(width)
            for column, (text, width) in enumerate(zip(row, widths, strict=True))
        ]
        return "  ".join(cells).rstrip()

    lines = []
    for part, group in groupby(zip(figures, rows, strict=True), key=lambda pair: pair[0].part):
        lines += [f"[{part}]", line(head)]
        for figure, row in group:
            lines.append(line(row))
            if figure.is_met() is False and figure.why:
                lines.append(f"    {figure.why}")
        lines.append("")
    return "\n".join(lines)


def format_markdown(figures: Sequence[Figure]) -> str:
    """Return the figures as a Markdown table for docs/CAPACITY.md."""
    lines = ["| what | size of the run | figure | bound | command | mechanism | how |", "|" + " --- |" * 7]
    for figure in figures:
        spread = f" ±{format_number(figure.spread)}" if figure.spread is not None else ""
        bound = f"{format_number(figure.bound)} {verdict(figure)}" if figure.bound is not None else ""
        cells = (
            figure.name,
            figure.size,
            f"{format_number(figure.value)}{spread} {figure.unit}" + ", calculated" * figure.calculated,
            bound,
            f"`python -m scale --part {figure.part}`",
            figure.mechanism,
            figure.why,
        )
        lines.append("| " + " | ".join(cell.replace("|", "/") for cell in cells) + " |")
    return "\n".join(lines)


def write_json(path: Path, figures: Sequence[Figure], failures: Sequence[str], smoke: bool) -> None:
    """Write figures and the messages of failed parts to a JSON file; `smoke` records which sizes were run."""
    document: dict[str, Any] = {
        "smoke": smoke,
        "failures": list(failures),
        "figures": [asdict(figure) for figure in figures],
    }
    path.write_text(json.dumps(document, indent=1) + "\n")
