#!/usr/bin/env python3
"""Play one seeded day in two processes with different hash seeds; show where they first differ.

    python tools/first_difference.py CODE [--hash-seeds 0 4] [--context 3]

CODE is Python that plays the day, with the tests' folders on its path, for example
'from test_random_faults import *; play_day(106, all_faults)'.  An event is a request, a response or
a message between controllers, as `simulation.tracing` records it.  Exit status 1 if any differs.
"""

import argparse
import itertools
import os
import subprocess
import sys

from same_plays import ROOT, import_path

LISTEN = "import simulation; simulation.TRACE.listener = print\n"
# How much of an event is shown: a request's body may take kilobytes.
SHOWN_CHARACTERS = 400


def play(code: str, hash_seed: str) -> list[str]:
    """The events of a day; the last line of its standard error is the last of them."""
    done = subprocess.run(
        [sys.executable, "-c", LISTEN + code],
        env=os.environ | {"PYTHONHASHSEED": hash_seed, "PYTHONPATH": import_path(ROOT)},
        capture_output=True,
        text=True,
    )
    return done.stdout.splitlines() + done.stderr.splitlines()[-1:]


def first_difference(one: list[str], other: list[str]) -> int | None:
    """The position of the first event that is not the same in both plays, or None."""
    pairs = itertools.zip_longest(one, other)
    return next((at for at, (left, right) in enumerate(pairs) if left != right), None)


def main() -> int:
    """Compare the two plays that the command line asks for; the exit status."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("code", help="Python that plays the day")
    parser.add_argument(
        "--hash-seeds", nargs=2, default=["0", "4"], metavar="SEED", help="of the two processes"
    )
    parser.add_argument("--context", type=int, default=3, help="events shown before it")
    options = parser.parse_args()
    one, other = (play(options.code, seed) for seed in options.hash_seeds)
    at = first_difference(one, other)
    if at is None:
        print(f"{len(one)} events, all the same")
        return 0
    for event in one[max(0, at - options.context) : at]:
        print(f"  {event[:SHOWN_CHARACTERS]}")
    for seed, events in zip(options.hash_seeds, (one, other), strict=True):
        event = events[at] if at < len(events) else "(no more events)"
        print(f"{seed}: {event[:SHOWN_CHARACTERS]}")
    return 1


if __name__ == "__main__":
    sys.exit(main())
