"""Changes that may be committed, gangs in trouble, and the proof of loss."""

from random import Random

import pytest

from helpers import LIMITS, accept, commit, spec, started_gang
from sandladder.agents.lease_expiry import LossProof
from sandladder.jobs.transitions import cancel, end, start, submit
from sandladder.model.jobs import Ended, Placement
from sandladder.model.machines import Seen, Summary
from sandladder.state.cache import Mirror
from sandladder.state.errors import Refused
from sandladder.state.transaction import View


def test_a_cancelled_job_is_final_only_when_its_last_attempt_has_ended() -> None:
    mirror = Mirror()
    view = View(mirror)
    submit(view, spec(), 0.0)
    start(view, "job-000001", [Placement(0, "vm-1", "north", 1)], LIMITS)
    cancel(view, "job-000001", 0.0)
    commit(mirror, view)
    assert "job-000001" in mirror.jobs
    view = View(mirror)
    with pytest.raises(Refused):
        start(view, "job-000001", [Placement(1, "vm-1", "north", 1)], LIMITS)
    attempt = mirror.jobs["job-000001"].live[0]
    assert end(view, [Ended("job-000001", 0, attempt, "stopped")], 0.0)
    commit(mirror, view)
    assert mirror.finals["job-000001"].state == "cancelled"
    assert not mirror.jobs and mirror.teams["red"][0] == 0


def test_loss_is_never_proved_while_any_controller_may_have_answered() -> None:
    """Random answers by three controllers and late summaries, against the truth."""
    lease = 10.0
    proved = 0
    for seed in range(300):
        rng = Random(seed)
        proof = LossProof("a", ["a", "b", "c"], lease, 0.0)
        proof.observe({}, 0.0)
        proof.holds([("vm", 1)], 0.0)
        answers: list[float] = [0.0]
        last = {"b": 0.0, "c": 0.0}
        history: list[tuple[float, int]] = []
        nodes: dict[str, Summary] = {}
        quiet_from = rng.uniform(5.0, 20.0)
        revision = 0
        pending: list[tuple[float, str, Summary]] = []
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
                    seen = Seen("t", "z", False, 1, now - last[name])
                    known = history[max(0, len(history) - rng.randint(1, 4))][1]
                    pending.append(
                        (now + rng.uniform(0, 3), name, Summary(1, now, known, {"vm": seen}))
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
    proof = LossProof("a", ["a", "b"], 10.0, 0.0)
    proof.holds([("old", 1)], 0.0)
    for second in range(1, 51):
        now = float(second)
        proof.observe({"b": Summary(1, now, second - 1, {})}, now)
        proof.synced(now, second)
    assert proof.lost("old", 1, 50.0)
    proof.holds([("old", 1), ("new", 1)], 50.0)
    assert proof.lost("old", 1, 50.0)
    for second in range(50, 90):
        assert not proof.lost("new", 1, float(second))
    # Once summaries are made long enough after its beginning, it is proved like any other.
    for second in range(90, 102):
        proof.observe({"b": Summary(1, second, second - 1, {})}, float(second))
        proof.synced(float(second), second)
    assert proof.lost("new", 1, 102.0)
    proof.holds([("old", 1)], 102.0)
    assert not proof.lost("old", 2, 90.0)


@pytest.mark.parametrize("outcome", ["lost", "no_room"])
def test_a_gang_that_lost_a_member_or_started_in_part_is_stopped_and_replanned(
    outcome: str,
) -> None:
    mirror, planner, gang = started_gang()
    first = gang.live[0].attempt
    view = View(mirror)
    assert end(view, [Ended(gang.id, 0, gang.live[0], outcome)], 0.0)
    commit(mirror, view)
    gang = mirror.jobs[gang.id]
    assert set(gang.live) == {1, 2} and all(a.stop == 0.0 for a in gang.live.values())
    assert planner.plan([gang], {}) == []  # the old attempt is still there
    view = View(mirror)
    assert end(view, [Ended(gang.id, t, a, "stopped") for t, a in gang.live.items()], 0.0)
    commit(mirror, view)
    gang = mirror.jobs[gang.id]
    intents = planner.plan([gang], {})
    assert len(intents) == 3 and gang.next_attempt == first + 1
    view = View(mirror)
    with pytest.raises(Refused):
        start(view, gang.id, [i.placement for i in intents[:2]], LIMITS)


def test_a_cancelled_gang_never_starts_again() -> None:
    mirror, planner, gang = started_gang()
    view = View(mirror)
    cancel(view, gang.id, 0.0)
    commit(mirror, view)
    gang = mirror.jobs[gang.id]
    assert planner.plan([gang], {}) == []
    view = View(mirror)
    assert end(view, [Ended(gang.id, t, a, "stopped") for t, a in gang.live.items()], 0.0)
    commit(mirror, view)
    assert mirror.finals[gang.id].state == "cancelled" and gang.id not in mirror.jobs


def test_no_start_goes_past_a_teams_gpus() -> None:
    mirror = Mirror()
    found = accept(mirror, entries=5, gpus=1.0)
    view = View(mirror)
    start(view, found.id, [Placement(t, "vm-2", "south", 1) for t in range(4)], LIMITS)
    commit(mirror, view)
    view = View(mirror)
    with pytest.raises(Refused):
        start(view, found.id, [Placement(4, "vm-2", "south", 1)], LIMITS)
