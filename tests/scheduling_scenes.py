"""Helpers of the scheduling tests: commits of starts and ends, and heartbeats."""

from helpers import LIMITS, commit
from sandladder.jobs import end, start
from sandladder.model import AgentHeartbeat, EndedAttempt, Job, Placement
from sandladder.scheduling import ClusterView, Gate
from sandladder.state import StateCache, Transaction

# The machines of `helpers.scheduler_with_two_machines`: name, type and zone.
MACHINES = (("vm-1", "small", "north"), ("vm-2", "large", "south"))
ZONE_BY_MACHINE = {name: zone for name, _, zone in MACHINES}


def commit_starts(cluster_view: ClusterView, job: Job, *machines: str) -> Job:
    """Commit starts of a job's first tasks on the named machines; return the updated job."""
    placements = [
        Placement(task, machine, ZONE_BY_MACHINE[machine], 1)
        for task, machine in enumerate(machines)
    ]
    commit_placements(cluster_view.cache, job, placements)
    for machine in dict.fromkeys(machines):
        cluster_view.machine_changed(machine)
    return cluster_view.cache.jobs[job.id]


def commit_placements(cache: StateCache, job: Job, placements: list[Placement]) -> None:
    """Commit the starts of placed tasks."""
    transaction = Transaction(cache)
    start(transaction, job.id, placements, LIMITS)
    commit(cache, transaction)


def commit_ends(cluster_view: ClusterView, job: Job) -> None:
    """Commit the ends of all running tasks of a job."""
    cache = cluster_view.cache
    live = cache.jobs[job.id].live
    transaction = Transaction(cache)
    assert end(transaction, [EndedAttempt(job.id, task, live[task], "done") for task in live], 0.0)
    commit(cache, transaction)
    for machine in {attempt.machine for attempt in live.values()}:
        cluster_view.machine_changed(machine)


def send_heartbeats(cluster_view: ClusterView, seq: int) -> None:
    """Record a heartbeat of every machine with this sequence number."""
    for name, kind, zone in MACHINES:
        heartbeat = AgentHeartbeat(name, f"{name}:1", kind, zone, False, 1, seq, 1, None, ())
        result = cluster_view.reconciler.receive_heartbeat(
            heartbeat, cluster_view.now, direct=False
        )
        cluster_view.record_heartbeat(result.agent)


def withdraw_all(gate: Gate) -> None:
    """Withdraw all pending starts."""
    for pending_start in list(gate.pending.values()):
        gate.withdraw(pending_start)
