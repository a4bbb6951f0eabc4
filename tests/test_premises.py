"""The gate: selective revalidation, and the outcomes of failed and unverifiable premises."""

from helpers import accept, scheduler_with_two_machines, spec
from sandladder.model import Placement
from sandladder.scheduling import Outcome, PendingStart, PremiseKind
from scheduling_scenes import commit_placements


def test_a_change_rechecks_only_affected_premises_and_the_worst_outcome_applies() -> None:
    cluster_view, planner, cache, _ = scheduler_with_two_machines()
    job = accept(cache, entries=3)
    pending_starts = planner.plan([job], {})
    assert len(pending_starts) == 3
    gate = cluster_view.gate
    checked_before = gate.premise_checks
    assert gate.revalidate([("machine", "vm-9"), ("team", "blue")], cluster_view) == []
    assert gate.premise_checks == checked_before
    verdicts = gate.revalidate([("team", "red")], cluster_view)
    assert [verdict.outcome for verdict in verdicts] == [Outcome.KEEP] * 3
    assert [verdict.failed_premise for verdict in verdicts] == [None] * 3
    assert gate.premise_checks == checked_before + 3 < gate.full_scan_checks
    # Another controller started task 0, and its machine went silent: block outweighs replan.
    commit_placements(cache, job, [Placement(0, "vm-2", "south", 1)])
    cluster_view.now = 100.0
    machine = ("machine", pending_starts[0].placement.machine)
    verdicts = gate.revalidate([("task", f"{job.id}/0"), machine], cluster_view)
    outcomes = {verdict.pending_start.placement.task: verdict.outcome for verdict in verdicts}
    assert outcomes[0] is Outcome.BLOCK
    assert all(outcome is Outcome.REPLAN for task, outcome in outcomes.items() if task)


def test_a_start_with_an_unverifiable_premise_is_blocked() -> None:
    cluster_view, planner, cache, _ = scheduler_with_two_machines()
    pending_start = planner.plan([accept(cache, entries=1)], {})[0]
    cluster_view.now = 1000.0
    cluster_view.forget_missing()
    cluster_view.machine_changed(pending_start.placement.machine)
    verdict = cluster_view.gate.release(pending_start, cluster_view)
    assert verdict.outcome is Outcome.BLOCK
    assert verdict.failed_premise is PremiseKind.MACHINE_ALLOWED
    assert not cluster_view.gate.pending


def test_a_changed_reporting_controller_only_refreshes_a_start() -> None:
    cluster_view, planner, cache, _ = scheduler_with_two_machines()
    pending_start = planner.plan([accept(cache, entries=1)], {})[0]
    pending_start.reporting_controller = "node-7"
    cluster_view.machine_changed(pending_start.placement.machine)
    verdict = cluster_view.gate.release(pending_start, cluster_view)
    assert verdict.outcome is Outcome.REFRESH
    assert verdict.failed_premise is PremiseKind.REPORTING_CONTROLLER
    assert pending_start.reporting_controller == "node-0"


def test_a_start_has_a_premise_of_each_kind() -> None:
    placement = Placement(0, "vm-1", "north", 1)
    pending_start = PendingStart(spec(), placement, "node-0", ["job-000002", "job-000003"])
    kinds = [premise.kind for premise in pending_start.premises]
    assert set(kinds) == set(PremiseKind)
    assert kinds.count(PremiseKind.DEPENDENCY_DONE) == 2
