"""The gate: selective checks, the worst outcome wins, fail closed."""

from helpers import LIMITS, accept, commit, scene
from sandladder.jobs.transitions import start
from sandladder.model.jobs import Placement
from sandladder.scheduling.premises import Intent, Outcome
from sandladder.state.transaction import View


def test_the_gate_rechecks_only_what_a_change_reaches_and_the_worst_wins() -> None:
    picture, planner, mirror, delivery = scene()
    found = accept(mirror, entries=3)
    intents = planner.plan([found], {})
    assert len(intents) == 3
    gate = picture.gate
    before = gate.checked
    assert gate.changed([("machine", "vm-9"), ("team", "blue")], picture) == []
    assert gate.checked == before
    verdicts = gate.changed([("team", "red")], picture)
    assert [v.outcome for v in verdicts] == [Outcome.KEEP] * 3
    assert gate.checked == before + 3 < gate.full_scan
    # Somebody else started task 0, and its machine went silent: block outweighs replan.
    view = View(mirror)
    start(view, found.id, [Placement(0, "vm-2", "south", 1)], LIMITS)
    commit(mirror, view)
    picture.now = 100.0
    machine = ("machine", intents[0].placement.machine)
    verdicts = gate.changed([("task", f"{found.id}/0"), machine], picture)
    outcomes = {v.intent.placement.task: v.outcome for v in verdicts}
    assert outcomes[0] is Outcome.BLOCK
    assert all(o is Outcome.REPLAN for task, o in outcomes.items() if task)


def test_what_cannot_be_verified_fails_closed() -> None:
    picture, planner, mirror, delivery = scene()
    intents = planner.plan([accept(mirror, entries=1)], {})
    picture.now = 1000.0
    picture.forget()
    picture.touch(intents[0].placement.machine)
    verdict = picture.gate.release(intents[0], picture)
    assert verdict.outcome is Outcome.BLOCK and verdict.reason == "allowed"
    assert not picture.gate.pending


def test_a_changed_route_only_refreshes() -> None:
    picture, planner, mirror, _ = scene()
    intent: Intent = planner.plan([accept(mirror, entries=1)], {})[0]
    intent.clerk = "node-7"
    picture.touch(intent.placement.machine)
    assert picture.gate.release(intent, picture).outcome is Outcome.REFRESH
    assert intent.clerk == "node-0"
