"""A planted violation of each rule is found by its checker."""

from collections.abc import Callable
from typing import Any

import anyio
import cbor2
import pytest

from sandladder.transport import Response
from simulation import SimulatedCluster, job, now, rules
from simulation.event_loop import VirtualTimeEventLoop
from simulation.machines import Task
from simulation.workers import Worker

JOB = job(1, entries=4, vcpus=2.0)


def add_task(cluster: SimulatedCluster, machine: Worker, name: str, **fields: Any) -> Task:
    """Run a task of a job on a machine, with fields of the job's submission overridden."""
    spec = JOB | fields
    cluster.specs[spec["id"]] = spec
    task = Task(spec, f"{spec['id']}/{name}", 1, 10.0)
    task.state = "running"
    machine.tasks[f"{task.name}#1"] = task
    return task


def add_machine(cluster: SimulatedCluster, kind: str = "small", spot: bool = False) -> Worker:
    """Add a machine that is up."""
    machine = Worker(cluster, f"vm-{len(cluster.machines) + 1:06d}", kind, "north", spot)
    machine.state, machine.lease_started_at = "running", now()
    cluster.machines[machine.name] = machine
    return machine


def plant_ran_twice(cluster: SimulatedCluster) -> None:
    add_task(cluster, add_machine(cluster), "0")
    machine = add_machine(cluster)
    rules.check_task_start(cluster, machine, add_task(cluster, machine, "0"))


def plant_began_twice(cluster: SimulatedCluster) -> None:
    machine = add_machine(cluster)
    cluster.specs[JOB["id"]] = JOB
    for verb in ("run", "halt", "reap", "run"):
        machine.execute([{"verb": verb, "entry": f"{JOB['id']}/0", "try": 1, "mercy_s": 0.0}])


def plant_quota(cluster: SimulatedCluster) -> None:
    machine = add_machine(cluster)
    for number in range(25):
        add_task(cluster, machine, str(number))
    cluster.check()


def plant_wrong_place(cluster: SimulatedCluster) -> None:
    machine = add_machine(cluster, spot=True)
    rules.check_task_start(cluster, machine, add_task(cluster, machine, "0", loaners=False))


def plant_ran_cancelled(cluster: SimulatedCluster) -> None:
    add_task(cluster, add_machine(cluster), "0")
    cluster.cancelled_at[JOB["id"]] = now() - cluster.cancel_s - 1.0
    cluster.check()


def plant_too_early(cluster: SimulatedCluster) -> None:
    machine = add_machine(cluster)
    cluster.specs["job-000002"] = job(2)
    rules.check_task_start(cluster, machine, add_task(cluster, machine, "0", awaits=["job-000002"]))


def plant_orphaned(cluster: SimulatedCluster) -> None:
    cluster.specs[JOB["id"]] = JOB | {"awaits": ["job-000002"]}
    cluster.cancelled_at["job-000002"] = now() - cluster.cancel_s - 1.0
    rules.check_dependents_are_cancelled(cluster, JOB["id"], now())


def plant_started_cancelled(cluster: SimulatedCluster) -> None:
    cluster.cancelled_at[JOB["id"]] = now() - 1.0
    rules.check_committed_starts(cluster, f"s/j/{JOB['id']}", {"n": 1}, {"n": 2})


def plant_forgotten(cluster: SimulatedCluster) -> None:
    cluster.answers.check_state(JOB["id"], "pending", now() - 2.0, now() - 1.0)
    cluster.answers.check_unknown(JOB["id"], now(), 404)


def plant_invented(cluster: SimulatedCluster) -> None:
    rules.check_submitted(cluster, JOB["id"])


def plant_not_done(cluster: SimulatedCluster) -> None:
    cluster.specs[JOB["id"]] = JOB
    rules.check_done(cluster, JOB["id"])


def plant_went_back(cluster: SimulatedCluster) -> None:
    cluster.answers.check_state(JOB["id"], "done", now() - 2.0, now() - 1.0)
    cluster.answers.check_state(JOB["id"], "running", now(), now())


def plant_went_back_in_its_done_tasks(cluster: SimulatedCluster) -> None:
    cluster.answers.check_done_count(JOB["id"], 3, now() - 2.0, now() - 1.0)
    cluster.answers.check_done_count(JOB["id"], 2, now(), now())


def plant_went_back_behind_its_dependency(cluster: SimulatedCluster) -> None:
    cluster.answers.check_state("job-000002", "cancelled", now() - 2.0, now() - 1.0)
    cluster.answers.check_dependencies(JOB["id"], "pending", ["job-000002"], now())


def plant_mixed_up(cluster: SimulatedCluster) -> None:
    body = cbor2.dumps({"id": "job-000002", "standing": "pending"})
    cluster.users._state(JOB["id"], Response(200, body))


def plant_accepted_bad(cluster: SimulatedCluster) -> None:
    rules.check_acceptance(cluster, JOB | {"vcpus": 1000.0})


PLANTED: dict[str, Callable[[SimulatedCluster], None]] = {
    name.removeprefix("plant_"): plant
    for name, plant in list(globals().items())
    if name.startswith("plant_")
}


@pytest.mark.parametrize("rule", PLANTED)
def test_a_planted_violation_is_found(rule: str) -> None:
    cluster = SimulatedCluster(1)

    async def main() -> None:
        PLANTED[rule](cluster)

    anyio.run(main, backend_options={"loop_factory": VirtualTimeEventLoop})
    found = [violation.split()[1].removesuffix(":") for violation in cluster.violations]
    assert len(found) == 1 and rule.startswith(found[0])
