"""The placement of waiting tasks on machines, and its cost."""

from collections import Counter
from typing import Any

import pytest

from helpers import accept, commit, scheduler_with_two_machines
from sandladder.autoscaling import ScalingPolicy
from sandladder.config import TeamLimits
from sandladder.jobs import end
from sandladder.model import AgentHeartbeat, EndedAttempt, JobSpec, Ranges
from sandladder.scheduling import ClusterView, FreeCapacity, PendingStart
from sandladder.state import Transaction
from scheduling_scenes import commit_starts


def zones_of(pending_starts: list[PendingStart]) -> list[str]:
    return [pending_start.placement.zone for pending_start in pending_starts]


def machines_of(pending_starts: list[PendingStart]) -> set[str]:
    return {pending_start.placement.machine for pending_start in pending_starts}


def test_capacity_of_an_attempt_is_free_between_its_proved_end_and_the_commit() -> None:
    cluster_view, _, cache, _ = scheduler_with_two_machines()
    job = commit_starts(cluster_view, accept(cache, entries=2), "vm-1")
    before_end = cluster_view.free_capacity("vm-1")
    ended = EndedAttempt(job.id, 0, job.live[0], "done")
    cluster_view.note_ended(ended)
    after_end = cluster_view.free_capacity("vm-1")
    assert before_end and after_end and after_end.cpus == before_end.cpus + job.spec.cpus
    assert cluster_view.is_idle("vm-1")
    transaction = Transaction(cache)
    assert end(transaction, [ended], 0.0)
    commit(cache, transaction)
    cluster_view.machine_changed("vm-1")
    cluster_view.forget_missing()
    after_commit = cluster_view.free_capacity("vm-1")
    assert (
        after_commit
        and after_commit.cpus == after_end.cpus
        and not cluster_view.free_capacities.ended
    )


def test_tasks_are_spread_over_zones_or_placed_in_one_zone() -> None:
    _, planner, cache, _ = scheduler_with_two_machines()
    spread = accept(cache, number=1, entries=4, apart=True)
    assert sorted(zones_of(planner.plan([spread], {}))) == ["north", "north", "south", "south"]
    together = accept(cache, number=2, entries=5, same_place=True, form="group")
    assert zones_of(planner.plan([together], {})) == ["south"] * 5


def test_a_machine_that_refused_a_start_gets_no_work_for_a_while() -> None:
    cluster_view, planner, cache, _ = scheduler_with_two_machines()
    cluster_view.avoid_machine("vm-2", 2.0)
    job = accept(cache, entries=8)
    assert machines_of(planner.plan([job], {})) == {"vm-1"}
    cluster_view.now = 2.5
    assert machines_of(planner.plan([job], {})) == {"vm-2"}


def test_scale_out_counts_only_zones_that_may_take_more_replicas() -> None:
    """Guards against counting idle capacity in a full zone and renting nothing elsewhere."""
    cluster_view, _, cache, _ = scheduler_with_two_machines()
    service = accept(
        cache, number=9, entries=3, form="service", apart=True, loaners=False, vcpus=4.0
    )
    commit_starts(cluster_view, service, "vm-2", "vm-2")
    # vm-2 in the south has room, but runs two of three replicas; the north has no usable machine.
    cluster_view.avoid_machine("vm-1", 100.0)
    requests = ScalingPolicy(cluster_view).scale_out_requests(0.0)
    assert {request.zone for request in requests} == {"north"} and requests[0].number == 1


def test_planning_lists_only_as_many_waiting_tasks_as_it_places(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against planning rounds whose cost grows with the waiting tasks of an array."""
    cluster_view, planner, cache, _ = scheduler_with_two_machines(value_kb=16.0)
    monkeypatch.setitem(cluster_view.team_limits, "red", TeamLimits("red"))
    large_array = accept(cache, entries=2000, vcpus=1.0, ram_gb=0.1)
    listed = 0
    gaps = Ranges.gaps

    def counting_gaps(self: Ranges, end: int):
        nonlocal listed
        for task in gaps(self, end):
            listed += 1
            yield task

    monkeypatch.setattr(Ranges, "gaps", counting_gaps)
    placed = planner.plan([large_array], {})
    # Two machines of 4 and 16 CPUs; each placed task is listed once.
    assert len(placed) == 20 and listed <= 20
    listed = 0
    assert planner.plan([large_array], {}) == [] and listed == 0


def test_placing_a_job_examines_only_a_sample_of_the_machines(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a cost per placed job that grows with the cluster."""
    machines_examined: Counter[int] = Counter()
    fetch_s = ClusterView.fetch_s

    def counting_fetch_s(self: ClusterView, spec: JobSpec, capacity: FreeCapacity) -> float:
        machines_examined[size] += 1
        return fetch_s(self, spec, capacity)

    monkeypatch.setattr(ClusterView, "fetch_s", counting_fetch_s)
    for size in (300, 1200):
        cluster_view, planner, cache, reconciler = scheduler_with_two_machines(value_kb=16.0)
        cluster_view.team_limits["red"] = TeamLimits("red")
        for number in range(size):
            name = f"vm-{1000 + number}"
            fields: tuple[Any, ...] = (name, f"{name}:1", "large", "south", False, 1, 1, 1, None)
            heartbeat = AgentHeartbeat(*fields, ())
            cluster_view.record_heartbeat(
                reconciler.receive_heartbeat(heartbeat, 0.0, direct=False).agent
            )
        jobs = [accept(cache, number=n, entries=1, vcpus=1.0, parcel=f"img-{n}") for n in range(24)]
        assert len(planner.plan(jobs, {})) == 24
    assert machines_examined[1200] < 1.1 * machines_examined[300]
