#!/usr/bin/env python3
"""How soon a controller's trouble is suspected and its teams go over, in the stand-in fleet.

    python tools/handover.py [--nights N] [--hours H]

Plays every kind of fault on the controller that places the first team, among 3 and among 7
controllers (`tests/membership/fleet.py`: the real stewards and records, in virtual time), and
prints one row of a table for each: seconds from the fault to the first suspicion and to the
hand-over, moves of teams in all, and how often one was doubted or given up that should not have
been.  Then so many hours without any fault but slow moments.
"""

import argparse
import logging
import math
import sys
from collections.abc import Callable
from pathlib import Path
from random import Random
from statistics import median

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / part) for part in ("src", "tests", "tests/membership")]

from fleet import HOLD, REPORT, Fleet, Node  # noqa: E402

from sandladder.membership import HealthLevel  # noqa: E402

# How long a night goes on after its fault: time enough to go home again.
_AFTER_S = 40.0

Fault = Callable[[Fleet, str, bool], None]  # begins (True) or ends (False)


def _ends(fleet: Fleet, name: str, on: bool) -> None:
    if on:
        fleet.crash(name, 1e9)
    else:
        fleet.back[name] = fleet.now


def _member(kind: str) -> Fault:
    def fault(fleet: Fleet, name: str, on: bool) -> None:
        {True: getattr(fleet, kind).add, False: getattr(fleet, kind).discard}[on](name)

    return fault


def _slow(fleet: Fleet, name: str, on: bool) -> None:
    fleet.slow[name] = REPORT if on else 0.0


def _cut(refused: bool, ways: int) -> Fault:
    def fault(fleet: Fleet, name: str, on: bool) -> None:
        for other in fleet.names:
            if other == name:
                continue
            if refused:
                change = fleet.refused.add if on else fleet.refused.discard
                change(frozenset((name, other)))
                continue
            for pair in [(name, other), (other, name)][:ways]:
                (fleet.cut.add if on else fleet.cut.discard)(pair)

    return fault


# How long each lasts, in seconds, and whether its teams should be handed over.
FAULTS: dict[str, tuple[Fault, float, bool]] = {
    "ends": (_ends, 30.0, True),
    "stands still, half a report interval": (_member("frozen"), 0.5 * REPORT, False),
    "stands still past its hold": (_member("frozen"), HOLD + 4.0, True),
    "loses the state service": (_member("cut_store"), 20.0, True),
    "timers a report interval late": (_slow, 30.0, False),
    "not heard by anyone": (_cut(False, 1), 30.0, False),
    "cut from all, both ways": (_cut(False, 2), 30.0, False),
    "refused by all": (_cut(True, 2), 30.0, False),
}


def _others(fleet: Fleet, victim: str) -> list[Node]:
    return [node for name, node in fleet.nodes.items() if name != victim]


def night(count: int, fault: Fault, for_s: float, seed: int) -> tuple[float, float, int, int]:
    """Seconds to the suspicion and to the hand-over, moves, and acts against anyone else."""
    fleet = Fleet(count, teams=3, seed=seed)
    fleet.play(20.0 + Random(seed).uniform(0.0, 2 * REPORT))
    team = fleet.teams[0]
    victim = fleet.assignments()[team].node
    mark, began, acts = fleet.mark(), fleet.now, len(fleet.acts)
    fault(fleet, victim, True)
    suspected = handed = math.inf
    for over_at in (began + for_s, began + for_s + _AFTER_S):
        while fleet.now < over_at:
            fleet.step()
            grades = [node.policy.findings[victim].grade for node in _others(fleet, victim)]
            if max(grades) >= HealthLevel.UNABLE:
                suspected = min(suspected, fleet.now - began)
            if fleet.assignments()[team].node != victim:
                handed = min(handed, fleet.now - began)
        if over_at == began + for_s:
            fault(fleet, victim, False)
    wrong = sum(act.kind in ("accuse", "expel") and act.name != victim
                for _, _, act in fleet.acts[acts:])  # fmt: skip
    return suspected, handed, sum(fleet.moves(mark).values()), wrong


def _quantiles(times: list[float]) -> str:
    known = sorted(time for time in times if time < math.inf)
    if not known:
        return "never"
    p95 = known[min(len(known) - 1, int(0.95 * len(known)))]
    share = "" if len(known) == len(times) else f" ({len(known)} of {len(times)})"
    return f"{median(known):.1f} / {p95:.1f}{share}"


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--nights", type=int, default=20, help="for each kind and number")
    parser.add_argument("--hours", type=float, default=1.0, help="without faults")
    options = parser.parse_args()
    logging.disable(logging.CRITICAL)
    print("| fault | controllers | suspected p50 / p95, s | handed over p50 / p95, s | moves, most "
          "| others accused |\n| --- | --- | --- | --- | --- | --- |")  # fmt: skip
    bad = 0
    for name, (fault, for_s, over) in FAULTS.items():
        for count in (3, 7):
            seen = [night(count, fault, for_s, seed) for seed in range(options.nights)]
            suspected, handed, moves, wrong = ([row[i] for row in seen] for i in range(4))
            bad += sum(wrong) + (0 if over else sum(t < math.inf for t in handed))
            print(f"| {name} | {count} | {_quantiles(suspected)} | {_quantiles(handed)} "
                  f"| {max(moves)} | {sum(wrong)} |", flush=True)  # fmt: skip
    for count in (3, 7):
        fleet, rng = Fleet(count, teams=3, seed=count), Random(count)
        fleet.play(20.0)
        mark, acts, end = fleet.mark(), len(fleet.acts), fleet.now + 3600.0 * options.hours
        while fleet.now < end:
            # A moment's slowness of one of them, as of a busy machine.
            name = rng.choice(fleet.names)
            fleet.slow[name] = rng.expovariate(1 / (REPORT / 16))
            fleet.play(rng.uniform(2.0, 10.0))
            fleet.slow.pop(name, None)
        doubts = sum(act.kind in ("accuse", "expel") for _, _, act in fleet.acts[acts:])
        moves = sum(fleet.moves(mark).values())
        bad += doubts + moves
        print(f"| none, {options.hours:g} h of slow moments | {count} | {doubts} doubts | "
              f"{moves} hand-overs | {moves} | {doubts} |")  # fmt: skip
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
