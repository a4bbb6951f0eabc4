"""Shared fixtures of the unit tests: submissions, a scheduler and machine inventories."""

from random import Random

import cbor2
import msgspec

from sandladder.agents import LeaseExpiryProof, Reconciler
from sandladder.config import Settings, TeamLimits
from sandladder.jobs import start, submit
from sandladder.model import AgentHeartbeat, Job, MachineInventory, MachineStatus, MachineType
from sandladder.protocol import job_messages
from sandladder.scheduling import ClusterView, Gate, Planner
from sandladder.state import FINISHED_JOB_PREFIX, StateCache, StoreLimits, Transaction
from simulation import job, settings

LIMITS = TeamLimits("red", 16.0, 48.0, 2.0, 4.0)


def spec(number: int = 1, **fields: object):
    return job_messages.parse_submission(cbor2.dumps(job(number, **fields))).spec


def commit(cache: StateCache, transaction: Transaction) -> None:
    """Apply a transaction to the cache as a successful commit does."""
    for key, version in transaction.expected_versions.items():
        finished_job = (
            cache.finished_jobs.get(key.rpartition("/")[2])
            if key.startswith(FINISHED_JOB_PREFIX)
            else None
        )
        assert version == (
            finished_job.version if finished_job and finished_job.archived else cache.version(key)
        )
    changes = [(key, value) for key, value, _ in transaction.changes()]
    cache.apply_own_commit(cache.revision + 1, changes)
    cache.apply(cache.revision + 1, [])


def scheduler_with_two_machines(
    value_kb: float = 8.0,
) -> tuple[ClusterView, Planner, StateCache, Reconciler]:
    """Return the scheduler of a controller to which two machines report."""
    cache, reconciler, gate = StateCache(), Reconciler(), Gate()
    for name in ("small", "large"):
        size = 4.0 if name == "small" else 16.0
        cache.machine_types[name] = MachineType(
            name, size, 0.0, 4 * size, 20.0, 1.0, 0.2, 0.1, 9.0, ("north", "south")
        )
    expiry_proof = LeaseExpiryProof("node-0", ["node-0"], 12.0, 0.0)
    base_settings = settings(0, 1)
    state = msgspec.structs.replace(base_settings.platform.deployment.state, value_kb=value_kb)
    deployment = msgspec.structs.replace(base_settings.platform.deployment, state=state)
    platform = msgspec.structs.replace(base_settings.platform, deployment=deployment)
    cluster_view = ClusterView(Settings(platform), cache, reconciler, expiry_proof, gate)
    reconciler.adopt_fencing_token(1)
    for name, kind, zone in (("vm-1", "small", "north"), ("vm-2", "large", "south")):
        heartbeat = AgentHeartbeat(name, f"{name}:1", kind, zone, False, 1, 1, 1, None, ())
        cluster_view.record_heartbeat(
            reconciler.receive_heartbeat(heartbeat, 0.0, direct=False).agent
        )
    limits = StoreLimits(state, cache)
    return cluster_view, Planner(cluster_view, limits, Random(1)), cache, reconciler


def accept(cache: StateCache, **fields: object) -> Job:
    transaction = Transaction(cache)
    submit(transaction, spec(**fields), 0.0)
    commit(cache, transaction)
    return cache.jobs[next(iter(transaction.jobs))]


def inventory(machines: int, images: int = 4, name_prefix: str = "vm-") -> MachineInventory:
    statuses = {}
    for number in range(machines):
        names = tuple(f"img-{(number + i) % 31}" for i in range(images))
        unusual = number % 9 == 0
        statuses[f"{name_prefix}{number:06d}"] = MachineStatus(
            "small" if number % 3 else "large",
            "north" if number % 2 else "south",
            bool(number % 5),
            1 + unusual,
            number % 40 / 10,
            12.5 if unusual else None,
            number % 2 if unusual else 0,
            names,
        )
    return MachineInventory(7, 99.5, 1234567, statuses)


def started_gang() -> tuple[StateCache, Planner, Job]:
    cluster_view, planner, cache, _ = scheduler_with_two_machines()
    gang = accept(cache, entries=3, form="group")
    transaction = Transaction(cache)
    start(transaction, gang.id, [i.placement for i in planner.plan([gang], {})], LIMITS)
    commit(cache, transaction)
    for pending_start in list(cluster_view.gate.pending.values()):
        cluster_view.gate.withdraw(pending_start)
    return cache, planner, cache.jobs[gang.id]
