"""Figures: what a part measured, beside its bound; medians and slopes; rows, JSON, and whether all is met."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import asdict, dataclass
from itertools import groupby
from math import isfinite, isnan
from pathlib import Path
from typing import Any

import numpy as np

POINTS_LEAST = 4  # of a slope


class FigureError(ValueError):
    """A part returned what is no figure; the text says why."""


@dataclass(frozen=True, slots=True)
class Figure:
    part: str
    name: str
    size: str  # at which it was taken, "servers=7200 nodes=660"
    value: float
    unit: str
    bound: float | None = None  # the most that the value may be
    why: str = ""  # how it was taken, and for what
    spread: float | None = None  # in the same unit: half of the way from the least to the most, or 1 sigma
    calculated: bool = False  # from figures that were run, and not run itself
    mechanism: str = ""  # what carries it, by the field's name, and its file; or "missing"

    def is_met(self) -> bool | None:
        """None: there is no bound."""
        return None if self.bound is None else self.value <= self.bound

    def missing(self) -> str:
        """The mechanism without which the bound can't be met; empty if it is there."""
        kind, _, name = self.mechanism.partition(": ")
        return name if kind == "missing" else ""


@dataclass(frozen=True, slots=True)
class Fit:
    """A straight line by least squares, y = start + slope * x."""

    slope: float
    start: float
    slope_error: float  # 1 sigma
    residual: float  # root of the mean square, in units of y, at two degrees of freedom less
    points: int

    def at(self, x: float) -> float:
        return self.start + self.slope * x


def fit(points: Iterable[tuple[float, float]]) -> Fit:
    """The line through (x, y) points, of which there are four at least."""
    pairs = np.array(list(points), dtype=float)
    if len(pairs) < POINTS_LEAST:
        raise FigureError(f"a slope needs {POINTS_LEAST} points, not {len(pairs)}")
    x, y = pairs[:, 0], pairs[:, 1]
    away = x - x.mean()
    if not away.any():
        raise FigureError("a slope needs different sizes")
    slope = float((away * y).sum() / (away**2).sum())
    start = float(y.mean() - slope * x.mean())
    residual = float(np.sqrt(((y - start - slope * x) ** 2).sum() / (len(pairs) - 2)))
    return Fit(slope, start, residual / float(np.sqrt((away**2).sum())), residual, len(pairs))


def exponent(points: Iterable[tuple[float, float]]) -> Fit:
    """How y grows with x: the slope of their logarithms, 1 where y is proportional to x."""
    return fit((float(np.log(x)), float(np.log(y))) for x, y in points)


def median_of(run: Callable[[], float], times: int) -> tuple[float, float]:
    """The median of repeated runs, and half of the way from the least to the most."""
    values = [run() for _ in range(times)]
    return float(np.median(values)), (max(values) - min(values)) / 2


def label(size: object) -> str:
    """A size as text: a dict as its names and values."""
    if isinstance(size, Mapping):
        return " ".join(f"{name}={value}" for name, value in size.items())
    return str(size)


def figure(part: str, entry: object) -> Figure:
    """A figure of the form that parts return; raises FigureError."""
    if not isinstance(entry, Mapping):
        raise FigureError(f"{part}: a figure is no dict: {entry!r}")
    if missing := {"name", "size", "value", "unit"} - entry.keys():
        raise FigureError(f"{part}: a figure lacks {', '.join(sorted(missing))}: {dict(entry)!r}")
    numbers: dict[str, float | None] = {}
    for name in ("value", "bound", "spread"):
        number = entry.get(name)
        try:
            numbers[name] = None if number is None else float(number)
        except (TypeError, ValueError):
            raise FigureError(f"{part}: {entry['name']}: {name} is no number: {number!r}") from None
    value, bound, spread = numbers["value"], numbers["bound"], numbers["spread"]
    if value is None or not isfinite(value) or (bound is not None and isnan(bound)):
        raise FigureError(f"{part}: {entry['name']}: value {value!r}, bound {bound!r}")
    return Figure(
        part,
        str(entry["name"]),
        label(entry["size"]),
        value,
        str(entry["unit"]),
        bound,
        str(entry.get("why", "")),
        spread,
        bool(entry.get("calculated")),
        str(entry.get("mechanism", "")),
    )


def number(value: float | None) -> str:
    """With four digits that tell, and thousands apart."""
    if value is None:
        return ""
    if value == 0 or 0.001 <= abs(value) < 1:
        return f"{value:.4g}"
    digits = 0 if abs(value) >= 1000 else 1 if abs(value) >= 100 else 2 if abs(value) >= 10 else 3
    return f"{value:,.{digits}f}" if 1 <= abs(value) < 1e12 else f"{value:.3g}"


def verdict(one: Figure) -> str:
    met = one.is_met()
    return "" if met is None else "met" if met else "MISSING" if one.missing() else "NOT MET"


def table(figures: Sequence[Figure]) -> str:
    """All figures beside their bounds, aligned, part by part."""
    head = ("what", "size", "figure", "spread", "unit", "bound", "")
    rows = [
        (
            one.name + (" (calculated)" if one.calculated else ""),
            one.size,
            number(one.value),
            f"±{number(one.spread)}" if one.spread is not None else "",
            one.unit,
            number(one.bound),
            verdict(one),
        )
        for one in figures
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
        for one, row in group:
            lines.append(line(row))
            if one.is_met() is False and one.why:
                lines.append(f"    {one.why}")
        lines.append("")
    return "\n".join(lines)


def markdown(figures: Sequence[Figure]) -> str:
    """The same as rows of docs/CAPACITY.md."""
    lines = ["| what | size of the run | figure | bound | command | mechanism | how |", "|" + " --- |" * 7]
    for one in figures:
        spread = f" ±{number(one.spread)}" if one.spread is not None else ""
        bound = f"{number(one.bound)} {verdict(one)}" if one.bound is not None else ""
        cells = (
            one.name,
            one.size,
            f"{number(one.value)}{spread} {one.unit}" + ", calculated" * one.calculated,
            bound,
            f"`python -m scale --part {one.part}`",
            one.mechanism,
            one.why,
        )
        lines.append("| " + " | ".join(cell.replace("|", "/") for cell in cells) + " |")
    return "\n".join(lines)


def write_json(path: Path, figures: Sequence[Figure], failures: Sequence[str], smoke: bool) -> None:
    document: dict[str, Any] = {
        "smoke": smoke,
        "failures": list(failures),
        "figures": [asdict(one) for one in figures],
    }
    path.write_text(json.dumps(document, indent=1) + "\n")
