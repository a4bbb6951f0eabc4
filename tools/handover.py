#!/usr/bin/env python3
"""How soon a controller's trouble is suspected and its teams go over, in the simulated cluster.

    python tools/handover.py [--nights N] [--hours H]

Plays every kind of fault on the controller that places the first team, among 3 and among 7
controllers (`tests/membership/cluster.py`: the real policies and records, in virtual time), and
prints one row of a table for each: seconds from the fault to the first suspicion and to the
hand-over, moves of teams in all, and how often one was suspected or evicted that should not have
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

from cluster import LEASE_S, REPORT_S, Cluster, SimulatedController  # noqa: E402

from sandladder.membership import ChangeKind, HealthLevel  # noqa: E402

# How long a night goes on after its fault: time enough to go home again.
_AFTER_S = 40.0

# Changes that speak against a controller.
ACCUSATIONS = (ChangeKind.SUSPECT, ChangeKind.EVICT)

Fault = Callable[[Cluster, str, bool], None]  # begins (True) or ends (False)


def _ends(cluster: Cluster, name: str, on: bool) -> None:
    if on:
        cluster.crash(name, 1e9)
    else:
        cluster.restarts_at[name] = cluster.now


def _member(kind: str) -> Fault:
    def fault(cluster: Cluster, name: str, on: bool) -> None:
        {True: getattr(cluster, kind).add, False: getattr(cluster, kind).discard}[on](name)

    return fault


def _slow(cluster: Cluster, name: str, on: bool) -> None:
    cluster.late_s[name] = REPORT_S if on else 0.0


def _cut(refused: bool, ways: int) -> Fault:
    def fault(cluster: Cluster, name: str, on: bool) -> None:
        for other in cluster.names:
            if other == name:
                continue
            if refused:
                change = cluster.refused_links.add if on else cluster.refused_links.discard
                change(frozenset((name, other)))
                continue
            for pair in [(name, other), (other, name)][:ways]:
                (cluster.lost_links.add if on else cluster.lost_links.discard)(pair)

    return fault


# How long each lasts, in seconds, and whether its teams should be handed over.
FAULTS: dict[str, tuple[Fault, float, bool]] = {
    "ends": (_ends, 30.0, True),
    "stands still, half a report interval": (_member("paused"), 0.5 * REPORT_S, False),
    "stands still past its hold": (_member("paused"), LEASE_S + 4.0, True),
    "loses the state service": (_member("without_store"), 20.0, True),
    "timers a report interval late": (_slow, 30.0, False),
    "not heard by anyone": (_cut(False, 1), 30.0, False),
    "cut from all, both ways": (_cut(False, 2), 30.0, False),
    "refused by all": (_cut(True, 2), 30.0, False),
}


def _others(cluster: Cluster, victim: str) -> list[SimulatedController]:
    return [node for name, node in cluster.nodes.items() if name != victim]


def night(count: int, fault: Fault, for_s: float, seed: int) -> tuple[float, float, int, int]:
    """Seconds to the suspicion and to the hand-over, moves, and changes against anyone else."""
    cluster = Cluster(count, teams=3, seed=seed)
    cluster.run(20.0 + Random(seed).uniform(0.0, 2 * REPORT_S))
    team = cluster.teams[0]
    victim = cluster.assignments()[team].node
    start, began, changes = cluster.position(), cluster.now, len(cluster.changes)
    fault(cluster, victim, True)
    suspected = handed = math.inf
    for over_at in (began + for_s, began + for_s + _AFTER_S):
        while cluster.now < over_at:
            cluster.step()
            levels = [node.policy.assessments[victim].level for node in _others(cluster, victim)]
            if max(levels) >= HealthLevel.UNREADY:
                suspected = min(suspected, cluster.now - began)
            if cluster.assignments()[team].node != victim:
                handed = min(handed, cluster.now - began)
        if over_at == began + for_s:
            fault(cluster, victim, False)
    wrong = sum(change.kind in ACCUSATIONS and change.subject != victim
                for _, _, change in cluster.changes[changes:])  # fmt: skip
    return suspected, handed, sum(cluster.moves(start).values()), wrong


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
    bad: float = 0
    for name, (fault, for_s, over) in FAULTS.items():
        for count in (3, 7):
            seen = [night(count, fault, for_s, seed) for seed in range(options.nights)]
            suspected, handed, moves, wrong = ([row[i] for row in seen] for i in range(4))
            bad += sum(wrong) + (0 if over else sum(t < math.inf for t in handed))
            print(f"| {name} | {count} | {_quantiles(suspected)} | {_quantiles(handed)} "
                  f"| {max(moves)} | {sum(wrong)} |", flush=True)  # fmt: skip
    for count in (3, 7):
        cluster, rng = Cluster(count, teams=3, seed=count), Random(count)
        cluster.run(20.0)
        start, changes, end = (
            cluster.position(),
            len(cluster.changes),
            cluster.now + 3600.0 * options.hours,
        )
        while cluster.now < end:
            # A moment's slowness of one of them, as of a busy machine.
            name = rng.choice(cluster.names)
            cluster.late_s[name] = rng.expovariate(1 / (REPORT_S / 16))
            cluster.run(rng.uniform(2.0, 10.0))
            cluster.late_s.pop(name, None)
        doubts = sum(change.kind in ACCUSATIONS for _, _, change in cluster.changes[changes:])
        moved = sum(cluster.moves(start).values())
        bad += doubts + moved
        print(f"| none, {options.hours:g} h of slow moments | {count} | {doubts} doubts | "
              f"{moved} hand-overs | {moved} | {doubts} |")  # fmt: skip
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
