"""Builds the state of a controller at a given size: machines, jobs and committed starts."""

from random import Random
from typing import NamedTuple

import msgspec

from sandladder.agents import LeaseExpiryProof, Reconciler
from sandladder.config import (
    AgentSettings,
    CloudSettings,
    Deployment,
    Platform,
    ServiceAddresses,
    Settings,
    StoreSettings,
    TeamLimits,
)
from sandladder.jobs import start, submit
from sandladder.model import (
    ARRAY,
    NORMAL,
    SCHEMA_V2,
    AgentHeartbeat,
    JobSpec,
    MachineType,
    Placement,
    TaskStatus,
    TeamAssignment,
)
from sandladder.scheduling import ClusterView, Gate, Planner
from sandladder.state import (
    SCHEMA_VERSION_KEY,
    TEAM_PREFIX,
    StateCache,
    StoreLimits,
    Transaction,
    assignment_value,
    schema_version_value,
)

NODE, FENCING_TOKEN = "node-0", 1
ZONES = ("a1", "a2", "b1", "b2")
TYPE = MachineType("worker", 32.0, 0.0, 128.0, 80.0, 1.0, 1.0, 0.3, 30.0, ZONES)
ASSIGNMENT = TeamAssignment(NODE, FENCING_TOKEN)
TASK_CPUS = 1.0


class ControllerState(NamedTuple):
    """The cached records of a controller and the components that use them."""

    cache: StateCache
    cluster_view: ClusterView
    planner: Planner
    limits: StoreLimits
    reconciler: Reconciler


def platform(teams: int, controllers: int, value_kb: float = 8.0) -> Platform:
    """Return the settings of a deployment."""
    return Platform(
        node_name=NODE,
        location=ZONES[0],
        api_addr="127.0.0.1:1",
        mesh_addr="127.0.0.1:2",
        external=ServiceAddresses("127.0.0.1:3", "127.0.0.1:4"),
        deployment=Deployment(
            zones=list(ZONES),
            workers=AgentSettings(report_s=2.5, lease_s=16.0, cancel_s=40.0),
            state=StoreSettings(rps=300.0, write_rps=20.0, value_kb=value_kb, txn_ops=12),
            cloud=CloudSettings(rps=10.0, list_lag_s=6.0),
            teams=[TeamLimits(team_name(n), 8.0, 4000.0) for n in range(teams)],
        ),
    )


def team_name(number: int) -> str:
    return f"team-{number:03d}"


def job_spec(number: int, tasks: int, team: int = 0) -> JobSpec:
    """Return the specification of a job array."""
    return JobSpec(
        f"job-{number:06d}", "batch", team_name(team), ARRAY, NORMAL, tasks, TASK_CPUS, 0.0, 2.0,
        f"img-{number % 31}", 1.0, None, None, False, False, True, 8.0, 0.0, 0.0, 60.0,
    )  # fmt: skip


def machine_name(number: int) -> str:
    return f"vm-{number:06d}"


def heartbeat(number: int, tasks: list[TaskStatus], seq: int = 1) -> AgentHeartbeat:
    """Return the heartbeat of a machine with the status of its tasks."""
    name, zone = machine_name(number), ZONES[number % len(ZONES)]
    return AgentHeartbeat(
        name, f"{name}:9000", TYPE.name, zone, True, 1, seq, FENCING_TOKEN, None, tuple(tasks)
    )


def build(
    machines: int, teams: int = 1, controllers: int = 9, value_kb: float = 8.0
) -> ControllerState:
    """Return a state without jobs, with machines that send heartbeats to this controller."""
    cache, reconciler, gate = StateCache(), Reconciler(), Gate()
    cache.machine_types[TYPE.name] = TYPE
    settings = Settings(platform(teams, controllers, value_kb))
    names = [f"node-{n}" for n in range(controllers)]
    lease_expiry = LeaseExpiryProof(NODE, names, 16.0, 0.0)
    cluster_view = ClusterView(settings, cache, reconciler, lease_expiry, gate)
    reconciler.adopt_fencing_token(FENCING_TOKEN)
    for number in range(machines):
        response = reconciler.receive_heartbeat(heartbeat(number, []), 0.0, direct=False)
        cluster_view.record_heartbeat(response.agent)
    limits = StoreLimits(settings.platform.deployment.state, cache)
    items: list[tuple[str, object]] = [(SCHEMA_VERSION_KEY, schema_version_value(SCHEMA_V2))]
    items += [(TEAM_PREFIX + team_name(n), assignment_value(ASSIGNMENT)) for n in range(teams)]
    apply(cache, items)
    return ControllerState(
        cache, cluster_view, Planner(cluster_view, limits, Random(1)), limits, reconciler
    )


def apply(cache: StateCache, changes: list[tuple[str, object]]) -> None:
    """Apply changes as a commit of the store does."""
    revision = cache.revision + 1
    cache.apply_own_commit(revision, changes)
    cache.apply(revision, [])


def add_jobs(
    state: ControllerState, jobs: int, tasks: int, first: int = 0, teams: int = 1
) -> list[str]:
    """Commit the submission of jobs with a number of tasks each, and return their ids."""
    ids = []
    for number in range(first, first + jobs):
        transaction = Transaction(state.cache)
        spec = job_spec(number, tasks, number % teams)
        submit(transaction, spec, 0.0)
        apply(state.cache, [(key, value) for key, value, _ in transaction.changes()])
        ids.append(spec.id)
    return ids


def start_all(state: ControllerState, job_ids: list[str], machines: int) -> None:
    """Commit a start of each pending task, on the machines in rotation."""
    number = 0
    for job_id in job_ids:
        placements = []
        for task in state.cache.jobs[job_id].pending():
            machine = number % machines
            zone = ZONES[machine % len(ZONES)]
            placements.append(Placement(task, machine_name(machine), zone, 1))
            number += 1
        transaction = Transaction(state.cache)
        team = state.cache.jobs[job_id].spec.team
        start(transaction, job_id, placements, TeamLimits(team), ASSIGNMENT)
        apply(state.cache, [(key, value) for key, value, _ in transaction.changes()])


def encoded(value: object) -> bytes:
    """Return the encoding of a record in the store."""
    return msgspec.json.encode(value)
