"""Failed tasks: whether the job or the machine is at fault."""

from itertools import count
from typing import Any

import anyio
import pytest

from helpers import accept, commit, scheduler_with_two_machines
from sandladder.jobs import end
from sandladder.model import (
    AgentHeartbeat,
    Attempt,
    AttemptOutcome,
    EndedAttempt,
    Job,
    Placement,
    TaskStatus,
)
from sandladder.scheduling import UNHEALTHY_FAILURES
from sandladder.state import Transaction
from scheduling_scenes import commit_placements
from simulation import SimulatedCluster, job, run
from simulation.deployment import LEASE_S
from simulation.faults import running_machines
from simulation.workloads import wait_until_healthy

# The longest wait while a machine has room, in seconds.
MAX_WAIT_S = 90.0
# Two jobs that fail on every machine.
MISTAKEN = [job(number, docket="broken", entries=2) for number in (91, 92)]
DONE, ERROR = AttemptOutcome.DONE, AttemptOutcome.ERROR
SERVICE: dict[str, Any] = {
    "form": "service",
    "rank": "prod",
    "entries": 1,
    "vcpus": 9.0,
    "loaners": False,
    "expect_s": 0.0,
}


async def start_services(cluster: SimulatedCluster) -> None:
    """Start three machines, the only ones, and a replica on each that cannot be moved."""
    zones = ["north", "south", "north"]
    cluster.cloud.capacity = len(zones)
    for zone in zones:
        cluster.cloud.add("large", zone, False)
    await wait_until_healthy(cluster)
    for number, zone in enumerate(zones):
        await cluster.submit(job(number, district=zone, **SERVICE))
    for number in range(len(zones)):
        await cluster.until_running(f"job-{number:06d}", 1)


@pytest.mark.parametrize("cancelled", [True, False])
@pytest.mark.parametrize("seed", [61, 62])
def test_two_jobs_that_fail_everywhere_leave_the_machines_to_others(
    seed: int, cancelled: bool
) -> None:
    """Guards against sound machines that get no work any more after a few mistaken jobs."""
    cluster = SimulatedCluster(seed)

    async def main() -> None:
        await start_services(cluster)
        for spec in MISTAKEN:
            await cluster.submit(spec)
        await anyio.sleep(8.0)
        for spec in MISTAKEN if cancelled else []:
            assert await cluster.cancel(spec["id"]) == "cancelled"
        work = job(100, bureau="blue", entries=3, vcpus=4.0)
        await cluster.submit(work)
        assert not await cluster.until_done([work["id"]], MAX_WAIT_S)
        for spec in [] if cancelled else MISTAKEN:
            assert await cluster.cancel(spec["id"]) == "cancelled"

    run(cluster, main)
    assert cluster.violations == []


def test_a_faulty_machine_that_cannot_be_emptied_gets_work_only_now_and_then() -> None:
    """The other side: a machine that fails everything is left alone but for rare attempts."""
    cluster = SimulatedCluster(63)
    jobs = [job(100 + number, bureau="blue") for number in range(30)]

    async def main() -> None:
        await start_services(cluster)
        running_machines(cluster)[0].faulty = True
        for spec in jobs:
            await cluster.submit(spec)
            await anyio.sleep(4.0)
        assert not await cluster.until_done([spec["id"] for spec in jobs], MAX_WAIT_S)

    run(cluster, main)
    assert cluster.violations == []
    # Two jobs of two tasks in each period for which a failure counts, 36 s, of the 120 s and more.
    assert 1 <= cluster.failed_starts <= 2 * 2 * 5


class FailureScene:
    """A controller to which some machines report, with jobs whose tasks fail on them."""

    def __init__(self, machines: int) -> None:
        self.cluster_view, _, self.cache, self.reconciler = scheduler_with_two_machines()
        self.machines = [f"vm-{number}" for number in range(1, machines + 1)]
        self._sequence = count(2)
        for machine in self.machines:
            self.send_heartbeat(machine)

    def accept(self, number: int, **fields: object) -> Job:
        return accept(self.cache, number=number, vcpus=0.1, ram_gb=0.1, **fields)

    def send_heartbeat(self, machine: str, *tasks: TaskStatus) -> None:
        heartbeat = AgentHeartbeat(
            machine,
            f"{machine}:1",
            "small",
            "north",
            False,
            1,
            next(self._sequence),
            1,
            None,
            tasks,
        )
        agent, _ = self.reconciler.receive_heartbeat(heartbeat, self.cluster_view.now, direct=False)
        self.cluster_view.record_heartbeat(agent)

    def start(self, job_id: str, task: int, machine: str) -> Attempt:
        """Commit a start and return the attempt."""
        placement = Placement(task, machine, "north", 1)
        commit_placements(self.cache, self.cache.jobs[job_id], [placement])
        return self.cache.jobs[job_id].live[task]

    def run(self, job_id: str, task: int, machine: str, outcome: AttemptOutcome) -> None:
        """Start a task on a machine, where it ends with an outcome."""
        attempt = self.start(job_id, task, machine)
        self.send_heartbeat(
            machine, TaskStatus(job_id, task, attempt.attempt, "exited", outcome.value, False)
        )
        ended = EndedAttempt(job_id, task, attempt, outcome)
        self.cluster_view.note_ended(ended)
        transaction = Transaction(self.cache)
        end(transaction, [ended], 0.0)
        commit(self.cache, transaction)

    def errors(self) -> list[int]:
        """Return the number of failed jobs that count against each machine."""
        observations = [self.cluster_view.observation(machine) for machine in self.machines]
        return [observation.status.errors for observation in observations if observation]


def test_failures_of_jobs_that_fail_everywhere_do_not_count_against_machines() -> None:
    scene = FailureScene(4)
    jobs = [scene.accept(number) for number in (1, 2)]
    for machine in scene.machines[:2]:
        for failing in jobs:
            scene.run(failing.id, 0, machine, ERROR)
    # So far the two machines may be at fault.
    assert scene.errors() == [2, 2, 0, 0]
    scene.run(jobs[0].id, 0, scene.machines[2], ERROR)
    assert scene.errors() == [1, 1, 0, 0]
    scene.run(jobs[1].id, 0, scene.machines[2], ERROR)
    assert scene.errors() == [0, 0, 0, 0]
    scene.run(jobs[1].id, 0, scene.machines[3], ERROR)
    assert scene.errors() == [0, 0, 0, 0]


def test_failures_of_a_job_that_succeeds_elsewhere_count_against_machines() -> None:
    """The other side: machines that fail sound jobs are left alone, however many they are."""
    scene = FailureScene(6)
    faulty, sound = scene.machines[:4], scene.machines[4]
    jobs = [scene.accept(number, entries=6) for number in (1, 2)]
    for sound_job in jobs:
        scene.run(sound_job.id, 5, sound, DONE)
    for machine in faulty:
        for task, sound_job in enumerate(jobs):
            scene.run(sound_job.id, task, machine, ERROR)
    assert scene.errors() == [UNHEALTHY_FAILURES] * 4 + [0, 0]


def test_failures_of_a_job_that_runs_on_as_many_other_machines_count_against_machines() -> None:
    scene = FailureScene(6)
    running = scene.accept(1, entries=6)
    for task, machine in enumerate(scene.machines[3:]):
        scene.start(running.id, task, machine)
    for machine in scene.machines[:3]:
        scene.run(running.id, 5, machine, ERROR)
    assert scene.errors() == [1, 1, 1, 0, 0, 0]


def test_a_failed_job_counts_against_a_machine_for_three_leases() -> None:
    """Guards against a machine that gets no work for ever, and so can show no success."""
    scene = FailureScene(2)
    for number in (1, 2):
        scene.run(scene.accept(number).id, 0, "vm-1", ERROR)
    scene.cluster_view.now = 3 * LEASE_S
    scene.send_heartbeat("vm-1")
    assert scene.errors() == [UNHEALTHY_FAILURES, 0]
    scene.cluster_view.now += 0.1
    scene.send_heartbeat("vm-1")
    assert scene.errors() == [0, 0]


def test_a_done_task_clears_the_failures_of_its_machine() -> None:
    scene = FailureScene(2)
    for number in (1, 2):
        scene.run(scene.accept(number).id, 0, "vm-1", ERROR)
    scene.run(scene.accept(3).id, 0, "vm-1", DONE)
    assert scene.errors() == [0, 0]
