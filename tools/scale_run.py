#!/usr/bin/env python3
"""How many task starts a second real controllers carry, with hollow workers, in virtual time.

    python tools/scale_run.py [--workers 130] [--controllers 9] [--teams 17] [--rate 60]

All share one process: the controllers are the real ones, the workers keep leases, sessions, tokens
and tasks by the protocol and run nothing, and the state service keeps to a deployment's limits
(`tests/world.py`).  Time is virtual, so what bounds the starts is the state service and the
protocol; processor time is not charged and not measured.  The rules are checked once a second of
the run.  Bounded in time by --minutes.  Exit status 1 if a rule broke, 2 if the time ran out.
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

from days import warm  # noqa: E402
from world import ZONES, World, job, now, run  # noqa: E402

# The mix: of ten jobs, two are urgent and small; the rest are arrays.
_OF_JOBS, _URGENT = 10, 2
_URGENT_TASKS, _ARRAY_TASKS = 10, 40
_TASK_S = 8.0
# Before the load is counted it has been on for so long.
_SETTLE_S = 20.0
_SAMPLE_S = 0.25


class StateLimits(NamedTuple):
    """What the state service takes: requests and changes a second, changes a transaction."""

    rps: float
    write_rps: float
    txn_ops: int


class TimeIsUpError(Exception):
    """The run took longer than it may."""


class ScaleWorld(World):
    """The stand-in world, its checks over everything made once a second."""

    _checked_at = float("-inf")

    def check(self) -> None:
        """The rules about everything that is on a machine, now and then."""
        if now() - self._checked_at >= 1.0:
            self._checked_at = now()
            super().check()


class WorkerLoad:
    """Users who submit jobs at a steady rate, and when each was submitted and had begun."""

    def __init__(self, world: ScaleWorld, teams: list[str], starts_per_s: float) -> None:
        self._world, self._teams = world, teams
        tasks = _URGENT * _URGENT_TASKS + (_OF_JOBS - _URGENT) * _ARRAY_TASKS
        self._jobs_per_s = starts_per_s * _OF_JOBS / tasks
        self.submitted: dict[str, float] = {}
        self.started_tasks: dict[str, float] = {}  # when all tasks of a job had started
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
            self._world.network.tasks.start_soon(self._world.submit, spec, 240)
            number += 1
            await anyio.sleep(1 / self._jobs_per_s)

    async def watch(self) -> None:
        """Note when jobs have begun, until cancelled."""
        while True:
            await anyio.sleep(_SAMPLE_S)
            for job_id in [j for j in self.submitted if j not in self.started_tasks]:
                tasks = self._world.specs.get(job_id, {}).get("entries")
                names = (f"{job_id}/{task}" for task in range(tasks or 0))
                if tasks and all(self._world.starts[name] for name in names):
                    self.started_tasks[job_id] = now()

    def waits(self, since: float, urgent: bool) -> list[float]:
        """How long jobs submitted since then waited, those that still wait as long as so far."""
        return [
            self.started_tasks.get(job_id, now()) - at
            for job_id, at in self.submitted.items()
            if at >= since and (job_id in self.urgent) == urgent
        ]


def percentile(values: list[float], percent: int) -> float:
    """A percentile in the values' unit; 0 of none."""
    return quantiles(values, n=100)[percent - 1] if len(values) > 1 else sum(values)


async def play(world: ScaleWorld, options: argparse.Namespace, found: dict[str, Any]) -> None:
    """Bring the workers up, put the load on, and count."""
    ends = time.monotonic() + 60 * options.minutes
    for number in range(options.workers):
        world.cloud.add("large", ZONES[number % len(ZONES)], False)
    for worker in world.cloud.workers.values():
        worker.boots_at = now()
    await warm(world)
    load = WorkerLoad(world, [team["name"] for team in world.teams], options.rate)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(load.submit)
        tasks.start_soon(load.watch)
        await anyio.sleep(_SETTLE_S)
        began, before = now(), world.starts.total()
        changes = len(world.store.history)
        by_second: Counter[int] = Counter()
        while now() < began + options.seconds:
            at = world.starts.total()
            await anyio.sleep(1.0)
            by_second[int(now() - began)] = world.starts.total() - at
            if time.monotonic() > ends:
                found["ended early at"] = round(now() - began, 1)
                break
        counted_s = now() - began
        found |= {
            "seconds counted": round(counted_s, 1),
            "starts a second": round((world.starts.total() - before) / counted_s, 1),
            "most starts in a second": max(by_second.values()),
            "changes a second": round((len(world.store.history) - changes) / counted_s, 2),
            "tasks running": len(world.present()),
            "urgent wait p50, p99 (s)": _waits(load, began, True),
            "other wait p50, p99 (s)": _waits(load, began, False),
        }
        tasks.cancel_scope.cancel()


def _waits(load: WorkerLoad, since: float, urgent: bool) -> list[float]:
    waits = load.waits(since, urgent)
    return [round(percentile(waits, percent), 2) for percent in (50, 99)]


def teams(number: int) -> Iterator[dict[str, Any]]:
    """Teams without a limit that binds, each with a guarantee."""
    for index in range(number):
        yield {"name": f"team-{index:03d}", "cpus": 8.0, "cpus_max": 4000.0}


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--workers", type=int, default=130)
    parser.add_argument("--controllers", type=int, default=9)
    parser.add_argument("--teams", type=int, default=17)
    parser.add_argument("--rate", type=float, default=60.0, help="task starts asked for a second")
    parser.add_argument("--seconds", type=float, default=60.0, help="how long is counted")
    parser.add_argument("--write-rps", type=float, default=20.0, help="of the state service")
    parser.add_argument("--minutes", type=float, default=10.0, help="of real time at most")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    logging.disable(logging.WARNING)
    limits = StateLimits(300.0, options.write_rps, 12)
    world = ScaleWorld(
        options.seed, options.controllers, limits=list(teams(options.teams)), **limits._asdict()
    )
    world.store.write_rps, world.store.txn_ops = limits.write_rps, limits.txn_ops
    world.cloud.most = options.workers
    found: dict[str, Any] = {
        "workers": options.workers,
        "controllers": options.controllers,
        "teams": options.teams,
        "asked for a second": options.rate,
        "state service, changes a second": limits.write_rps,
    }
    began = time.monotonic()
    run(world, lambda: play(world, options, found))
    found["real time (s)"] = round(time.monotonic() - began, 1)
    found["rules broken"] = [str(broken) for broken in world.broken[:5]]
    print(json.dumps(found, indent=2))
    return 1 if world.broken else 2 if "ended early at" in found else 0


if __name__ == "__main__":
    sys.exit(main())
