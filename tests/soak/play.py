"""One run: users and faults at the same time, then the recovery, and the verdict."""

import enum
from pathlib import Path
from typing import Any, NamedTuple

import anyio

from simulation.deployment import job
from simulation.event_loop import now
from simulation.workloads import pipeline, staggered_job, submit_in_order, wait_until_healthy
from soak.cluster import SoakCluster, run_soak
from soak.faults import FaultPlan, draw_faults, end_all, inject

# Intervals of the users' submissions, cancellations and questions, in seconds.
_USER_INTERVAL_S = (0.2, 0.8)
_CANCEL_SHARE, _PIPELINE_SHARE, _REPEAT_SHARE = 0.25, 0.1, 0.2
# Share of the answered commands that arrive once more.
_COPIED_COMMAND_SHARE = 0.5
_TRIES = 10_000
# The largest number of controllers of a run.
_MAX_CONTROLLERS = 5
# Time after the faults in which every accepted job must end, in seconds; far above what a busy
# machine needs, so that the verdict does not depend on its speed.
_RECOVERY_LIMIT_S = 600.0
_PROGRESS_INTERVAL_S = 10.0
# CPUs of a task that has a small machine for itself, and the tasks of one job.
_LARGE_TASK_CPUS, _TASKS_PER_JOB = 3.0, 40
# Above this number of workers, the store's limits are those of a larger deployment.
_LARGE_WORKERS = 60


class Verdict(enum.IntEnum):
    """The exit status of a run."""

    HELD = 0
    BROKEN = 1
    NOT_RUN = 2


class RunOptions(NamedTuple):
    """What a run plays."""

    seed: int
    seconds: float  # duration of the faults
    workers: int
    directory: Path


def teams(workers: int) -> list[dict[str, Any]]:
    """Return two teams whose limits let their jobs use all workers."""
    cpus = 4.0 * workers
    return [
        {"name": "red", "cpus": cpus / 3, "cpus_max": cpus, "gpus": 2.0, "gpus_max": 4.0},
        {"name": "blue", "cpus": cpus / 3, "cpus_max": cpus / 2},
    ]


class Run:
    """Plays one seed, and collects what was broken."""

    def __init__(self, options: RunOptions) -> None:
        self._options = options
        count = 3 + options.seed % (_MAX_CONTROLLERS - 2)
        state = {"write_rps": 90.0, "rps": 400.0} if options.workers > _LARGE_WORKERS else {}
        self.cluster = SoakCluster(
            options.seed, count, options.directory, teams(options.workers), **state
        )
        self.cluster.store.reads_late = True
        self.cluster.cloud.capacity = options.workers
        self.cluster.cloud.fast_boot_share = 0.3
        self.cluster.concurrent_read_share = 0.2
        self.cluster.cancel_at_end_share = 0.05
        self.cluster.network.command_copies.share = _COPIED_COMMAND_SHARE
        self.plans: list[FaultPlan] = draw_faults(options.seed, count, options.seconds)
        self.ids: list[str] = []

    def play(self) -> Verdict:
        """Play the run, write its record, and return the verdict."""
        (self._options.directory / "faults.txt").write_text("\n".join(map(str, self.plans)) + "\n")
        ready = anyio.Event()
        cluster = self.cluster

        async def main() -> None:
            await wait_until_healthy(cluster)
            ready.set()
            await self._fill_workers()
            await self._run_with_faults()
            await self._recover()

        try:
            run_soak(cluster, main)
        except BaseException as error:
            if not ready.is_set():
                (self._options.directory / "error.txt").write_text(repr(error))
                return Verdict.NOT_RUN
            raise
        broken = cluster.violations + cluster.processes.defects(cluster.count)
        (self._options.directory / "broken.txt").write_text("".join(f"{x}\n" for x in broken))
        return Verdict.BROKEN if broken else Verdict.HELD

    async def _fill_workers(self) -> None:
        """Submit long jobs, each task of which needs a small worker for itself, for most workers."""
        tasks = int(0.7 * self._options.workers)
        for number in range(0, tasks, _TASKS_PER_JOB):
            fields = {"entries": min(_TASKS_PER_JOB, tasks - number), "vcpus": _LARGE_TASK_CPUS}
            fields |= {"ram_gb": 4.0, "expect_s": 15.0, "far_s": 1.0, "image_gb": 0.5}
            self._submit([job(900_000 + number, **fields)])

    def _submit(self, specs: list[dict[str, Any]]) -> None:
        """Submit jobs in order in the background, until all are accepted."""
        self.ids += [spec["id"] for spec in specs]
        self.cluster.network.tasks.start_soon(submit_in_order, self.cluster, specs, _TRIES)

    async def _run_with_faults(self) -> None:
        """Run users until all faults are over."""
        async with anyio.create_task_group() as tasks:
            users = anyio.CancelScope()
            tasks.start_soon(self._run_users, users)
            async with anyio.create_task_group() as faults:
                for plan in self.plans:
                    faults.start_soon(inject, self.cluster, plan)
                faults.start_soon(anyio.sleep, self._options.seconds)
            users.cancel()

    async def _run_users(self, scope: anyio.CancelScope) -> None:
        """Submit, repeat, ask and cancel at random nodes."""
        cluster, rng, number = self.cluster, self.cluster.rng, 0
        with scope:
            while True:
                await anyio.sleep(rng.uniform(*_USER_INTERVAL_S))
                if rng.random() < _PIPELINE_SHARE:
                    specs = pipeline(cluster, number)
                else:
                    specs = [staggered_job(cluster, number)]
                self._submit(specs)
                number += len(specs)
                known = [job_id for job_id in self.ids if job_id in cluster.accepted]
                if not known:
                    continue
                recent = rng.choice(known[-8:])
                cluster.network.tasks.start_soon(cluster.poll, rng.choice(known))
                if rng.random() < _REPEAT_SHARE:
                    cluster.network.tasks.start_soon(cluster.submit_once, cluster.specs[recent])
                if rng.random() < _CANCEL_SHARE:
                    cluster.network.tasks.start_soon(cluster.cancel, recent, _TRIES)

    async def _recover(self) -> None:
        """End all faults, and wait until every job has ended, as its user expects."""
        cluster = self.cluster
        end_all(cluster)
        ended_at = now()
        left = list(self.ids)
        while left and now() - ended_at < _RECOVERY_LIMIT_S:
            left = await cluster.until_done(left, _PROGRESS_INTERVAL_S)
            print(
                f"{now() - ended_at:.0f} s after the faults: {len(left)} left", left[:4], flush=True
            )
        for job_id in left:
            cluster.record_violation("not_over", f"{job_id}: {await cluster.poll(job_id)}")
        for job_id in self.ids:
            state = cluster.answers.final_states.get(job_id)
            if state == "cancelled" and not cluster.is_cancelled(job_id):
                cluster.record_violation("went_back", f"{job_id} was not cancelled by its user")
        cluster.check()
        cluster.observed["recovered in seconds"] = int(now() - ended_at)
