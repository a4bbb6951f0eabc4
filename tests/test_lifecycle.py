"""Changes that may be committed, and gangs in trouble."""

import pytest

from helpers import LIMITS, accept, commit, spec, started_gang
from sandladder.jobs import cancel, end, start, submit
from sandladder.model import EndedAttempt, Placement
from sandladder.state import PreconditionFailedError, StateCache, Transaction


def test_a_cancelled_job_is_final_only_when_its_last_attempt_has_ended() -> None:
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
    assert end(transaction, [EndedAttempt("job-000001", 0, attempt, "stopped")], 0.0)
    commit(cache, transaction)
    assert cache.finished_jobs["job-000001"].state == "cancelled"
    assert not cache.jobs and cache.teams["red"][0] == 0


@pytest.mark.parametrize("outcome", ["lost", "no_room"])
def test_a_gang_that_lost_a_member_or_started_in_part_is_stopped_and_replanned(
    outcome: str,
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
        transaction, [EndedAttempt(gang.id, t, a, "stopped") for t, a in gang.live.items()], 0.0
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
        transaction, [EndedAttempt(gang.id, t, a, "stopped") for t, a in gang.live.items()], 0.0
    )
    commit(cache, transaction)
    assert cache.finished_jobs[gang.id].state == "cancelled" and gang.id not in cache.jobs


def test_no_start_goes_past_a_teams_gpus() -> None:
    cache = StateCache()
    found = accept(cache, entries=5, gpus=1.0)
    transaction = Transaction(cache)
    start(transaction, found.id, [Placement(t, "vm-2", "south", 1) for t in range(4)], LIMITS)
    commit(cache, transaction)
    transaction = Transaction(cache)
    with pytest.raises(PreconditionFailedError):
        start(transaction, found.id, [Placement(4, "vm-2", "south", 1)], LIMITS)
