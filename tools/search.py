#!/usr/bin/env python3
"""Play the seeded days of the tests with other seeds, on all cores, and show what fails.

    python tools/search.py [--days 300] [--first 1000] [--jobs 8] [--only KIND]

A day is a run of the simulation (`tests/simulation`) with one fault, or of the kind `combined` with
two of the scenarios of `tests/test_combined_faults.py` at once.  Each runs in a process of its own
with a hash seed of its own.  For each that fails the command that repeats it is printed; the exit
status is 1 if there was any.  Of combined scenarios it is also counted on how many days both were
really brought about.
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

# How long a day may take, in seconds.
TIMEOUT_S = 900
# How much is shown of what a failed day wrote to standard error.
SHOWN_CHARACTERS = 400
# Mean response times of the store, in seconds, with which each fault of one controller is played.
SLOW_STORE_S = (0.0, 0.15)

CLUSTER_FAULTS = (
    "no_fault",
    "controller_crashes",
    "store_outage",
    "network_cuts",
    "machine_failures",
    "all_faults",
)
LARGE_CLUSTER_FAULTS = ("zone_cut_off", "spot_reclaim_wave", "slow_store")
# The Python that plays a day of each kind.
CODE = {
    "random": "from test_random_faults import *; play_day({seed}, {faults})",
    "upgrade": "from simulation.faults import *; import test_upgrade; "
    "test_upgrade.play_upgrade({seed}, {faults})",
    "pipelines": "from simulation.faults import *; import test_dependencies; "
    "test_dependencies.play_pipelines({seed}, {faults})",
    "large": "from test_random_faults import *; play_large_cluster({seed}, {faults})",
    "faults": "from test_faults import *; play_fault({seed}, {faults})",
    "combined": "from test_combined_faults import *; print(play_scenarios({seed}, {faults}))",
}


@dataclass(frozen=True)
class Day:
    """One day to play; `faults`: the arguments of its play, as Python."""

    kind: str
    faults: str
    seed: int

    @property
    def code(self) -> str:
        """The Python that plays it."""
        return CODE[self.kind].format(seed=self.seed, faults=self.faults)

    @property
    def command(self) -> str:
        """The shell command that repeats it from the root of the repository."""
        folders = [Path(folder) for folder in import_path(ROOT).split(os.pathsep)]
        path = os.pathsep.join(str(folder.relative_to(ROOT)) for folder in folders)
        return f"PYTHONHASHSEED={self.seed} PYTHONPATH={path} python -c '{self.code}'"


@dataclass(frozen=True)
class Outcome:
    """How a day ended: the end of its standard error if it failed, and its standard output."""

    error: str | None
    output: str


def faults_of(kind: str) -> tuple[str, ...]:
    """The arguments with which a kind of day is played, in turn."""
    if kind == "large":
        return LARGE_CLUSTER_FAULTS
    if kind == "faults":
        from test_faults import FAULTS

        return tuple(f"{fault.__name__}, {s}" for s in SLOW_STORE_S for fault in FAULTS)
    if kind == "combined":
        from test_combined_faults import SCENARIOS

        names = [scenario.__name__ for scenario in SCENARIOS]
        return tuple(", ".join(pair) for pair in itertools.combinations(names, 2))
    return CLUSTER_FAULTS


def days(kinds: list[str], first_seed: int) -> Iterator[Day]:
    """Days without end, each with the next seed."""
    pairs = [(kind, faults) for kind in kinds for faults in faults_of(kind)]
    for seed, (kind, faults) in zip(
        itertools.count(first_seed), itertools.cycle(pairs), strict=False
    ):
        yield Day(kind, faults, seed)


def play(day: Day) -> Outcome:
    """Play one day in a process of its own."""
    environment = {"PYTHONHASHSEED": str(day.seed), "PYTHONPATH": import_path(ROOT)}
    try:
        done = subprocess.run(
            [sys.executable, "-c", day.code],
            env=os.environ | environment,
            capture_output=True,
            text=True,
            timeout=TIMEOUT_S,
        )
    except subprocess.TimeoutExpired:
        return Outcome(f"not over after {TIMEOUT_S} s", "")
    error = None if done.returncode == 0 else (done.stderr.strip() or "?")[-SHOWN_CHARACTERS:]
    return Outcome(error, done.stdout.strip())


def main() -> int:
    """Play the days that the command line asks for; the exit status."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--days", type=int, default=300, help="how many days to play")
    parser.add_argument("--first", type=int, default=1000, help="the first seed")
    parser.add_argument("--jobs", type=int, default=os.cpu_count(), help="days at once")
    parser.add_argument("--only", choices=CODE, metavar="KIND", help=f"one of {', '.join(CODE)}")
    options = parser.parse_args()
    sys.path[:0] = import_path(ROOT).split(os.pathsep)
    kinds = [options.only] if options.only else list(CODE)
    chosen = list(itertools.islice(days(kinds, options.first), options.days))
    failed = 0
    brought_about: Counter[str] = Counter()
    with ThreadPoolExecutor(options.jobs) as pool:
        for day, outcome in zip(chosen, pool.map(play, chosen), strict=True):
            if day.kind == "combined":
                brought_about[day.faults] += outcome.output == "[]"
            if outcome.error is not None:
                failed += 1
                print(f"{day.kind} {day.faults}: {outcome.error}\n    {day.command}", flush=True)
    print(f"{len(chosen)} days played, {failed} failed")
    for pair, count in brought_about.items():
        print(f"    {pair}: both were really on in {count} days")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
