"""Tests of the reconciliation of agents: commands and proved ends derived from heartbeats."""

import pytest

from helpers import LIMITS, accept, commit
from sandladder.agents import CommandBatch, LeaseRenewalGuard, Reconciler, reported_ends
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
    assert not agent.accepts_token
    agent.synced = True
    assert reconciler.direct_batch(agent, cache).commands == []
    assert reconciler.response_batch(agent, cache) == CommandBatch(5, [])
    agent.synced = False
    reconciler.receive_heartbeat(heartbeat(2, 5), 0.0, direct=False)
    assert reconciler.direct_batch(agent, cache).commands == []
    agent.synced = True
    assert [c.operation for c in reconciler.direct_batch(agent, cache).commands] == ["start"]
    # An attempt that was reported once is not started again, even if later heartbeats omit it.
    reconciler.receive_heartbeat(heartbeat(3, 5, RUNNING), 0.0, direct=False)
    reconciler.receive_heartbeat(heartbeat(4, 5), 0.0, direct=False)
    assert reconciler.direct_batch(agent, cache).commands == []
    # An older heartbeat is ignored; a later token revokes the acceptance of the current one.
    assert not reconciler.receive_heartbeat(heartbeat(3, 5, RUNNING), 0.0, direct=False).is_new
    reconciler.receive_heartbeat(heartbeat(5, 6), 0.0, direct=False)
    assert not agent.accepts_token


@pytest.mark.parametrize("direct", [True, False], ids=["direct", "in a response"])
def test_an_exited_task_is_not_forgotten_under_the_token_of_its_start(direct: bool) -> None:
    reconciler, cache = Reconciler(), StateCache()
    reconciler.adopt_fencing_token(5)
    agent = reconciler.receive_heartbeat(heartbeat(1, 5, RUNNING), 0.0, direct=False).agent
    agent.synced = True
    started = CommandBatch(5, [Command("start", "job-000001", 0, 1)])
    reconciler.record_sent(agent, started, direct=direct)
    reconciler.receive_heartbeat(heartbeat(2, 5, EXITED), 0.0, direct=False)
    assert reconciler.direct_batch(agent, cache).commands == []
    assert reconciler.response_batch(agent, cache) == CommandBatch(5, [])
    # Another controller acquired token 6, so only a response may carry token 7.
    reconciler.adopt_fencing_token(7)
    assert agent.accepts_token and agent.synced
    assert reconciler.direct_batch(agent, cache) == CommandBatch(5, [])
    forget = CommandBatch(7, [Command("forget", "job-000001", 0, 1)])
    assert reconciler.response_batch(agent, cache) == forget
    # Without a gap, a direct command may.
    reconciler.receive_heartbeat(heartbeat(3, 7, EXITED), 0.0, direct=False)
    reconciler.record_sent(agent, CommandBatch(7, started.commands), direct=direct)
    reconciler.receive_heartbeat(heartbeat(4, 7, EXITED), 0.0, direct=False)
    assert reconciler.response_batch(agent, cache) == CommandBatch(7, [])
    reconciler.adopt_fencing_token(8)
    forget = CommandBatch(8, forget.commands)
    assert reconciler.direct_batch(agent, cache) == forget
    assert reconciler.response_batch(agent, cache) == forget


def test_an_exited_task_that_another_controller_started_is_forgotten_at_once() -> None:
    reconciler, cache = Reconciler(), StateCache()
    reconciler.adopt_fencing_token(5)
    agent = reconciler.receive_heartbeat(heartbeat(1, 5, EXITED), 0.0, direct=False).agent
    agent.synced = True
    forget = CommandBatch(5, [Command("forget", "job-000001", 0, 1)])
    assert reconciler.response_batch(agent, cache) == forget


def test_an_agent_that_awaits_no_later_token_keeps_the_one_that_it_shows() -> None:
    """Guards against heartbeats of all agents at once after each acquired token."""
    reconciler, cache = Reconciler(), cache_with_starts(1)
    reconciler.adopt_fencing_token(5)
    agent = reconciler.receive_heartbeat(heartbeat(1, 5), 0.0, direct=False).agent
    agent.synced = True
    for token in (6, 9):
        reconciler.adopt_fencing_token(token)
        start_command = CommandBatch(5, [Command("start", "job-000001", 0, 1)])
        assert reconciler.direct_batch(agent, cache) == start_command
        assert reconciler.response_batch(agent, cache) == start_command


def test_an_agent_without_a_token_accepts_only_the_first_token_of_all_controllers() -> None:
    """Guards against two controllers that command a new machine under no token."""
    for first_token in (1, 2):
        reconciler, cache = Reconciler(), cache_with_starts(1)
        before = reconciler.receive_heartbeat(heartbeat(1, 0), 0.0, direct=False).agent
        assert not before.accepts_token
        reconciler.adopt_fencing_token(first_token)
        agent = reconciler.receive_heartbeat(heartbeat(2, 0), 0.0, direct=False).agent
        assert agent.accepts_token == (first_token == 1)
        agent.synced = agent.accepts_token
        assert reconciler.direct_batch(agent, cache).token == first_token
        assert reconciler.response_batch(agent, cache).token == first_token


def test_an_agent_that_shows_a_token_acquired_between_two_of_ours_is_read_again() -> None:
    reconciler, cache = Reconciler(), cache_with_starts(1)
    reconciler.adopt_fencing_token(5)
    agent = reconciler.receive_heartbeat(heartbeat(1, 5), 0.0, direct=False).agent
    agent.synced = True
    reconciler.adopt_fencing_token(7)
    reconciler.receive_heartbeat(heartbeat(2, 6), 0.0, direct=False)
    assert not agent.accepts_token
    assert reconciler.response_batch(agent, cache) == CommandBatch(7, [])
    reconciler.receive_heartbeat(heartbeat(3, 7), 0.0, direct=False)
    assert agent.accepts_token and not agent.synced
    assert reconciler.direct_batch(agent, cache).commands == []


@pytest.mark.parametrize(
    "malformed",
    [heartbeat(9, 4, EXITED), heartbeat(9, 5, EXITED, agent_epoch=0), heartbeat(1, 0, EXITED)],
    ids=["a token that goes back", "an epoch that goes back", "a machine that begins anew"],
)
def test_a_heartbeat_that_goes_back_proves_no_end_and_gets_no_commands(
    malformed: AgentHeartbeat, caplog: pytest.LogCaptureFixture
) -> None:
    reconciler, cache = Reconciler(), cache_with_starts(2)
    reconciler.adopt_fencing_token(5)
    agent = reconciler.receive_heartbeat(heartbeat(2, 5, RUNNING), 0.0, direct=False).agent
    agent.synced = True
    before = reconciler.response_batch(agent, cache)
    assert not reconciler.receive_heartbeat(malformed, 0.0, direct=False).is_new
    assert reported_ends(agent, cache) == []
    assert reconciler.response_batch(agent, cache) == before
    assert ("it shows token 4 after token 5" in caplog.text) == (malformed.fencing_token == 4)
    assert reconciler.receive_heartbeat(heartbeat(3, 5, RUNNING), 0.0, direct=False).is_new


def test_an_attempt_that_runs_again_after_its_exit_is_logged_with_its_tokens(
    caplog: pytest.LogCaptureFixture,
) -> None:
    reconciler, cache = Reconciler(), StateCache()
    reconciler.adopt_fencing_token(5)
    agent = reconciler.receive_heartbeat(heartbeat(1, 5), 0.0, direct=False).agent
    agent.synced = True
    start_command = CommandBatch(5, [Command("start", "job-000001", 0, 1)])
    reconciler.record_sent(agent, start_command, direct=True)
    reconciler.receive_heartbeat(heartbeat(2, 5, EXITED), 0.0, direct=False)
    reconciler.adopt_fencing_token(7)
    reconciler.record_sent(agent, reconciler.response_batch(agent, cache), direct=False)
    reconciler.receive_heartbeat(heartbeat(3, 7), 0.0, direct=False)
    assert reconciler.repeated_attempts == 0
    for sequence_number in (4, 5):
        reconciler.receive_heartbeat(heartbeat(sequence_number, 7, RUNNING), 0.0, direct=False)
    assert reconciler.repeated_attempts == 1
    assert (
        "task job-000001/0 runs again on machine vm-1 (epoch 1, attempt 1) after its exit was "
        "reported; its start was sent under token 5, its forget under token 7, the machine has "
        "seen token 7"
    ) in caplog.text
    # In a later epoch it is no repetition.
    reconciler.receive_heartbeat(heartbeat(6, 7, EXITED), 0.0, direct=False)
    reconciler.receive_heartbeat(heartbeat(7, 7, RUNNING, agent_epoch=2), 0.0, direct=False)
    assert reconciler.repeated_attempts == 1


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
    operations = [c.operation for c in reconciler.response_batch(agent, cache).commands]
    assert operations == ["forget", "stop", "start"]
    agent.command_in_flight = True
    assert [c.operation for c in reconciler.response_batch(agent, cache).commands] == ["stop"]


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
    assert [c.operation for c in reconciler.response_batch(agent, cache).commands] == ["start"]
    assert cache.add_peer_cancellations(["job-000001"], 7.0) == ["job-000001"]
    stops = [Command("stop", "job-000001", task, 1) for task in range(2)]
    assert reconciler.response_batch(agent, cache).commands == stops
    # Without a cache read since the acceptance, the response still stops the reported task.
    agent.synced = False
    assert reconciler.direct_batch(agent, cache).commands == []
    assert reconciler.response_batch(agent, cache).commands == stops[:1]
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
