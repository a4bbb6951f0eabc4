"""State transitions of jobs, and the peer messages that carry their outcomes."""

from collections import Counter
from random import Random

import msgspec
import pytest

from helpers import LIMITS, accept, commit, spec, started_gang
from sandladder.jobs import cancel, end, start, submit
from sandladder.model import AttemptOutcome, EndedAttempt, Placement
from sandladder.state import PreconditionFailedError, StateCache, Transaction
from sandladder.transport import peer_transport


def test_a_cancelled_job_finishes_when_its_last_attempt_ends() -> None:
    cache = StateCache()
    transaction = Transaction(cache)
    submit(transaction, spec(), 0.0)
    start(transaction, "job-000001", [Placement(0, "vm-1", "north", 1)], LIMITS)
    cancel(transaction, "job-000001", 0.0)
    commit(cache, transaction)
    assert "job-000001" in cache.jobs
    transaction = Transaction(cache)
    with pytest.raises(PreconditionFailedError):
        start(transaction, "job-000001", [Placement(1, "vm-1", "north", 1)], LIMITS)
    attempt = cache.jobs["job-000001"].live[0]
    assert end(transaction, [EndedAttempt("job-000001", 0, attempt, AttemptOutcome.STOPPED)], 0.0)
    commit(cache, transaction)
    assert cache.finished_jobs["job-000001"].state == "cancelled"
    assert not cache.jobs and cache.teams["red"][0] == 0


@pytest.mark.parametrize("outcome", [AttemptOutcome.LOST, AttemptOutcome.NO_CAPACITY])
def test_a_gang_with_a_lost_or_refused_task_is_stopped_and_rescheduled_as_a_whole(
    outcome: AttemptOutcome,
) -> None:
    cache, planner, gang = started_gang()
    first_attempt = gang.live[0].attempt
    transaction = Transaction(cache)
    assert end(transaction, [EndedAttempt(gang.id, 0, gang.live[0], outcome)], 0.0)
    commit(cache, transaction)
    gang = cache.jobs[gang.id]
    assert set(gang.live) == {1, 2} and all(a.stop_grace_s == 0.0 for a in gang.live.values())
    assert planner.plan([gang], {}) == []  # the previous attempt is still live
    transaction = Transaction(cache)
    assert end(
        transaction,
        [EndedAttempt(gang.id, t, a, AttemptOutcome.STOPPED) for t, a in gang.live.items()],
        0.0,
    )
    commit(cache, transaction)
    gang = cache.jobs[gang.id]
    pending_starts = planner.plan([gang], {})
    assert len(pending_starts) == 3 and gang.next_attempt == first_attempt + 1
    transaction = Transaction(cache)
    with pytest.raises(PreconditionFailedError):
        start(transaction, gang.id, [i.placement for i in pending_starts[:2]], LIMITS)


def test_a_cancelled_gang_never_starts_again() -> None:
    cache, planner, gang = started_gang()
    transaction = Transaction(cache)
    cancel(transaction, gang.id, 0.0)
    commit(cache, transaction)
    gang = cache.jobs[gang.id]
    assert planner.plan([gang], {}) == []
    transaction = Transaction(cache)
    assert end(
        transaction,
        [EndedAttempt(gang.id, t, a, AttemptOutcome.STOPPED) for t, a in gang.live.items()],
        0.0,
    )
    commit(cache, transaction)
    assert cache.finished_jobs[gang.id].state == "cancelled" and gang.id not in cache.jobs


def test_a_start_beyond_the_teams_gpu_limit_is_refused() -> None:
    cache = StateCache()
    accepted = accept(cache, entries=5, gpus=1.0)
    transaction = Transaction(cache)
    start(transaction, accepted.id, [Placement(t, "vm-2", "south", 1) for t in range(4)], LIMITS)
    commit(cache, transaction)
    transaction = Transaction(cache)
    with pytest.raises(PreconditionFailedError):
        start(transaction, accepted.id, [Placement(4, "vm-2", "south", 1)], LIMITS)


def test_agent_epoch_counts_match_live_attempts_after_random_starts_and_ends() -> None:
    for seed in range(40):
        rng = Random(seed)
        cache = StateCache()
        accepted = accept(cache, entries=40, vcpus=0.1)
        for _ in range(60):
            transaction, job = Transaction(cache), cache.jobs.get(accepted.id)
            if job is None:
                break
            free = list(job.pending())
            if free and rng.random() < 0.6:
                placement = Placement(
                    rng.choice(free), f"vm-{rng.randrange(4)}", "north", rng.randint(1, 3)
                )
                start(transaction, job.id, [placement], LIMITS)
            elif job.live:
                task = rng.choice(list(job.live))
                outcome = rng.choice([AttemptOutcome.DONE, AttemptOutcome.LOST])
                assert end(transaction, [EndedAttempt(job.id, task, job.live[task], outcome)], 0.0)
            else:
                continue
            commit(cache, transaction)
            expected: dict[str, Counter[int]] = {}
            live = cache.jobs[accepted.id].live if accepted.id in cache.jobs else {}
            for attempt in live.values():
                expected.setdefault(attempt.machine, Counter())[attempt.agent_epoch] += 1
            assert cache.agent_epochs == expected


def test_the_failure_count_is_reset_when_a_task_is_done() -> None:
    cache = StateCache()
    accepted = accept(cache, entries=4, vcpus=0.1)
    for task, (outcome, errors) in enumerate(
        [
            (AttemptOutcome.ERROR, 1),
            (AttemptOutcome.BUSY, 1),
            (AttemptOutcome.UNKNOWN, 2),
            (AttemptOutcome.DONE, 0),
        ]
    ):
        transaction = Transaction(cache)
        start(transaction, accepted.id, [Placement(task, "vm-1", "north", 1)], LIMITS)
        commit(cache, transaction)
        transaction = Transaction(cache)
        attempt = cache.jobs[accepted.id].live[task]
        assert end(transaction, [EndedAttempt(accepted.id, task, attempt, outcome)], 0.0)
        commit(cache, transaction)
        assert cache.jobs[accepted.id].errors == errors


def test_outcomes_keep_their_values_in_peer_messages() -> None:
    """Controllers of two versions exchange outcomes during a rolling upgrade."""
    assert {str(outcome) for outcome in AttemptOutcome} == {
        "done", "stopped", "saved", "peers", "alone", "error", "unknown", "no_room", "busy",
        "lost", "never",
    }  # fmt: skip
    for outcome in AttemptOutcome:
        assert encoded_end(outcome) == encoded_end(outcome.value)


def encoded_end(outcome: str) -> bytes:
    ended = peer_transport.EndedTask("job-000001", 0, "vm-1", "north", 1, 1, outcome)
    return msgspec.msgpack.encode(peer_transport.EndedTasks([ended]))
