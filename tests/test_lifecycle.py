"""Changes that may be committed, gangs in trouble, and the proof of loss."""

from random import Random

import pytest

from helpers import LIMITS, accept, commit, spec, started_gang
from sandladder.agents import LeaseExpiryProof
from sandladder.jobs import cancel, end, start, submit
from sandladder.model import EndedAttempt, MachineInventory, MachineStatus, Placement
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


def test_loss_is_never_proved_while_any_controller_may_have_answered() -> None:
    """Random answers by three controllers and late summaries, against the truth."""
    lease = 10.0
    proved = 0
    for seed in range(300):
        rng = Random(seed)
        proof = LeaseExpiryProof("a", ["a", "b", "c"], lease, 0.0)
        proof.observe({}, 0.0)
        proof.holds([("vm", 1)], 0.0)
        answers: list[float] = [0.0]
        last = {"b": 0.0, "c": 0.0}
        history: list[tuple[float, int]] = []
        nodes: dict[str, MachineInventory] = {}
        quiet_from = rng.uniform(5.0, 20.0)
        revision = 0
        pending: list[tuple[float, str, MachineInventory]] = []
        now = 0.0
        while now < 60.0:
            now += rng.uniform(0.1, 0.6)
            revision += 1
            history.append((now, revision))
            who = rng.choice("abc")
            if now < quiet_from or rng.random() < 0.01:
                answers.append(now)
                if who == "a":
                    proof.answered("vm", now)
                else:
                    last[who] = now
            for name in "bc":
                if rng.random() < 0.3:
                    seen = MachineStatus("t", "z", False, 1, now - last[name])
                    known = history[max(0, len(history) - rng.randint(1, 4))][1]
                    pending.append(
                        (
                            now + rng.uniform(0, 3),
                            name,
                            MachineInventory(1, now, known, {"vm": seen}),
                        )
                    )
            for item in sorted(pending, key=lambda p: p[0]):
                if item[0] <= now:
                    nodes[item[1]] = item[2]
                    pending.remove(item)
            proof.observe(dict(nodes), now)
            proof.synced(now, revision)
            if proof.lost("vm", 1, now):
                proved += 1
                gaps = [b - a for a, b in zip(answers, [*answers[1:], now], strict=True)]
                assert max(gaps) >= lease, (seed, now, answers[-3:])
    assert proved > 100


def test_a_machine_that_came_up_after_the_summaries_is_not_proved_lost() -> None:
    """Seen in a measured day: a peer's word on a new machine came before its summary did.

    Another controller, cut off from both, saw the start and proved the machine lost by
    summaries from before it was up; the task ran twice.
    """
    proof = LeaseExpiryProof("a", ["a", "b"], 10.0, 0.0)
    proof.holds([("old", 1)], 0.0)
    for second in range(1, 51):
        now = float(second)
        proof.observe({"b": MachineInventory(1, now, second - 1, {})}, now)
        proof.synced(now, second)
    assert proof.lost("old", 1, 50.0)
    proof.holds([("old", 1), ("new", 1)], 50.0)
    assert proof.lost("old", 1, 50.0)
    for second in range(50, 90):
        assert not proof.lost("new", 1, float(second))
    # Once summaries are made long enough after its beginning, it is proved like any other.
    for second in range(90, 102):
        proof.observe({"b": MachineInventory(1, second, second - 1, {})}, float(second))
        proof.synced(float(second), second)
    assert proof.lost("new", 1, 102.0)
    proof.holds([("old", 1)], 102.0)
    assert not proof.lost("old", 2, 90.0)


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
