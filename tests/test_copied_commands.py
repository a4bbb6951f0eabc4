"""Late copies of start commands that were carried out and answered start nothing again."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import pytest

from simulation import CANCEL_S, LEASE_S, SimulatedCluster, Worker, job, now, run
from simulation.fault_scenarios import LONG_TASK_S, wait_until
from simulation.faults import restart, running_machines
from simulation.workloads import wait_until_healthy

JOB_ID = "job-000001"
# Time for the copies to arrive and their tasks to begin, in seconds.
_AFTER_COPIES_S = 5.0
# Time within which a task is moved and its former attempt is forgotten, in seconds.
_MOVED_WITHIN_S = 90.0

Scene = Callable[[SimulatedCluster, Worker], Awaitable[None]]


def play(
    seed: int,
    scene: Scene,
    after: Callable[[SimulatedCluster, Worker], Awaitable[None]],
    **fields: Any,
) -> None:
    """Start a job, end an attempt of it, wait until it is forgotten, and deliver copies of its start.

    Args:
        seed: seed of the cluster.
        scene: ends attempts on the machine of the job's first task.
        after: delivers the copies, once the machine has forgotten these attempts.
        fields: fields of the job.
    """
    cluster = SimulatedCluster(seed)
    copies = cluster.network.command_copies

    async def main() -> None:
        await wait_until_healthy(cluster)
        # Keeps a machine in each zone from being returned.
        keeper = job(900, form="service", entries=4, rank="prod", breeds=["large"], apart=True)
        await cluster.submit(keeper)
        await cluster.until_running(keeper["id"], keeper["entries"], 60.0)
        copies.kept = []
        spec = {"vcpus": 1.0, "image_gb": 0.0, "breeds": ["large"], "expect_s": LONG_TASK_S}
        spec |= {"entries": 2} | fields
        await cluster.submit(job(1, **spec))
        await wait_until(lambda: runs(cluster, spec["entries"]), _MOVED_WITHIN_S)
        machine = machine_of_first_task(cluster)
        attempt = next(key for key in machine.tasks if key.startswith(f"{JOB_ID}/0#"))
        await scene(cluster, machine)
        await wait_until(lambda: attempt not in machine.tasks, _MOVED_WITHIN_S)
        await after(cluster, machine)
        await anyio.sleep(_AFTER_COPIES_S)
        cluster.check()

    run(cluster, main)
    assert cluster.violations == []


def runs(cluster: SimulatedCluster, tasks: int) -> bool:
    """Return whether all tasks of the job run."""
    live = [task for _, task in cluster.tasks_on_machines() if task.spec["id"] == JOB_ID]
    return len([task for task in live if task.state == "running"]) == tasks


def machine_of_first_task(cluster: SimulatedCluster) -> Worker:
    """Return the machine that runs the job's first task."""
    return next(
        worker
        for worker in running_machines(cluster)
        for task in worker.tasks.values()
        if task.name == f"{JOB_ID}/0" and task.on_machine
    )


async def task_fails(cluster: SimulatedCluster, machine: Worker) -> None:
    """Let the first task fail, and wait until it runs again."""
    task = next(task for task in machine.tasks.values() if task.name == f"{JOB_ID}/0")
    machine._exit(task, "error")
    await wait_until(lambda: runs(cluster, task.spec["entries"]), _MOVED_WITHIN_S)


async def machine_drains(cluster: SimulatedCluster, machine: Worker) -> None:
    """Announce the end of the machine, and wait until its tasks run elsewhere."""
    machine.notice_until = now() + _MOVED_WITHIN_S
    await wait_until(
        lambda: runs(cluster, 2) and machine_of_first_task(cluster) is not machine,
        _MOVED_WITHIN_S,
    )


async def machine_begins_anew(cluster: SimulatedCluster, machine: Worker) -> None:
    """Let the machine lose its tasks, its token and its count of messages, but not its epoch."""
    machine.tasks.clear()
    machine.begun.clear()
    machine.epoch, machine.sequence, machine.fencing_token = machine.epoch + 1, 0, 0
    machine.lease_started_at = now()


async def job_is_cancelled(cluster: SimulatedCluster, machine: Worker) -> None:
    """Cancel the job."""
    assert await cluster.cancel(JOB_ID) == "cancelled"


async def copies_arrive(cluster: SimulatedCluster, machine: Worker) -> None:
    """Deliver the copies of all commands to the machine."""
    assert cluster.network.command_copies.deliver_kept(target=machine.name)


async def copies_arrive_after_the_deadline_of_the_cancellation(
    cluster: SimulatedCluster, machine: Worker
) -> None:
    await anyio.sleep(CANCEL_S + 1.0)
    assert machine.state == "running"
    await copies_arrive(cluster, machine)


async def copies_arrive_as_a_controller_returns(cluster: SimulatedCluster, machine: Worker) -> None:
    """Restart the controller that started the task within a second, and deliver its commands."""
    copies = cluster.network.command_copies
    source = next(command.source for command in copies.kept or () if command.target == machine.name)
    await restart(cluster, int(source.rpartition("-")[2]), cluster.rng.uniform(0.1, 0.9))
    assert copies.deliver_kept(source, machine.name)


async def copies_arrive_while_the_machine_hangs(cluster: SimulatedCluster, machine: Worker) -> None:
    """Let the machine hang for less than a lease; it carries out the copies when it goes on."""
    machine.hung_until = now() + LEASE_S / 3
    await copies_arrive(cluster, machine)
    await anyio.sleep(LEASE_S / 3)


@pytest.mark.parametrize("seed", [1, 2, 4])
def test_a_copied_start_does_not_run_a_failed_task_that_was_moved(seed: int) -> None:
    play(seed, task_fails, copies_arrive)


@pytest.mark.parametrize("seed", [1, 2, 4])
def test_a_copied_start_does_not_run_a_replica_that_a_drain_moved(seed: int) -> None:
    play(seed, machine_drains, copies_arrive, form="service", rank="prod")


@pytest.mark.parametrize("seed", [1, 2, 4])
def test_a_copied_start_does_not_run_a_cancelled_task(seed: int) -> None:
    play(seed, job_is_cancelled, copies_arrive_after_the_deadline_of_the_cancellation)


@pytest.mark.parametrize("seed", [1, 2, 4])
def test_a_copied_start_does_not_run_the_former_attempt_of_a_gang(seed: int) -> None:
    play(seed, task_fails, copies_arrive, form="group", entries=3)


@pytest.mark.parametrize("seed", [1, 2, 4])
def test_a_start_copied_as_its_controller_returns_within_a_second_runs_nothing(seed: int) -> None:
    play(seed, task_fails, copies_arrive_as_a_controller_returns)


@pytest.mark.parametrize("seed", [1, 2, 4])
def test_a_start_copied_while_its_machine_hangs_runs_nothing(seed: int) -> None:
    play(seed, task_fails, copies_arrive_while_the_machine_hangs)


@pytest.mark.parametrize("seed", [1, 2, 4])
def test_a_copied_start_runs_nothing_on_a_machine_that_began_a_later_epoch_anew(seed: int) -> None:
    play(seed, machine_begins_anew, copies_arrive)
