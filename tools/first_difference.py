#!/usr/bin/env python3
"""Run one seeded simulation under two hash seeds and print the first event that differs.

    python tools/first_difference.py CODE [--hash-seeds 0 4] [--context 3]

CODE is Python that runs the simulation, with the tests' folders on its path, for example
'from test_random_faults import *; play_small_cluster(106, all_faults)'.  An event is a request, a
response or a message between controllers, as `simulation.tracing` records it.

Exit status: 1 if an event differs.
"""

import argparse
import itertools
import os
import subprocess
import sys

from same_plays import ROOT, import_path

LISTENER_CODE = "import simulation; simulation.TRACE.listener = print\n"
# Length to which a printed event is cut: the body of a request may have kilobytes.
SHOWN_CHARACTERS = 400


def play(code: str, hash_seed: str) -> list[str]:
    """Return the events of a simulation, then the last line of its standard error if it has one."""
    process = subprocess.run(
        [sys.executable, "-c", LISTENER_CODE + code],
        env=os.environ | {"PYTHONHASHSEED": hash_seed, "PYTHONPATH": import_path(ROOT)},
        capture_output=True,
        text=True,
    )
    return process.stdout.splitlines() + process.stderr.splitlines()[-1:]


def first_difference(first: list[str], second: list[str]) -> int | None:
    """Return the position of the first event that differs, or None if all are equal."""
    pairs = itertools.zip_longest(first, second)
    return next((position for position, (left, right) in enumerate(pairs) if left != right), None)


def main() -> int:
    """Compare the two simulations and return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("code", help="Python that runs the simulation")
    parser.add_argument(
        "--hash-seeds", nargs=2, default=["0", "4"], metavar="SEED", help="of the two processes"
    )
    parser.add_argument("--context", type=int, default=3, help="events printed before it")
    options = parser.parse_args()
    first, second = (play(options.code, seed) for seed in options.hash_seeds)
    position = first_difference(first, second)
    if position is None:
        print(f"{len(first)} events, all equal")
        return 0
    for event in first[max(0, position - options.context) : position]:
        print(f"  {event[:SHOWN_CHARACTERS]}")
    for seed, events in zip(options.hash_seeds, (first, second), strict=True):
        event = events[position] if position < len(events) else "(no more events)"
        print(f"{seed}: {event[:SHOWN_CHARACTERS]}")
    return 1


if __name__ == "__main__":
    sys.exit(main())
