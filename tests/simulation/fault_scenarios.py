"""Users and faults together: how a scenario is run, and how everything must end afterwards."""

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
# The deployments' ratio of `cancel_s` to `lease_s`: less than the leases of controller and worker
# together.
CANCEL_S = 32.0
# Once all faults are over, a job about which nothing is answered for so long is forgotten.
FORGOTTEN_AFTER_S = 75.0
# A job may wait so long then while a machine that fits has capacity and its team may use more.
LEFT_WAITING_S = 90.0
# How long faults wait for users to have submitted some jobs, in seconds.
_FIRST_JOBS_S = 10.0
_PERSISTENT_TRIES = 240
# The run time of tasks that do not end by themselves while a test lasts.
LONG_TASK_S = 500.0
# At most so many machines hang with the jobs that are cancelled.
_MOST_HUNG = 8


def leader(cluster: SimulatedCluster) -> int:
    """The controller to which most machines with work report."""
    reporting_controllers = Counter(
        machine.reporting_controller
        for machine, _ in cluster.present()
        if f"node-{machine.reporting_controller}" in cluster.nodes
    )
    if reporting_controllers:
        return reporting_controllers.most_common(1)[0][0]
    return cluster.rng.randrange(cluster.count)


async def check_recovery(cluster: SimulatedCluster, ids: list[str], seconds: float = 240.0) -> None:
    """End all cuts, start all controllers, and check that everything recovers.

    Every job is answered for, everything that was not cancelled completes within `seconds`, and
    nothing is left waiting although it could start.
    """
    cluster.network.heal()
    ended = now()
    for index in range(cluster.count):
        cluster.boot(index)
    for job_id in ids:
        while job_id not in cluster.accepted or await cluster.poll(job_id) is None:
            assert now() - ended < FORGOTTEN_AFTER_S, f"nothing is answered about {job_id}"
            await anyio.sleep(1.0)
    waiting_since: dict[str, float] = {}
    left = list(ids)
    while left and now() < ended + seconds:
        left = await cluster.until_done(left, 5.0)
        waiting_since = {
            job_id: waiting_since.get(job_id, now()) for job_id in cluster.left_waiting()
        }
        late = [job_id for job_id, at in waiting_since.items() if now() - at > LEFT_WAITING_S]
        assert not late, f"left waiting with room for them: {[cluster.specs[i] for i in late]}"
    assert not left, [(i, cluster.specs[i], await cluster.poll(i)) for i in left]
    for job_id in ids:
        if not cluster.is_cancelled(job_id):
            assert cluster.answers.over[job_id] == "done", job_id


async def run_with_faults(
    cluster: SimulatedCluster,
    scenarios: tuple[FaultScenario, ...],
    jobs: int,
    make_job: Callable[[SimulatedCluster, int], dict[str, Any]] = staggered_job,
    cancels: float = 0.3,
    every_s: tuple[float, float] = (0.3, 1.2),
) -> None:
    """Users submit, poll and cancel at intervals `every_s` while all the scenarios run at once.

    At least `jobs` jobs are submitted, and the share `cancels` of the steps cancels one.
    """
    await wait_until_healthy(cluster)
    ids: list[str] = []
    over = False

    async def use() -> None:
        number = 0
        while number < jobs or not over:
            if number < jobs or cluster.rng.random() < 0.2:
                spec = make_job(cluster, number)
                ids.append(spec["id"])
                cluster.network.tasks.start_soon(cluster.submit, spec, _PERSISTENT_TRIES)
                number += 1
            await anyio.sleep(cluster.rng.uniform(*every_s))
            known = [i for i in ids if i in cluster.accepted]
            if known and cluster.rng.random() < cancels:
                chosen = cluster.rng.choice(known[-6:])
                cluster.network.tasks.start_soon(cluster.cancel, chosen, _PERSISTENT_TRIES)
            if known:
                cluster.network.tasks.start_soon(cluster.poll, cluster.rng.choice(known))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(use)
        await anyio.sleep(_FIRST_JOBS_S)
        async with anyio.create_task_group() as faults:
            for scenario in scenarios:
                faults.start_soon(scenario, cluster)
        over = True
    await check_recovery(cluster, ids)


def run_and_expect(
    cluster: SimulatedCluster, main: Callable[[], Awaitable[None]], *observations: str
) -> None:
    """Run a test's main routine; no rule may break, and each of these must have been observed."""
    run(cluster, main)
    assert cluster.violations == [], cluster.violations[:3]
    missing = [name for name in observations if not cluster.observed[name]]
    assert not missing, f"not brought about: {missing}, of {dict(cluster.observed)}"


async def wait_until(holds: Callable[[], bool], seconds: float, step_s: float = 0.01) -> None:
    """Wait until a condition holds.

    Raises:
        TimeoutError: it does not within so many seconds.
    """
    with anyio.fail_after(seconds):
        while not holds():
            await anyio.sleep(step_s)


def running_tasks(cluster: SimulatedCluster, *ids: str) -> list[tuple[Machine, str]]:
    """The machines and names of tasks that run, of these jobs or of all."""
    return [
        (machine, task.name)
        for machine, task in cluster.present()
        if task.state == "running" and (not ids or task.spec["id"] in ids)
    ]


async def cancel_running_jobs(
    cluster: SimulatedCluster, count: int, hang_s: float = 0.0, node: int | None = None
) -> int:
    """Users cancel up to `count` running jobs within a fifth of a second; how many.

    With `hang_s` their machines hang for so many seconds.
    """
    found = running_tasks(cluster)
    jobs = list(dict.fromkeys(name.partition("/")[0] for _, name in found))
    jobs = [job_id for job_id in jobs if job_id not in cluster.cancelled_at]
    chosen = cluster.rng.sample(jobs, min(count, len(jobs)))
    if hang_s:
        hosts = {m.name: m for m, name in found if name.partition("/")[0] in chosen}
        for machine in list(hosts.values())[:_MOST_HUNG]:
            machine.hung_until = now() + hang_s
            cluster.observed["hung with cancelled work"] += 1

    async def cancel(job_id: str) -> None:
        await anyio.sleep(cluster.rng.uniform(0.0, 0.2))
        await cluster.cancel(job_id, _PERSISTENT_TRIES, node)

    for job_id in chosen:
        cluster.network.tasks.start_soon(cancel, job_id)
    cluster.observed["cancelled while it ran"] += len(chosen)
    return len(chosen)


async def run_long_jobs(cluster: SimulatedCluster, jobs: int, **fields: Any) -> list[str]:
    """Submit jobs of all kinds with tasks of `LONG_TASK_S`, and wait until all tasks run; the ids."""
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
    """End all faults, cancel these jobs, and check that everything recovers and nothing runs."""
    cluster.network.heal()
    cluster.store.outage(False)
    cluster.store.refused_sources = set()
    for index in range(cluster.count):
        cluster.boot(index)
    with anyio.fail_after(FORGOTTEN_AFTER_S):
        for job_id in ids:
            while await cluster.poll(job_id) is None:
                await anyio.sleep(0.5)
    for job_id in ids:
        assert await cluster.cancel(job_id, 60) == "cancelled"
    await check_recovery(cluster, ids)
    # A machine that cannot be commanded directly just then learns of it with its next heartbeat,
    # long before `cancel_s` has passed.
    await wait_until(lambda: not running_tasks(cluster), 2 * REPORT_S)


__all__ = [
    "CANCEL_S",
    "FORGOTTEN_AFTER_S",
    "LEASE_S",
    "LEFT_WAITING_S",
    "LONG_TASK_S",
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
