"""The gate: selective checks, the worst outcome wins, fail closed."""

from helpers import LIMITS, accept, commit, scene
from sandladder.jobs import start
from sandladder.model import Placement
from sandladder.scheduling import Outcome, PendingStart, PremiseKind
from sandladder.state import Transaction


def test_the_gate_rechecks_only_what_a_change_reaches_and_the_worst_wins() -> None:
    cluster_view, planner, cache, reconciler = scene()
    found = accept(cache, entries=3)
    pending_starts = planner.plan([found], {})
    assert len(pending_starts) == 3
    gate = cluster_view.gate
    before = gate.checked
    assert gate.changed([("machine", "vm-9"), ("team", "blue")], cluster_view) == []
    assert gate.checked == before
    verdicts = gate.changed([("team", "red")], cluster_view)
    assert [v.outcome for v in verdicts] == [Outcome.KEEP] * 3
    assert gate.checked == before + 3 < gate.full_scan
    # Somebody else started task 0, and its machine went silent: block outweighs replan.
    transaction = Transaction(cache)
    start(transaction, found.id, [Placement(0, "vm-2", "south", 1)], LIMITS)
    commit(cache, transaction)
    cluster_view.now = 100.0
    machine = ("machine", pending_starts[0].placement.machine)
    verdicts = gate.changed([("task", f"{found.id}/0"), machine], cluster_view)
    outcomes = {v.pending_start.placement.task: v.outcome for v in verdicts}
    assert outcomes[0] is Outcome.BLOCK
    assert all(o is Outcome.REPLAN for task, o in outcomes.items() if task)


def test_what_cannot_be_verified_fails_closed() -> None:
    cluster_view, planner, cache, reconciler = scene()
    pending_starts = planner.plan([accept(cache, entries=1)], {})
    cluster_view.now = 1000.0
    cluster_view.forget()
    cluster_view.touch(pending_starts[0].placement.machine)
    verdict = cluster_view.gate.release(pending_starts[0], cluster_view)
    assert verdict.outcome is Outcome.BLOCK and verdict.reason is PremiseKind.MACHINE_ALLOWED
    assert not cluster_view.gate.pending


def test_a_changed_route_only_refreshes() -> None:
    cluster_view, planner, cache, _ = scene()
    pending_start: PendingStart = planner.plan([accept(cache, entries=1)], {})[0]
    pending_start.reporting_controller = "node-7"
    cluster_view.touch(pending_start.placement.machine)
    assert cluster_view.gate.release(pending_start, cluster_view).outcome is Outcome.REFRESH
    assert pending_start.reporting_controller == "node-0"
