#!/usr/bin/env python3
"""How many task starts a second real controllers carry, with simulated workers, in virtual time.

    python tools/scale_run.py [--workers 130] [--controllers 9] [--teams 17] [--rate 60]

All share one process: the controllers are the real ones, the workers keep leases, epochs, fencing
tokens and tasks by the protocol and run nothing, and the store keeps to a deployment's limits
(`tests/simulation`).  Time is virtual, so what bounds the starts is the store and the protocol;
processor time is not charged and not measured.  The rules are checked once a second of the run.
Bounded in time by --minutes.  Exit status 1 if a rule broke, 2 if the time ran out.
"""

import argparse
import json
import logging
import sys
import time
from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from statistics import quantiles
from typing import Any, NamedTuple

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / part) for part in ("src", "tests")]

import anyio  # noqa: E402

from simulation import ZONES, SimulatedCluster, job, now, run  # noqa: E402
from simulation.workloads import wait_until_healthy  # noqa: E402

# The mix: of ten jobs two are urgent and small, the rest are arrays.  Tasks run so many seconds.
_OF_JOBS, _URGENT = 10, 2
_URGENT_TASKS, _ARRAY_TASKS = 10, 40
_TASK_S = 8.0
# The load is applied for so long before anything is counted, in seconds.
_SETTLE_S = 20.0
_SAMPLE_S = 0.25


class StoreLimits(NamedTuple):
    """What the store takes: requests and changes a second, changes a transaction."""

    rps: float
    write_rps: float
    txn_ops: int


class ScaleCluster(SimulatedCluster):
    """A simulated cluster in which the rules are checked once a second."""

    _checked_at = float("-inf")

    def check(self) -> None:
        """Check the rules about everything that is on a machine, once a second."""
        if now() - self._checked_at >= 1.0:
            self._checked_at = now()
            super().check()


class SubmissionLoad:
    """Users who submit jobs at a steady rate; when each was submitted and had started."""

    def __init__(self, cluster: ScaleCluster, teams: list[str], starts_per_s: float) -> None:
        self._cluster, self._teams = cluster, teams
        tasks = _URGENT * _URGENT_TASKS + (_OF_JOBS - _URGENT) * _ARRAY_TASKS
        self._jobs_per_s = starts_per_s * _OF_JOBS / tasks
        # By job, in virtual seconds.
        self.submitted: dict[str, float] = {}
        self.all_started: dict[str, float] = {}  # when all its tasks had started
        self.urgent: set[str] = set()

    async def submit(self) -> None:
        """Submit until cancelled."""
        number = 0
        while True:
            urgent = number % _OF_JOBS < _URGENT
            spec = job(
                number,
                bureau=self._teams[number % len(self._teams)],
                rank="urgent" if urgent else "normal",
                entries=_URGENT_TASKS if urgent else _ARRAY_TASKS,
                vcpus=1.0,
                ram_gb=1.0,
                image_gb=0.1,
                expect_s=_TASK_S,
                parcel=f"img-{number % 8}",
            )
            self.submitted[spec["id"]] = now()
            if urgent:
                self.urgent.add(spec["id"])
            self._cluster.network.tasks.start_soon(self._cluster.submit, spec, 240)
            number += 1
            await anyio.sleep(1 / self._jobs_per_s)

    async def watch(self) -> None:
        """Note when all tasks of a job have started, until cancelled."""
        while True:
            await anyio.sleep(_SAMPLE_S)
            for job_id in [j for j in self.submitted if j not in self.all_started]:
                tasks = self._cluster.specs.get(job_id, {}).get("entries")
                names = (f"{job_id}/{task}" for task in range(tasks or 0))
                if tasks and all(self._cluster.starts[name] for name in names):
                    self.all_started[job_id] = now()

    def waits(self, since: float, urgent: bool) -> list[float]:
        """How many seconds jobs submitted since a moment waited, or have waited so far."""
        return [
            self.all_started.get(job_id, now()) - at
            for job_id, at in self.submitted.items()
            if at >= since and (job_id in self.urgent) == urgent
        ]


def percentile(values: list[float], percent: int) -> float:
    """A percentile in the values' unit; 0 of none."""
    return quantiles(values, n=100)[percent - 1] if len(values) > 1 else sum(values)


async def play(cluster: ScaleCluster, options: argparse.Namespace, found: dict[str, Any]) -> None:
    """Start the workers, apply the load, and put what is counted into `found`."""
    ends = time.monotonic() + 60 * options.minutes
    for number in range(options.workers):
        cluster.cloud.add("large", ZONES[number % len(ZONES)], False)
    for worker in cluster.cloud.workers.values():
        worker.boots_at = now()
    await wait_until_healthy(cluster)
    load = SubmissionLoad(cluster, [team["name"] for team in cluster.teams], options.rate)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(load.submit)
        tasks.start_soon(load.watch)
        await anyio.sleep(_SETTLE_S)
        began, before = now(), cluster.starts.total()
        changes = len(cluster.store.history)
        by_second: Counter[int] = Counter()
        while now() < began + options.seconds:
            at = cluster.starts.total()
            await anyio.sleep(1.0)
            by_second[int(now() - began)] = cluster.starts.total() - at
            if time.monotonic() > ends:
                found["ended early at"] = round(now() - began, 1)
                break
        counted_s = now() - began
        found |= {
            "seconds counted": round(counted_s, 1),
            "starts a second": round((cluster.starts.total() - before) / counted_s, 1),
            "most starts in a second": max(by_second.values()),
            "changes a second": round((len(cluster.store.history) - changes) / counted_s, 2),
            "tasks running": len(cluster.tasks_on_machines()),
            "urgent wait p50, p99 (s)": _waits(load, began, True),
            "other wait p50, p99 (s)": _waits(load, began, False),
        }
        tasks.cancel_scope.cancel()


def _waits(load: SubmissionLoad, since: float, urgent: bool) -> list[float]:
    waits = load.waits(since, urgent)
    return [round(percentile(waits, percent), 2) for percent in (50, 99)]


def teams(number: int) -> Iterator[dict[str, Any]]:
    """Teams without a limit that binds, each with a guarantee."""
    for index in range(number):
        yield {"name": f"team-{index:03d}", "cpus": 8.0, "cpus_max": 4000.0}


def main() -> int:
    """Run what the command line asks for, and print the counts as JSON; the exit status."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--workers", type=int, default=130, help="simulated workers")
    parser.add_argument("--controllers", type=int, default=9, help="real controllers")
    parser.add_argument("--teams", type=int, default=17, help="teams, each with a guarantee")
    parser.add_argument("--rate", type=float, default=60.0, help="task starts asked for a second")
    parser.add_argument(
        "--seconds", type=float, default=60.0, help="how long is counted, in virtual time"
    )
    parser.add_argument(
        "--write-rps", type=float, default=20.0, help="changes a second that the store takes"
    )
    parser.add_argument("--minutes", type=float, default=10.0, help="of real time at most")
    parser.add_argument("--seed", type=int, default=1, help="of everything random")
    options = parser.parse_args()
    logging.disable(logging.WARNING)
    limits = StoreLimits(300.0, options.write_rps, 12)
    cluster = ScaleCluster(
        options.seed, options.controllers, limits=list(teams(options.teams)), **limits._asdict()
    )
    cluster.store.write_rps, cluster.store.txn_ops = limits.write_rps, limits.txn_ops
    cluster.cloud.capacity = options.workers
    found: dict[str, Any] = {
        "workers": options.workers,
        "controllers": options.controllers,
        "teams": options.teams,
        "asked for a second": options.rate,
        "state service, changes a second": limits.write_rps,
    }
    began = time.monotonic()
    run(cluster, lambda: play(cluster, options, found))
    found["real time (s)"] = round(time.monotonic() - began, 1)
    found["rules broken"] = [str(broken) for broken in cluster.violations[:5]]
    print(json.dumps(found, indent=2))
    return 1 if cluster.violations else 2 if "ended early at" in found else 0


if __name__ == "__main__":
    sys.exit(main())
