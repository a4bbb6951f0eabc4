"""Reservations of machines for gangs and large tasks."""

from collections import Counter
from typing import Any

import pytest

from helpers import accept, scheduler_with_two_machines
from sandladder.config import TeamLimits
from sandladder.model import JobSpec
from sandladder.scheduling import Reservation
from scheduling_scenes import (
    commit_ends,
    commit_placements,
    commit_starts,
    send_heartbeats,
    withdraw_all,
)

LARGE: dict[str, Any] = {"vcpus": 2.0, "ram_gb": 1.0, "breeds": ["large"]}


def test_an_aged_gang_reserves_machines_that_urgent_jobs_may_still_use() -> None:
    """Without a reservation, small jobs take each piece of freed capacity, and the gang starves."""
    cluster_view, planner, cache, _ = scheduler_with_two_machines()
    filler = accept(cache, number=1, entries=4, **LARGE)
    commit_starts(cluster_view, filler, *["vm-2"] * 4)
    gang = accept(cache, number=2, entries=7, form="group", **LARGE)
    small = accept(cache, number=3, entries=2, **LARGE)
    urgent = accept(cache, number=4, entries=1, rank="urgent", **LARGE)

    def planned_job_ids() -> list[str]:
        jobs = [cache.jobs[job.id] for job in (gang, small, urgent)]
        job_ids = [pending_start.spec.id for pending_start in planner.plan(jobs, {})]
        withdraw_all(cluster_view.gate)
        return job_ids

    # The gang has not aged yet, so it has no reservation.
    assert sorted(set(planned_job_ids())) == [small.id, urgent.id]
    lease_s = cluster_view.settings.platform.deployment.workers.lease_s
    cluster_view.now = 4 * lease_s + 1.0
    send_heartbeats(cluster_view, 2)
    assert set(planned_job_ids()) == {urgent.id}
    assert planner.reservation.reserved == {gang.id: {"vm-2"}}
    assert set(planned_job_ids()) == {urgent.id}
    # The gang starts once the machine is empty, and the reservation is released.
    commit_ends(cluster_view, filler)
    placed = planner.plan([cache.jobs[gang.id]], {})
    assert [pending_start.spec.id for pending_start in placed] == [gang.id] * 7
    commit_placements(cache, gang, [pending_start.placement for pending_start in placed])
    withdraw_all(cluster_view.gate)
    cluster_view.machine_changed("vm-2")
    planner.plan([cache.jobs[small.id]], {})
    assert planner.reservation.reserved == {}


@pytest.mark.parametrize(
    "fields",
    [{"entries": 20, "vcpus": 2.0}, {"entries": 8, "vcpus": 2.0, "bureau": "blue"}],
    ids=["fits no machines", "over its team's limit"],
)
def test_a_job_that_fits_nowhere_or_exceeds_its_team_limit_reserves_no_machines(
    fields: dict[str, Any],
) -> None:
    cluster_view, planner, cache, _ = scheduler_with_two_machines()
    cluster_view.team_limits["blue"] = TeamLimits("blue", 4.0, 8.0, 0.0, 0.0)
    gang = accept(cache, number=2, form="group", ram_gb=1.0, **fields)
    cluster_view.now = 1000.0
    send_heartbeats(cluster_view, 2)
    assert planner.plan([gang], {}) == []
    assert planner.reservation.is_aged(gang)
    assert planner.reservation.reserved == {}


def test_a_failed_search_for_machines_is_repeated_once_per_heartbeat_interval(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a scan of all machines per waiting gang in each planning round."""
    searches: Counter[str] = Counter()
    find_slots = Reservation._find_slots

    def counting_find_slots(self: Reservation, spec: JobSpec) -> Any:
        searches[spec.id] += 1
        return find_slots(self, spec)

    monkeypatch.setattr(Reservation, "_find_slots", counting_find_slots)
    cluster_view, planner, cache, _ = scheduler_with_two_machines()
    too_wide: dict[str, Any] = {"entries": 20, "vcpus": 2.0, "ram_gb": 1.0, "form": "group"}
    gangs = [accept(cache, number=number, **too_wide) for number in range(5)]
    report_s = cluster_view.settings.platform.deployment.workers.report_s
    started_at = cluster_view.now = 1000.0
    seq = 2
    while cluster_view.now < started_at + 10 * report_s:
        send_heartbeats(cluster_view, seq)
        planner.plan(gangs, {})
        cluster_view.now += report_s / 32
        seq += 1
    assert len(searches) == 5
    assert max(searches.values()) <= 11


def test_each_urgent_gang_reserves_machines_immediately() -> None:
    """Without reservations, arrays take each freed GPU, and gangs that need whole machines starve."""
    cluster_view, planner, cache, _ = scheduler_with_two_machines()
    whole_machine: dict[str, Any] = {"vcpus": 4.0, "ram_gb": 1.0, "form": "group", "entries": 1}
    filler = accept(cache, number=1, entries=20, vcpus=1.0, ram_gb=1.0)
    filler = commit_starts(cluster_view, filler, "vm-1", *["vm-2"] * 14)
    gangs = [accept(cache, number=2 + n, rank="urgent", **whole_machine) for n in range(2)]
    # Two cores are free on the large machine and three on the small one; the filler gets neither.
    assert planner.plan([filler, *gangs], {}) == []
    reserved = planner.reservation.reserved
    assert reserved.keys() == {gang.id for gang in gangs}
    assert sorted(len(machines) for machines in reserved.values()) == [1, 1]
    assert frozenset().union(*reserved.values()) == {"vm-1", "vm-2"}
