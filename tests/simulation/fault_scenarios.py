"""Scenarios that run users and faults concurrently, and the checks of the recovery."""

from collections import Counter
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

import anyio

from simulation.cluster import SimulatedCluster, run
from simulation.deployment import LEASE_S, REPORT_S, job
from simulation.event_loop import now
from simulation.faults import restart, running_machines
from simulation.machines import Machine
from simulation.workloads import staggered_job, wait_until_healthy

FaultScenario = Callable[[SimulatedCluster], Coroutine[Any, Any, None]]
# Its ratio to `lease_s` is the same as in the deployments.  It is shorter than the leases of a
# controller and a worker combined.
CANCEL_S = 32.0
# Time after the end of all faults within which every job must be readable, in seconds.
READABLE_LIMIT_S = 75.0
# Time after the end of all faults within which a startable job must start, in seconds.
LIVENESS_LIMIT_S = 90.0
# Delay of the faults after the first submission, in seconds.
_FAULT_DELAY_S = 10.0
_PERSISTENT_TRIES = 240
# Run time of tasks that must outlast the test, in seconds.
LONG_TASK_S = 500.0
# Maximum number of machines that hang when their jobs are cancelled.
_MAX_HUNG_MACHINES = 8


def leader(cluster: SimulatedCluster) -> int:
    """Return the index of the controller that most machines with tasks report to.

    If no machine reports to a running controller, the index is random.
    """
    reporting_controllers = Counter(
        machine.reporting_controller
        for machine, _ in cluster.tasks_on_machines()
        if f"node-{machine.reporting_controller}" in cluster.nodes
    )
    if reporting_controllers:
        return reporting_controllers.most_common(1)[0][0]
    return cluster.rng.randrange(cluster.count)


async def check_recovery(cluster: SimulatedCluster, ids: list[str], seconds: float = 240.0) -> None:
    """Heal the network, start all controllers, and check that the cluster recovers.

    Every job is readable again, every job that was not cancelled completes within `seconds`, and no
    startable job is left pending.
    """
    cluster.network.heal()
    ended = now()
    for index in range(cluster.count):
        cluster.boot(index)
    for job_id in ids:
        while job_id not in cluster.accepted or await cluster.poll(job_id) is None:
            assert now() - ended < READABLE_LIMIT_S, f"no response about {job_id}"
            await anyio.sleep(1.0)
    waiting_since: dict[str, float] = {}
    left = list(ids)
    while left and now() < ended + seconds:
        left = await cluster.until_done(left, 5.0)
        waiting_since = {
            job_id: waiting_since.get(job_id, now()) for job_id in cluster.startable_jobs()
        }
        starved = [job_id for job_id, at in waiting_since.items() if now() - at > LIVENESS_LIMIT_S]
        assert not starved, f"startable jobs left pending: {[cluster.specs[i] for i in starved]}"
    assert not left, [(i, cluster.specs[i], await cluster.poll(i)) for i in left]
    for job_id in ids:
        if not cluster.is_cancelled(job_id):
            assert cluster.answers.final_states[job_id] == "done", job_id


async def run_with_faults(
    cluster: SimulatedCluster,
    scenarios: tuple[FaultScenario, ...],
    jobs: int,
    make_job: Callable[[SimulatedCluster, int], dict[str, Any]] = staggered_job,
    cancels: float = 0.3,
    every_s: tuple[float, float] = (0.3, 1.2),
) -> None:
    """Submit, poll and cancel jobs while all scenarios run concurrently, then check the recovery.

    Args:
        cluster: The cluster, not yet healthy.
        scenarios: The faults.
        jobs: Minimum number of jobs that are submitted.
        make_job: Makes the submission with a given number.
        cancels: Share of the steps that cancel a job.
        every_s: Range of the interval between steps, in seconds.
    """
    await wait_until_healthy(cluster)
    cluster.store.reads_late = True
    ids: list[str] = []
    faults_over = False

    async def run_users() -> None:
        number = 0
        while number < jobs or not faults_over:
            if number < jobs or cluster.rng.random() < 0.2:
                spec = make_job(cluster, number)
                ids.append(spec["id"])
                cluster.network.tasks.start_soon(cluster.submit, spec, _PERSISTENT_TRIES)
                number += 1
            await anyio.sleep(cluster.rng.uniform(*every_s))
            accepted = [i for i in ids if i in cluster.accepted]
            if accepted and cluster.rng.random() < cancels:
                to_cancel = cluster.rng.choice(accepted[-6:])
                cluster.network.tasks.start_soon(cluster.cancel, to_cancel, _PERSISTENT_TRIES)
            if accepted:
                cluster.network.tasks.start_soon(cluster.poll, cluster.rng.choice(accepted))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(run_users)
        await anyio.sleep(_FAULT_DELAY_S)
        async with anyio.create_task_group() as faults:
            for scenario in scenarios:
                faults.start_soon(scenario, cluster)
        faults_over = True
    await check_recovery(cluster, ids)


def run_and_expect(
    cluster: SimulatedCluster, main: Callable[[], Awaitable[None]], *observations: str
) -> None:
    """Run a test's main routine; check that no rule is violated and all observations occur."""
    run(cluster, main)
    assert cluster.violations == [], cluster.violations[:3]
    missing = [name for name in observations if not cluster.observed[name]]
    assert not missing, f"not observed: {missing}; observed: {dict(cluster.observed)}"


async def wait_until(condition: Callable[[], bool], seconds: float, step_s: float = 0.01) -> None:
    """Wait until a condition holds.

    Raises:
        TimeoutError: The condition does not hold within `seconds`.
    """
    with anyio.fail_after(seconds):
        while not condition():
            await anyio.sleep(step_s)


def running_tasks(cluster: SimulatedCluster, *ids: str) -> list[tuple[Machine, str]]:
    """Return the machine and name of each running task, of the given jobs or of all."""
    return [
        (machine, task.name)
        for machine, task in cluster.tasks_on_machines()
        if task.state == "running" and (not ids or task.spec["id"] in ids)
    ]


async def cancel_running_jobs(
    cluster: SimulatedCluster, count: int, hang_s: float = 0.0, node: int | None = None
) -> int:
    """Cancel up to `count` running jobs within 0.2 seconds, and return their number.

    Up to `_MAX_HUNG_MACHINES` of their machines hang for `hang_s` seconds.
    """
    tasks = running_tasks(cluster)
    jobs = list(dict.fromkeys(name.partition("/")[0] for _, name in tasks))
    jobs = [job_id for job_id in jobs if job_id not in cluster.cancelled_at]
    to_cancel = cluster.rng.sample(jobs, min(count, len(jobs)))
    if hang_s:
        hosts = {m.name: m for m, name in tasks if name.partition("/")[0] in to_cancel}
        for machine in list(hosts.values())[:_MAX_HUNG_MACHINES]:
            machine.hung_until = now() + hang_s
            cluster.observed["hung with cancelled tasks"] += 1

    async def cancel(job_id: str) -> None:
        await anyio.sleep(cluster.rng.uniform(0.0, 0.2))
        await cluster.cancel(job_id, _PERSISTENT_TRIES, node)

    for job_id in to_cancel:
        cluster.network.tasks.start_soon(cancel, job_id)
    cluster.observed["cancelled while it ran"] += len(to_cancel)
    return len(to_cancel)


async def run_long_jobs(cluster: SimulatedCluster, jobs: int, **fields: Any) -> list[str]:
    """Submit jobs of all kinds with long tasks, wait until all tasks run, and return the ids."""
    kinds: list[dict[str, Any]] = [
        {"entries": 2},
        {"entries": 1, "bureau": "blue"},
        {"entries": 2, "form": "group"},
        {"entries": 2, "bookmark_s": 3.0, "stamp_s": 2.0},
    ]
    specs = [
        job(
            number,
            **{"vcpus": 1.0, "expect_s": LONG_TASK_S, **kinds[number % len(kinds)], **fields},
        )
        for number in range(jobs)
    ]
    for spec in specs:
        assert await cluster.submit(spec) == 201
    tasks = sum(spec["entries"] for spec in specs)
    await wait_until(lambda: len(running_tasks(cluster)) == tasks, 120.0, 0.2)
    return [spec["id"] for spec in specs]


async def cancel_all_and_recover(cluster: SimulatedCluster, ids: list[str]) -> None:
    """End all faults, cancel the jobs, and check the recovery and that no task runs."""
    cluster.network.heal()
    cluster.store.outage(False)
    cluster.store.refused_sources = set()
    for index in range(cluster.count):
        cluster.boot(index)
    with anyio.fail_after(READABLE_LIMIT_S):
        for job_id in ids:
            while await cluster.poll(job_id) is None:
                await anyio.sleep(0.5)
    for job_id in ids:
        assert await cluster.cancel(job_id, 60) == "cancelled"
    await check_recovery(cluster, ids)
    # A machine that misses the direct command gets it with the response to its next heartbeat.
    await wait_until(lambda: not running_tasks(cluster), 2 * REPORT_S)


__all__ = [
    "CANCEL_S",
    "LEASE_S",
    "LIVENESS_LIMIT_S",
    "LONG_TASK_S",
    "READABLE_LIMIT_S",
    "FaultScenario",
    "cancel_all_and_recover",
    "cancel_running_jobs",
    "check_recovery",
    "leader",
    "restart",
    "run_and_expect",
    "run_long_jobs",
    "run_with_faults",
    "running_machines",
    "running_tasks",
    "wait_until",
]
