"""The transitions of jobs: what may be committed, and what follows from it."""

from collections import Counter
from random import Random

import msgspec
import pytest

from helpers import LIMITS, accept, commit, spec, started_gang
from sandladder.jobs import cancel, end, start, submit
from sandladder.model import AttemptOutcome, EndedAttempt, Placement
from sandladder.state import PreconditionFailedError, StateCache, Transaction
from sandladder.transport import peer_transport


def test_a_cancelled_job_is_finished_only_when_its_last_attempt_has_ended() -> None:
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
def test_a_gang_that_lost_a_member_or_started_in_part_is_stopped_and_planned_again(
    outcome: AttemptOutcome,
) -> None:
    cache, planner, gang = started_gang()
    first = gang.live[0].attempt
    transaction = Transaction(cache)
    assert end(transaction, [EndedAttempt(gang.id, 0, gang.live[0], outcome)], 0.0)
    commit(cache, transaction)
    gang = cache.jobs[gang.id]
    assert set(gang.live) == {1, 2} and all(a.stop == 0.0 for a in gang.live.values())
    assert planner.plan([gang], {}) == []  # the old attempt is still there
    transaction = Transaction(cache)
    assert end(
        transaction,
        [EndedAttempt(gang.id, t, a, AttemptOutcome.STOPPED) for t, a in gang.live.items()],
        0.0,
    )
    commit(cache, transaction)
    gang = cache.jobs[gang.id]
    pending_starts = planner.plan([gang], {})
    assert len(pending_starts) == 3 and gang.next_attempt == first + 1
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


def test_no_start_exceeds_its_teams_gpu_limit() -> None:
    cache = StateCache()
    found = accept(cache, entries=5, gpus=1.0)
    transaction = Transaction(cache)
    start(transaction, found.id, [Placement(t, "vm-2", "south", 1) for t in range(4)], LIMITS)
    commit(cache, transaction)
    transaction = Transaction(cache)
    with pytest.raises(PreconditionFailedError):
        start(transaction, found.id, [Placement(4, "vm-2", "south", 1)], LIMITS)


def test_attempts_are_counted_by_agent_epoch_through_random_starts_and_ends() -> None:
    for seed in range(40):
        rng = Random(seed)
        cache = StateCache()
        found = accept(cache, entries=40, vcpus=0.1)
        for _ in range(60):
            transaction, job = Transaction(cache), cache.jobs.get(found.id)
            if job is None:
                break
            free = list(job.pending())
            if free and rng.random() < 0.6:
                place = Placement(
                    rng.choice(free), f"vm-{rng.randrange(4)}", "north", rng.randint(1, 3)
                )
                start(transaction, job.id, [place], LIMITS)
            elif job.live:
                task = rng.choice(list(job.live))
                outcome = rng.choice([AttemptOutcome.DONE, AttemptOutcome.LOST])
                assert end(transaction, [EndedAttempt(job.id, task, job.live[task], outcome)], 0.0)
            else:
                continue
            commit(cache, transaction)
            truth: dict[str, Counter[int]] = {}
            live = cache.jobs[found.id].live if found.id in cache.jobs else {}
            for attempt in live.values():
                truth.setdefault(attempt.machine, Counter())[attempt.agent_epoch] += 1
            assert cache.agent_epochs == truth


def test_failures_are_counted_until_a_task_of_the_job_is_done() -> None:
    cache = StateCache()
    found = accept(cache, entries=4, vcpus=0.1)
    for task, (outcome, errors) in enumerate(
        [
            (AttemptOutcome.ERROR, 1),
            (AttemptOutcome.BUSY, 1),
            (AttemptOutcome.UNKNOWN, 2),
            (AttemptOutcome.DONE, 0),
        ]
    ):
        transaction = Transaction(cache)
        start(transaction, found.id, [Placement(task, "vm-1", "north", 1)], LIMITS)
        commit(cache, transaction)
        transaction = Transaction(cache)
        attempt = cache.jobs[found.id].live[task]
        assert end(transaction, [EndedAttempt(found.id, task, attempt, outcome)], 0.0)
        commit(cache, transaction)
        assert cache.jobs[found.id].errors == errors


def test_outcomes_are_sent_to_peers_as_they_have_always_been() -> None:
    """Controllers of two versions run side by side, so a value never changes."""
    assert {str(outcome) for outcome in AttemptOutcome} == {
        "done", "stopped", "saved", "peers", "alone", "error", "unknown", "no_room", "busy",
        "lost", "never",
    }  # fmt: skip
    for outcome in AttemptOutcome:
        assert encoded_end(outcome) == encoded_end(outcome.value)


def encoded_end(outcome: str) -> bytes:
    ended = peer_transport.EndedTask("job-000001", 0, "vm-1", "north", 1, 1, outcome)
    return msgspec.msgpack.encode(peer_transport.EndedTasks([ended]))
