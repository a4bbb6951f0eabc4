#!/usr/bin/env python3
"""Measure the task starts per second that real controllers sustain with simulated workers.

    python tools/scale_run.py [--workers 130] [--controllers 9] [--teams 17] [--rate 60]

All run in one process and in virtual time (`tests/simulation`).  The controllers are the real ones.
The workers implement leases, epochs, fencing tokens and tasks of the protocol but run nothing, and
the store enforces a deployment's limits.  As time is virtual, the store and the protocol bound the
starts; processor time is neither charged nor measured.  The safety rules are checked once a second
of virtual time.  `--minutes` bounds the real time.  `--faults` crashes controllers, cuts links and
ends machines during the load; `--copies` delivers a share of the answered commands once more.

Exit status: 1 if a rule was violated, 2 if the time ran out.
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
from simulation.faults import all_faults  # noqa: E402
from simulation.workloads import wait_until_healthy  # noqa: E402

# Of each cycle of jobs the first ones are urgent and small, the others are arrays.
_JOBS_PER_CYCLE, _URGENT_PER_CYCLE = 10, 2
_TASKS_PER_URGENT_JOB, _TASKS_PER_ARRAY = 10, 40
_TASK_DURATION_S = 8.0
# Seconds of load before the counts begin.
_WARM_UP_S = 20.0
_SAMPLE_INTERVAL_S = 0.25


class StoreLimits(NamedTuple):
    """Limits of the store: requests and writes per second, writes per transaction."""

    rps: float
    write_rps: float
    txn_ops: int


class ScaleCluster(SimulatedCluster):
    """A simulated cluster whose rules are checked once a second."""

    _checked_at = float("-inf")

    def check(self) -> None:
        """Check the rules about all tasks on machines, at most once a second."""
        if now() - self._checked_at >= 1.0:
            self._checked_at = now()
            super().check()


class SubmissionLoad:
    """Submits jobs at a steady rate and records when their tasks have started.

    Attributes:
        submitted_at: virtual time in seconds of each submission, by job.
        started_at: virtual time in seconds at which all tasks had started, by job.
        urgent: the urgent jobs.
    """

    def __init__(self, cluster: ScaleCluster, teams: list[str], starts_per_s: float) -> None:
        self._cluster, self._teams = cluster, teams
        tasks = (
            _URGENT_PER_CYCLE * _TASKS_PER_URGENT_JOB
            + (_JOBS_PER_CYCLE - _URGENT_PER_CYCLE) * _TASKS_PER_ARRAY
        )
        self._jobs_per_s = starts_per_s * _JOBS_PER_CYCLE / tasks
        self.submitted_at: dict[str, float] = {}
        self.started_at: dict[str, float] = {}
        self.urgent: set[str] = set()

    async def submit(self) -> None:
        """Submit jobs until cancelled."""
        number = 0
        while True:
            urgent = number % _JOBS_PER_CYCLE < _URGENT_PER_CYCLE
            spec = job(
                number,
                bureau=self._teams[number % len(self._teams)],
                rank="urgent" if urgent else "normal",
                entries=_TASKS_PER_URGENT_JOB if urgent else _TASKS_PER_ARRAY,
                vcpus=1.0,
                ram_gb=1.0,
                image_gb=0.1,
                expect_s=_TASK_DURATION_S,
                parcel=f"img-{number % 8}",
            )
            self.submitted_at[spec["id"]] = now()
            if urgent:
                self.urgent.add(spec["id"])
            self._cluster.network.tasks.start_soon(self._cluster.submit, spec, 240)
            number += 1
            await anyio.sleep(1 / self._jobs_per_s)

    async def watch(self) -> None:
        """Record when all tasks of each job have started, until cancelled."""
        while True:
            await anyio.sleep(_SAMPLE_INTERVAL_S)
            for job_id in [j for j in self.submitted_at if j not in self.started_at]:
                tasks = self._cluster.specs.get(job_id, {}).get("entries")
                names = (f"{job_id}/{task}" for task in range(tasks or 0))
                if tasks and all(self._cluster.starts[name] for name in names):
                    self.started_at[job_id] = now()

    def wait_times(self, since: float, urgent: bool) -> list[float]:
        """Return the waiting times of jobs until their start, or until now, in seconds.

        Args:
            since: the virtual time in seconds; jobs submitted earlier are not selected.
            urgent: whether to select the urgent jobs or the others.
        """
        return [
            self.started_at.get(job_id, now()) - submitted_at
            for job_id, submitted_at in self.submitted_at.items()
            if submitted_at >= since and (job_id in self.urgent) == urgent
        ]


def newest_token(cluster: ScaleCluster) -> int:
    """Return the newest fencing token of any controller; tokens are numbered from 1."""
    return max((node.reconciler.fencing_token for node in cluster.nodes.values()), default=0)


def percentile(values: list[float], percent: int) -> float:
    """Return a percentile of the values, or 0 if there are none."""
    return quantiles(values, n=100)[percent - 1] if len(values) > 1 else sum(values)


async def play(cluster: ScaleCluster, options: argparse.Namespace, counts: dict[str, Any]) -> None:
    """Start the workers, apply the load, and add the counts to `counts`."""
    deadline = time.monotonic() + 60 * options.minutes
    for number in range(options.workers):
        cluster.cloud.add("large", ZONES[number % len(ZONES)], False)
    for worker in cluster.cloud.workers.values():
        worker.boots_at = now()
    await wait_until_healthy(cluster)
    load = SubmissionLoad(cluster, [team["name"] for team in cluster.teams], options.rate)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(load.submit)
        tasks.start_soon(load.watch)
        if options.faults:
            tasks.start_soon(all_faults, cluster)
        await anyio.sleep(_WARM_UP_S)
        start_time, starts_before = now(), cluster.starts.total()
        writes_before = len(cluster.store.history)
        token_before = newest_token(cluster)
        starts_by_second: Counter[int] = Counter()
        while now() < start_time + options.seconds:
            starts = cluster.starts.total()
            await anyio.sleep(1.0)
            starts_by_second[int(now() - start_time)] = cluster.starts.total() - starts
            if time.monotonic() > deadline:
                counts["ended early at"] = round(now() - start_time, 1)
                break
        counted_s = now() - start_time
        counts |= {
            "seconds counted": round(counted_s, 1),
            "starts a second": round((cluster.starts.total() - starts_before) / counted_s, 1),
            "most starts in a second": max(starts_by_second.values()),
            "changes a second": round((len(cluster.store.history) - writes_before) / counted_s, 2),
            "tokens a minute": round(60 * (newest_token(cluster) - token_before) / counted_s, 1),
            "most tasks listed by a machine": max(len(m.tasks) for m in cluster.machines.values()),
            "copies delivered": cluster.observed["copied command"],
            "tasks running": len(cluster.tasks_on_machines()),
            "urgent wait p50, p99 (s)": _wait_percentiles(load, start_time, True),
            "other wait p50, p99 (s)": _wait_percentiles(load, start_time, False),
        }
        tasks.cancel_scope.cancel()


def _wait_percentiles(load: SubmissionLoad, since: float, urgent: bool) -> list[float]:
    waits = load.wait_times(since, urgent)
    return [round(percentile(waits, percent), 2) for percent in (50, 99)]


def teams(number: int) -> Iterator[dict[str, Any]]:
    """Yield the settings of teams, each with a guarantee and a limit too high to be reached."""
    for index in range(number):
        yield {"name": f"team-{index:03d}", "cpus": 8.0, "cpus_max": 4000.0}


def main() -> int:
    """Run the load, print the counts as JSON, and return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--workers", type=int, default=130, help="simulated workers")
    parser.add_argument("--controllers", type=int, default=9, help="real controllers")
    parser.add_argument("--teams", type=int, default=17, help="teams, each with a guarantee")
    parser.add_argument("--rate", type=float, default=60.0, help="task starts requested per second")
    parser.add_argument(
        "--seconds", type=float, default=60.0, help="duration of the count, in virtual time"
    )
    parser.add_argument(
        "--write-rps", type=float, default=20.0, help="writes per second that the store accepts"
    )
    parser.add_argument("--minutes", type=float, default=10.0, help="limit of real time")
    parser.add_argument("--faults", action="store_true", help="inject faults during the load")
    parser.add_argument(
        "--copies", type=float, default=0.0, help="share of the commands that arrive once more"
    )
    parser.add_argument("--seed", type=int, default=1, help="seed of the simulation")
    options = parser.parse_args()
    logging.disable(logging.WARNING)
    limits = StoreLimits(300.0, options.write_rps, 12)
    cluster = ScaleCluster(
        options.seed, options.controllers, limits=list(teams(options.teams)), **limits._asdict()
    )
    cluster.store.write_rps, cluster.store.txn_ops = limits.write_rps, limits.txn_ops
    cluster.cloud.capacity = options.workers
    cluster.network.command_copies.share = options.copies
    counts: dict[str, Any] = {
        "workers": options.workers,
        "controllers": options.controllers,
        "teams": options.teams,
        "faults": options.faults,
        "share of commands copied": options.copies,
        "asked for a second": options.rate,
        "state service, changes a second": limits.write_rps,
    }
    began = time.monotonic()
    run(cluster, lambda: play(cluster, options, counts))
    counts["real time (s)"] = round(time.monotonic() - began, 1)
    counts["rules broken"] = [str(violation) for violation in cluster.violations[:5]]
    print(json.dumps(counts, indent=2))
    return 1 if cluster.violations else 2 if "ended early at" in counts else 0


if __name__ == "__main__":
    sys.exit(main())
