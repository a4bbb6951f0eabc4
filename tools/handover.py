#!/usr/bin/env python3
"""Measure how fast controller faults are suspected and teams are reassigned, in simulation.

    python tools/handover.py [--nights N] [--hours H]

Applies each kind of fault to the controller that schedules the first team, in clusters of 3 and of
7 controllers (`tests/membership/cluster.py`: the real policies and records, in virtual time).  For
each, prints a table row with the seconds from the fault to the first suspicion and to the
reassignment of the team, the number of team moves, and the number of suspicions and evictions of
controllers without a fault.  Then simulates some hours without faults but with short delays of
timers, during which no controller should be suspected and no team moved.

Exit status: 1 if a controller was suspected or evicted, or a team moved, without a cause.
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

# Seconds simulated after the end of a fault, so that teams can move back.
_RECOVERY_S = 40.0

# Roster changes that declare a controller faulty.
FAULT_CHANGES = (ChangeKind.SUSPECT, ChangeKind.EVICT)

Fault = Callable[[Cluster, str, bool], None]  # begins (True) or ends (False)


def _crash(cluster: Cluster, name: str, active: bool) -> None:
    if active:
        cluster.crash(name, 1e9)
    else:
        cluster.restarts_at[name] = cluster.now


def _fault_set(attribute: str) -> Fault:
    """Return a fault that adds the controller to a set of the cluster while it is active."""

    def fault(cluster: Cluster, name: str, active: bool) -> None:
        {True: getattr(cluster, attribute).add, False: getattr(cluster, attribute).discard}[active](
            name
        )

    return fault


def _delay_timers(cluster: Cluster, name: str, active: bool) -> None:
    cluster.late_s[name] = REPORT_S if active else 0.0


def _partition(refused: bool, directions: int) -> Fault:
    """Return a fault that cuts the links to all peers in one or both directions."""

    def fault(cluster: Cluster, name: str, active: bool) -> None:
        for other in cluster.names:
            if other == name:
                continue
            if refused:
                change = cluster.refused_links.add if active else cluster.refused_links.discard
                change(frozenset((name, other)))
                continue
            for link in [(name, other), (other, name)][:directions]:
                (cluster.lost_links.add if active else cluster.lost_links.discard)(link)

    return fault


# Each fault, its duration in seconds, and whether the team must be reassigned.
FAULTS: dict[str, tuple[Fault, float, bool]] = {
    "controller crashes": (_crash, 30.0, True),
    "controller freezes briefly": (_fault_set("paused"), 0.5 * REPORT_S, False),
    "controller freezes past its lease": (_fault_set("paused"), LEASE_S + 4.0, True),
    "partitioned from store": (_fault_set("without_store"), 20.0, True),
    "timers late by a heartbeat interval": (_delay_timers, 30.0, False),
    "messages to peers lost": (_partition(False, 1), 30.0, False),
    "partitioned from all peers": (_partition(False, 2), 30.0, False),
    "connections to peers refused": (_partition(True, 2), 30.0, False),
}


def _others(cluster: Cluster, victim: str) -> list[SimulatedController]:
    return [node for name, node in cluster.nodes.items() if name != victim]


def measure_fault(
    controllers: int, fault: Fault, duration_s: float, seed: int
) -> tuple[float, float, int, int]:
    """Apply a fault to the controller that schedules the first team, and end it again.

    Returns:
        Seconds to the first suspicion and to the reassignment of the team (infinite if there was
        none), team moves, and suspicions and evictions of other controllers.
    """
    cluster = Cluster(controllers, teams=3, seed=seed)
    cluster.run(20.0 + Random(seed).uniform(0.0, 2 * REPORT_S))
    team = cluster.teams[0]
    victim = cluster.assignments()[team].node
    position, fault_at, change_count = cluster.position(), cluster.now, len(cluster.changes)
    fault(cluster, victim, True)
    suspected_s = reassigned_s = math.inf
    for phase_end in (fault_at + duration_s, fault_at + duration_s + _RECOVERY_S):
        while cluster.now < phase_end:
            cluster.step()
            levels = [node.policy.assessments[victim].level for node in _others(cluster, victim)]
            if max(levels) >= HealthLevel.UNREADY:
                suspected_s = min(suspected_s, cluster.now - fault_at)
            if cluster.assignments()[team].node != victim:
                reassigned_s = min(reassigned_s, cluster.now - fault_at)
        if phase_end == fault_at + duration_s:
            fault(cluster, victim, False)
    false_changes = sum(change.kind in FAULT_CHANGES and change.subject != victim
                        for _, _, change in cluster.changes[change_count:])  # fmt: skip
    return suspected_s, reassigned_s, sum(cluster.moves(position).values()), false_changes


def _quantiles(times: list[float]) -> str:
    finite = sorted(time for time in times if time < math.inf)
    if not finite:
        return "never"
    p95 = finite[min(len(finite) - 1, int(0.95 * len(finite)))]
    share = "" if len(finite) == len(times) else f" ({len(finite)} of {len(times)})"
    return f"{median(finite):.1f} / {p95:.1f}{share}"


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument(
        "--nights", type=int, default=20, help="runs of each fault and cluster size"
    )
    parser.add_argument("--hours", type=float, default=1.0, help="simulated hours without faults")
    options = parser.parse_args()
    logging.disable(logging.CRITICAL)
    print("| fault | controllers | suspected p50 / p95, s | reassigned p50 / p95, s | max moves "
          "| others suspected |\n| --- | --- | --- | --- | --- | --- |")  # fmt: skip
    unexpected: float = 0
    for name, (fault, duration_s, reassigns) in FAULTS.items():
        for controllers in (3, 7):
            results = [
                measure_fault(controllers, fault, duration_s, seed)
                for seed in range(options.nights)
            ]
            suspected, reassigned, moves, false_changes = (
                [row[i] for row in results] for i in range(4)
            )
            unexpected += sum(false_changes) + (
                0 if reassigns else sum(t < math.inf for t in reassigned)
            )
            print(f"| {name} | {controllers} | {_quantiles(suspected)} | {_quantiles(reassigned)} "
                  f"| {max(moves)} | {sum(false_changes)} |", flush=True)  # fmt: skip
    for controllers in (3, 7):
        cluster, rng = Cluster(controllers, teams=3, seed=controllers), Random(controllers)
        cluster.run(20.0)
        position, change_count, end = (
            cluster.position(),
            len(cluster.changes),
            cluster.now + 3600.0 * options.hours,
        )
        while cluster.now < end:
            # Delays the timers of one controller briefly, as load on its machine does.
            name = rng.choice(cluster.names)
            cluster.late_s[name] = rng.expovariate(1 / (REPORT_S / 16))
            cluster.run(rng.uniform(2.0, 10.0))
            cluster.late_s.pop(name, None)
        suspicions = sum(
            change.kind in FAULT_CHANGES for _, _, change in cluster.changes[change_count:]
        )
        moved = sum(cluster.moves(position).values())
        unexpected += suspicions + moved
        print(f"| none, {options.hours:g} h with short timer delays | {controllers} "
              f"| {suspicions} suspicions | {moved} reassignments | {moved} | {suspicions} |"
              )  # fmt: skip
    return 1 if unexpected else 0


if __name__ == "__main__":
    sys.exit(main())
