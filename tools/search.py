#!/usr/bin/env python3
"""Run the tests' simulations with other seeds, on all cores, and print those that fail.

    python tools/search.py [--days 300] [--first 1000] [--jobs 8] [--only KIND]

A day is one run of the simulation (`tests/simulation`) with one fault.  A day of kind `combined`
has two of the scenarios of `tests/test_combined_faults.py` at once.  Each day runs in a process of
its own with its own hash seed.  For each failed day the command that reproduces it is printed.  For
each pair of combined scenarios the number of days on which both took effect is printed as well.

Exit status: 1 if a day failed.
"""

import argparse
import itertools
import os
import subprocess
import sys
from collections import Counter
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from same_plays import ROOT, import_path

# Maximum duration of a day, in seconds of real time.
TIMEOUT_S = 900
# Length of the end of a failed day's standard error that is printed.
SHOWN_CHARACTERS = 400
# Mean response times of the store, in seconds, for the days of kind `faults`.
STORE_DELAYS_S = (0.0, 0.15)

CLUSTER_FAULTS = (
    "no_fault",
    "controller_crashes",
    "store_outage",
    "network_cuts",
    "machine_failures",
    "all_faults",
)
LARGE_CLUSTER_FAULTS = ("zone_cut_off", "spot_reclaim_wave", "slow_store")
# The Python code that runs a day, by kind.
CODE = {
    "random": "from test_random_faults import *; play_small_cluster({seed}, {arguments})",
    "upgrade": "from simulation.faults import *; import test_upgrade; "
    "test_upgrade.play_upgrade({seed}, {arguments})",
    "pipelines": "from simulation.faults import *; import test_dependencies; "
    "test_dependencies.play_pipelines({seed}, {arguments})",
    "large": "from test_random_faults import *; play_large_cluster({seed}, {arguments})",
    "faults": "from test_faults import *; play_fault({seed}, {arguments})",
    "combined": "from test_combined_faults import *; print(play_scenarios({seed}, {arguments}))",
    "returns": "from test_late_reads import *; play_returns({seed})",
}


@dataclass(frozen=True)
class Day:
    """One run of the simulation.

    Attributes:
        kind: a key of `CODE`.
        arguments: the faults or scenarios, as Python source of the arguments after the seed.
        seed: the seed of the simulation and of its process's hashes.
    """

    kind: str
    arguments: str
    seed: int

    @property
    def code(self) -> str:
        """The Python code that runs the day."""
        return CODE[self.kind].format(seed=self.seed, arguments=self.arguments)

    @property
    def command(self) -> str:
        """The shell command that reproduces the day from the root of the repository."""
        folders = [Path(folder) for folder in import_path(ROOT).split(os.pathsep)]
        path = os.pathsep.join(str(folder.relative_to(ROOT)) for folder in folders)
        return f"PYTHONHASHSEED={self.seed} PYTHONPATH={path} python -c '{self.code}'"


@dataclass(frozen=True)
class Outcome:
    """The outcome of a day: the end of its standard error if it failed, and its standard output."""

    error: str | None
    output: str


def argument_lists(kind: str) -> tuple[str, ...]:
    """Return the arguments with which the days of a kind are run."""
    if kind == "returns":
        return ("",)
    if kind == "large":
        return LARGE_CLUSTER_FAULTS
    if kind == "faults":
        from test_faults import FAULTS

        return tuple(f"{fault.__name__}, {s}" for s in STORE_DELAYS_S for fault in FAULTS)
    if kind == "combined":
        from test_combined_faults import SCENARIOS

        names = [scenario.__name__ for scenario in SCENARIOS]
        return tuple(", ".join(pair) for pair in itertools.combinations(names, 2))
    return CLUSTER_FAULTS


def days(kinds: list[str], first_seed: int) -> Iterator[Day]:
    """Yield days of the kinds in rotation and without end, with consecutive seeds."""
    variants = [(kind, arguments) for kind in kinds for arguments in argument_lists(kind)]
    for seed, (kind, arguments) in zip(
        itertools.count(first_seed), itertools.cycle(variants), strict=False
    ):
        yield Day(kind, arguments, seed)


def run_day(day: Day) -> Outcome:
    """Run one day in a process of its own."""
    environment = {"PYTHONHASHSEED": str(day.seed), "PYTHONPATH": import_path(ROOT)}
    try:
        process = subprocess.run(
            [sys.executable, "-c", day.code],
            env=os.environ | environment,
            capture_output=True,
            text=True,
            timeout=TIMEOUT_S,
        )
    except subprocess.TimeoutExpired:
        return Outcome(f"timed out after {TIMEOUT_S} s", "")
    error = None if process.returncode == 0 else (process.stderr.strip() or "?")[-SHOWN_CHARACTERS:]
    return Outcome(error, process.stdout.strip())


def main() -> int:
    """Run the days selected on the command line and return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--days", type=int, default=300, help="number of days to run")
    parser.add_argument("--first", type=int, default=1000, help="seed of the first day")
    parser.add_argument("--jobs", type=int, default=os.cpu_count(), help="days run in parallel")
    parser.add_argument("--only", choices=CODE, metavar="KIND", help=f"one of {', '.join(CODE)}")
    options = parser.parse_args()
    sys.path[:0] = import_path(ROOT).split(os.pathsep)
    kinds = [options.only] if options.only else list(CODE)
    selected = list(itertools.islice(days(kinds, options.first), options.days))
    failed = 0
    both_effective: Counter[str] = Counter()
    with ThreadPoolExecutor(options.jobs) as pool:
        for day, outcome in zip(selected, pool.map(run_day, selected), strict=True):
            if day.kind == "combined":
                # The output lists the effects that were not observed.
                both_effective[day.arguments] += outcome.output == "[]"
            if outcome.error is not None:
                failed += 1
                print(f"{day.kind} {day.arguments}: {outcome.error}\n    {day.command}", flush=True)
    print(f"{len(selected)} days run, {failed} failed")
    for pair, count in both_effective.items():
        print(f"    {pair}: both took effect on {count} days")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
