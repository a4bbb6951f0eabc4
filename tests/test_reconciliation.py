"""Tests of the reconciliation of agents: commands and proved ends derived from heartbeats."""

from helpers import LIMITS, accept, commit
from sandladder.agents import LeaseRenewalGuard, Reconciler, reported_ends
from sandladder.jobs import start
from sandladder.model import (
    AgentHeartbeat,
    Attempt,
    Command,
    EndedAttempt,
    EndEvidence,
    Placement,
    TaskStatus,
)
from sandladder.state import StateCache, Transaction
from simulation import settings

RUNNING = TaskStatus("job-000001", 0, 1, "running", "", False)
EXITED = TaskStatus("job-000001", 0, 1, "exited", "full", False)


def heartbeat(seq: int, token: int, *tasks: TaskStatus, agent_epoch: int = 1) -> AgentHeartbeat:
    """Return a heartbeat of the agent on vm-1."""
    return AgentHeartbeat(
        "vm-1", "vm-1:1", "small", "north", False, agent_epoch, seq, token, None, tasks
    )


def cache_with_starts(tasks: int) -> StateCache:
    """Return the records of one job whose tasks are all committed to epoch 1 of vm-1."""
    cache = StateCache()
    accept(cache, entries=tasks)
    transaction = Transaction(cache)
    placements = [Placement(task, "vm-1", "north", 1) for task in range(tasks)]
    start(transaction, "job-000001", placements, LIMITS)
    commit(cache, transaction)
    return cache


def test_a_start_is_sent_only_after_the_agent_accepts_the_token_and_the_cache_is_read() -> None:
    reconciler, cache = Reconciler(), cache_with_starts(1)
    reconciler.adopt_fencing_token(5)
    agent = reconciler.receive_heartbeat(heartbeat(1, 0), 0.0, direct=False).agent
    assert reconciler.commands(agent, cache) == []
    reconciler.receive_heartbeat(heartbeat(2, 5), 0.0, direct=False)
    assert reconciler.commands(agent, cache) == []
    agent.synced = True
    assert [c.operation for c in reconciler.commands(agent, cache)] == ["start"]
    # An attempt that was reported once is not started again, even if later heartbeats omit it.
    reconciler.receive_heartbeat(heartbeat(3, 5, RUNNING), 0.0, direct=False)
    reconciler.receive_heartbeat(heartbeat(4, 5), 0.0, direct=False)
    assert reconciler.commands(agent, cache) == []
    # An older heartbeat is ignored; a later token revokes the acceptance of the current one.
    assert not reconciler.receive_heartbeat(heartbeat(3, 5, RUNNING), 0.0, direct=False).is_new
    reconciler.receive_heartbeat(heartbeat(5, 6), 0.0, direct=False)
    assert not agent.accepts_token


def test_an_exited_task_is_not_forgotten_while_a_late_start_is_possible() -> None:
    reconciler, cache = Reconciler(), StateCache()
    reconciler.adopt_fencing_token(5)
    agent = reconciler.receive_heartbeat(heartbeat(1, 5, EXITED), 0.0, direct=False).agent
    agent.synced = True
    agent.unanswered_start_token = 5
    assert reconciler.commands(agent, cache) == []
    reconciler.adopt_fencing_token(6)
    reconciler.receive_heartbeat(heartbeat(2, 6, EXITED), 0.0, direct=False)
    assert [c.operation for c in reconciler.commands(agent, cache)] == ["forget"]
    agent.start_in_response = True
    assert reconciler.commands(agent, cache) == []


def test_a_heartbeat_response_has_only_stops_while_a_direct_command_is_in_flight() -> None:
    """Guards against running an attempt twice: the command may carry the same or a late start."""
    reconciler, cache = Reconciler(), cache_with_starts(1)
    reconciler.adopt_fencing_token(5)
    uncommitted = RUNNING._replace(job="job-000002")
    exited = EXITED._replace(job="job-000003")
    agent = reconciler.receive_heartbeat(
        heartbeat(1, 5, uncommitted, exited), 0.0, direct=False
    ).agent
    agent.synced = True
    operations = [c.operation for c in reconciler.response_commands(agent, cache)]
    assert operations == ["forget", "stop", "start"]
    agent.command_in_flight = True
    assert [c.operation for c in reconciler.response_commands(agent, cache)] == ["stop"]


def test_a_heartbeat_of_a_later_agent_epoch_proves_attempts_of_earlier_epochs_lost() -> None:
    cache, reconciler = cache_with_starts(1), Reconciler()
    reconciler.adopt_fencing_token(1)
    agent = reconciler.receive_heartbeat(heartbeat(9, 1, agent_epoch=2), 0.0, direct=False).agent
    attempt = Attempt("vm-1", "north", 1, 1)
    evidence = EndEvidence.LATER_EPOCH
    assert reported_ends(agent, cache) == [EndedAttempt("job-000001", 0, attempt, "lost", evidence)]


def test_any_response_stops_the_tasks_of_a_job_that_a_peer_announced_as_cancelled() -> None:
    cache, reconciler = cache_with_starts(2), Reconciler()
    reconciler.adopt_fencing_token(5)
    agent = reconciler.receive_heartbeat(heartbeat(1, 5, RUNNING), 0.0, direct=False).agent
    agent.synced = True
    assert [c.operation for c in reconciler.response_commands(agent, cache)] == ["start"]
    assert cache.add_peer_cancellations(["job-000001"], 7.0) == ["job-000001"]
    stops = [Command("stop", "job-000001", task, 1) for task in range(2)]
    assert reconciler.response_commands(agent, cache) == stops
    # Without a cache read since the acceptance, the response still stops the reported task.
    agent.synced = False
    assert reconciler.commands(agent, cache) == []
    assert reconciler.response_commands(agent, cache) == stops[:1]
    # Only a store read sent after the announcement certainly contains the cancellation.
    cache.expire_peer_cancellations(7.0)
    assert cache.is_cancelled("job-000001")
    cache.expire_peer_cancellations(7.1)
    assert not cache.is_cancelled("job-000001")


def test_an_unanswered_start_limits_the_renewal_of_the_agents_lease() -> None:
    """Guards against a late start that revives a cancelled task while the lease is renewed."""
    reconciler = Reconciler()
    reconciler.adopt_fencing_token(5)
    agent = reconciler.receive_heartbeat(heartbeat(1, 5), 0.0, direct=False).agent
    workers = settings().platform.deployment.workers
    guard = LeaseRenewalGuard("node-0", ["node-1"], 1, workers)
    guard.record_store_read(100.0)
    agent.unanswered_start_token = 5
    agent.late_start_cancellations_known_until = guard.cancellations_known_until()
    guard.record_store_read(100.0 + workers.cancellation_knowledge_age_s)
    later = 101.0 + workers.cancellation_knowledge_age_s
    assert guard.permits_renewal(later)
    assert not guard.permits_renewal(later, agent.late_start_cancellations_known_until)
    reconciler.adopt_fencing_token(6)
    reconciler.receive_heartbeat(heartbeat(2, 6), later, direct=False)
    assert guard.permits_renewal(later, agent.late_start_cancellations_known_until)
