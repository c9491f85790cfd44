"""`python -m scale`: run the parts one after another, print their figures, end non-zero if one is not met.

Each part is a module with `measure(smoke: bool) -> list[dict]`. It runs in a process of its own, so that its
memory and its time are its own and its crash is one failure among the figures of the others.
"""

from __future__ import annotations

import argparse
import importlib
import importlib.util
import json
import os
import resource
import signal
import subprocess
import sys
from collections.abc import Sequence
from pathlib import Path
from tempfile import TemporaryDirectory
from time import monotonic

from scale import figures
from scale.figures import Figure, FigureError

PARTS = {  # and the seconds that each may take
    "fleet": 150.0,
    "candidates": 200.0,
    "lists": 60.0,
    "loopback": 250.0,
}
SMOKE_S = 60.0  # that each may take at the smallest size
ALL_S = 600.0  # that all may take together
MEMORY = 8 << 30  # bytes, of a part with all its processes
LOOK_S = 0.5  # between two looks at a part's memory
PAGE = resource.getpagesize()
PAGE_OF_FIGURES = Path(__file__).parent.parent / "docs" / "CAPACITY.md"


class PartError(Exception):
    """A part that ended without figures; the text names it and says why."""


def processes() -> dict[int, tuple[int, int]]:
    """Each process of the machine: its parent and its resident bytes."""
    found = {}
    for path in Path("/proc").glob("[0-9]*/stat"):
        try:
            fields = path.read_text().rpartition(")")[2].split()
        except OSError:
            continue  # ended meanwhile
        found[int(path.parent.name)] = int(fields[1]), int(fields[21]) * PAGE
    return found


def family(pid: int) -> dict[int, int]:
    """A process and all that it started, with the resident bytes of each; shared pages count for each."""
    found = processes()
    members = {pid: found[pid][1]} if pid in found else {}
    grown = True
    while grown:
        born = {
            child: size
            for child, (parent, size) in found.items()
            if parent in members and child not in members
        }
        members |= born
        grown = bool(born)
    return members


def end(members: Sequence[int]) -> None:
    """End these processes, each by its id."""
    for pid in members:
        try:
            os.kill(pid, signal.SIGKILL)
        except ProcessLookupError:
            continue


def run_part(name: str, smoke: bool, seconds: float) -> tuple[list[Figure], int]:
    """The figures of one part and the most bytes that it held; raises PartError."""
    with TemporaryDirectory() as folder:
        path = Path(folder, "figures.json")
        command = [sys.executable, "-m", "scale", "--child", name, "--json", str(path)]
        child = subprocess.Popen(command + ["--smoke"] * smoke)
        begun, most = monotonic(), 0
        while True:
            try:
                code = child.wait(LOOK_S)
                break
            except subprocess.TimeoutExpired:
                members = family(child.pid)
            most = max(most, sum(members.values()))
            over = f"took more than {seconds:.0f} s" * (monotonic() - begun > seconds)
            if most > MEMORY:
                over = f"held {most >> 20} MB"
            if over:
                end(list(members))
                child.wait()
                raise PartError(f"part {name} {over}")
        if code or not path.exists():
            raise PartError(f"part {name} ended with code {code}")
        document = json.loads(path.read_text())
        try:
            return [figures.figure(name, entry) for entry in document["figures"]], max(most, document["most"])
        except FigureError as problem:
            raise PartError(str(problem)) from None


def run_child(name: str, smoke: bool, path: Path) -> None:
    """In the part's own process: measure, and leave the figures in a file."""
    entries = importlib.import_module(f"scale.{name}").measure(smoke)
    most = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss << 10
    path.write_text(json.dumps({"figures": entries, "most": most}))


def there() -> list[str]:
    """The parts whose modules exist."""
    return [name for name in PARTS if importlib.util.find_spec(f"scale.{name}") is not None]


def run(names: Sequence[str], smoke: bool) -> tuple[list[Figure], list[str]]:
    """All figures of these parts, and what failed."""
    found: list[Figure] = []
    failures: list[str] = []
    begun = monotonic()
    for name in names:
        since = monotonic()
        left = ALL_S - (since - begun)
        try:
            part, most = run_part(name, smoke, min(left, SMOKE_S if smoke else PARTS[name]))
        except PartError as problem:
            failures.append(str(problem))
            print(f"FAILED: {problem}", flush=True)
            continue
        size = "smoke" if smoke else "full"
        part += [
            Figure(name, "time of the part", size, monotonic() - since, "s", PARTS[name]),
            Figure(name, "memory of the part, all its processes", size, most / 1e6, "MB", MEMORY / 1e6),
        ]
        print(figures.table(part), flush=True)
        found += part
    if len(names) > 1:
        all_of_it = Figure("all", "time", "smoke" if smoke else "full", monotonic() - begun, "s", ALL_S)
        print(figures.table([all_of_it]), flush=True)
        found.append(all_of_it)
    return found, failures


def main(arguments: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser("python -m scale", description=__doc__)
    parser.add_argument("--smoke", action="store_true", help="smallest sizes, some seconds")
    parser.add_argument("--part", choices=PARTS, action="append", help="only this one; may come again")
    parser.add_argument("--json", type=Path, help="write the figures to this file")
    parser.add_argument("--rows", type=Path, help="write them as rows of docs/CAPACITY.md to this file")
    parser.add_argument("--child", choices=PARTS, help=argparse.SUPPRESS)
    told = parser.parse_args(arguments)
    if told.child:
        run_child(told.child, told.smoke, told.json)
        return 0
    names = told.part or there()
    if absent := [name for name in PARTS if name not in names]:
        print(f"not run: {', '.join(absent)}")
    found, failures = run(names, told.smoke)
    if told.json:
        figures.write_json(told.json, found, failures, told.smoke)
    if told.rows:
        told.rows.write_text(figures.markdown(found) + "\n")
    # A bound that no mechanism can meet yet is missed all the same, and the page has to say so.
    page = PAGE_OF_FIGURES.read_text().lower() if PAGE_OF_FIGURES.exists() else ""
    missed = []
    for one in [one for one in found if one.is_met() is False]:
        owned = bool(one.missing()) and one.missing().lower() in page
        if not owned:
            missed.append(one)
        print(
            f"{'MISSING' if owned else 'NOT MET'}: {one.part}: {one.name} at {one.size}: "
            f"{figures.number(one.value)} {one.unit}, bound {figures.number(one.bound)}"
        )
    for text in failures:
        print(f"FAILED: {text}")
    print(f"{len(found)} figures, {len(missed)} not met, {len(failures)} parts failed")
    return 1 if missed or failures else 0


if __name__ == "__main__":
    sys.exit(main())
