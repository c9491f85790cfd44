"""Capacity measurements: `python -m scale` runs the parts one after another and prints their figures.

The exit code is 1 if a figure is above its bound or a part failed. Each part is a module with
`measure(smoke: bool) -> list[dict]`. It runs in a process of its own, so that its memory and time can be
measured and limited, and its crash does not affect the figures of the other parts.
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

PART_TIMEOUT_SECONDS = {  # the parts in the order of their runs
    "fleet": 150.0,
    "candidates": 200.0,
    "lists": 60.0,
    "loopback": 250.0,
}
SMOKE_TIMEOUT_SECONDS = 60.0  # of each part at the smallest sizes
TOTAL_TIMEOUT_SECONDS = 600.0  # of all parts together
MAX_MEMORY_BYTES = 8 << 30  # of a part with all its processes
POLL_INTERVAL_SECONDS = 0.5  # between two checks of a part's memory and time
PAGE_BYTES = resource.getpagesize()
CAPACITY_PAGE = Path(__file__).parent.parent / "docs" / "CAPACITY.md"
"""The page that has to name each missing mechanism whose bound is not met."""


class PartError(Exception):
    """A part failed; the message names the part and the reason."""


def list_processes() -> dict[int, tuple[int, int]]:
    """Return the parent's process id and the resident bytes of each process of the machine, by process id."""
    found = {}
    for path in Path("/proc").glob("[0-9]*/stat"):
        try:
            fields = path.read_text().rpartition(")")[2].split()
        except OSError:
            continue  # the process has ended meanwhile
        found[int(path.parent.name)] = int(fields[1]), int(fields[21]) * PAGE_BYTES
    return found


def process_tree(pid: int) -> dict[int, int]:
    """Return the resident bytes of a process and of all its descendants, by process id.

    Pages that several processes share are counted for each of them.
    """
    found = list_processes()
    members = {pid: found[pid][1]} if pid in found else {}
    has_grown = True
    while has_grown:
        children = {
            child: size
            for child, (parent, size) in found.items()
            if parent in members and child not in members
        }
        members |= children
        has_grown = bool(children)
    return members


def kill_processes(pids: Sequence[int]) -> None:
    """Send SIGKILL to processes, each by its id."""
    for pid in pids:
        try:
            os.kill(pid, signal.SIGKILL)
        except ProcessLookupError:
            continue


def run_part(name: str, smoke: bool, seconds: float) -> tuple[list[Figure], int]:
    """Run a part; return its figures, and the highest number of bytes that its processes used together.

    Raises PartError if the part takes more than `seconds`, uses more than `MAX_MEMORY_BYTES`, crashes, or
    returns malformed figures.
    """
    with TemporaryDirectory() as folder:
        path = Path(folder, "figures.json")
        command = [sys.executable, "-m", "scale", "--child", name, "--json", str(path)]
        child = subprocess.Popen(command + ["--smoke"] * smoke)
        started_at, peak_bytes = monotonic(), 0
        while True:
            try:
                exit_code = child.wait(POLL_INTERVAL_SECONDS)
                break
            except subprocess.TimeoutExpired:
                members = process_tree(child.pid)
            peak_bytes = max(peak_bytes, sum(members.values()))
            exceeded = f"took more than {seconds:.0f} s" * (monotonic() - started_at > seconds)
            if peak_bytes > MAX_MEMORY_BYTES:
                exceeded = f"held {peak_bytes >> 20} MB"
            if exceeded:
                kill_processes(list(members))
                child.wait()
                raise PartError(f"part {name} {exceeded}")
        if exit_code or not path.exists():
            raise PartError(f"part {name} ended with code {exit_code}")
        document = json.loads(path.read_text())
        try:
            return [figures.parse_figure(name, entry) for entry in document["figures"]], max(
                peak_bytes, document["most"]
            )
        except FigureError as error:
            raise PartError(str(error)) from None


def run_child(name: str, smoke: bool, path: Path) -> None:
    """Measure a part in this process, which is the part's own, and write the figures to a file."""
    entries = importlib.import_module(f"scale.{name}").measure(smoke)
    peak_bytes = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss << 10
    path.write_text(json.dumps({"figures": entries, "most": peak_bytes}))


def available_parts() -> list[str]:
    """Return the names of the parts whose modules exist."""
    return [name for name in PART_TIMEOUT_SECONDS if importlib.util.find_spec(f"scale.{name}") is not None]


def run(names: Sequence[str], smoke: bool) -> tuple[list[Figure], list[str]]:
    """Run parts one after another; return all their figures, and the messages of the parts that failed."""
    found: list[Figure] = []
    failures: list[str] = []
    started_at = monotonic()
    for name in names:
        part_started_at = monotonic()
        remaining_seconds = TOTAL_TIMEOUT_SECONDS - (part_started_at - started_at)
        try:
            part, peak_bytes = run_part(
                name,
                smoke,
                min(remaining_seconds, SMOKE_TIMEOUT_SECONDS if smoke else PART_TIMEOUT_SECONDS[name]),
            )
        except PartError as error:
            failures.append(str(error))
            print(f"FAILED: {error}", flush=True)
            continue
        size = "smoke" if smoke else "full"
        part += [
            Figure(
                name, "time of the part", size, monotonic() - part_started_at, "s", PART_TIMEOUT_SECONDS[name]
            ),
            Figure(
                name,
                "memory of the part, all its processes",
                size,
                peak_bytes / 1e6,
                "MB",
                MAX_MEMORY_BYTES / 1e6,
            ),
        ]
        print(figures.format_table(part), flush=True)
        found += part
    if len(names) > 1:
        total_time = Figure(
            "all", "time", "smoke" if smoke else "full", monotonic() - started_at, "s", TOTAL_TIMEOUT_SECONDS
        )
        print(figures.format_table([total_time]), flush=True)
        found.append(total_time)
    return found, failures


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the command line; return the exit code."""
    parser = argparse.ArgumentParser("python -m scale", description=__doc__)
    parser.add_argument("--smoke", action="store_true", help="run the smallest sizes, within seconds")
    parser.add_argument(
        "--part", choices=PART_TIMEOUT_SECONDS, action="append", help="run only this part; may be repeated"
    )
    parser.add_argument("--json", type=Path, help="write the figures to this file")
    parser.add_argument(
        "--rows", type=Path, help="write the figures as table rows of docs/CAPACITY.md to this file"
    )
    parser.add_argument("--child", choices=PART_TIMEOUT_SECONDS, help=argparse.SUPPRESS)
    options = parser.parse_args(arguments)
    if options.child:
        run_child(options.child, options.smoke, options.json)
        return 0
    names = options.part or available_parts()
    if missing_parts := [name for name in PART_TIMEOUT_SECONDS if name not in names]:
        print(f"not run: {', '.join(missing_parts)}")
    found, failures = run(names, options.smoke)
    if options.json:
        figures.write_json(options.json, found, failures, options.smoke)
    if options.rows:
        options.rows.write_text(figures.format_markdown(found) + "\n")
    # A bound that cannot be met without a missing mechanism does not fail the run
    # if the page names that mechanism.
    page_text = CAPACITY_PAGE.read_text().lower() if CAPACITY_PAGE.exists() else ""
    missed = []
    for figure in [figure for figure in found if figure.is_met() is False]:
        is_documented = bool(figure.missing()) and figure.missing().lower() in page_text
        if not is_documented:
            missed.append(figure)
        print(
            f"{'MISSING' if is_documented else 'NOT MET'}: {figure.part}: {figure.name} at {figure.size}: "
            f"{figures.format_number(figure.value)} {figure.unit}, "
            f"bound {figures.format_number(figure.bound)}"
        )
    for failure in failures:
        print(f"FAILED: {failure}")
    print(f"{len(found)} figures, {len(missed)} not met, {len(failures)} parts failed")
    return 1 if missed or failures else 0


if __name__ == "__main__":
    sys.exit(main())
