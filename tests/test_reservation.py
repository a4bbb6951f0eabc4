"""Machines reserved for gangs and large tasks, and from whom they are kept."""

from collections import Counter
from typing import Any

import pytest

from helpers import accept, scene
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


def test_machines_are_reserved_for_a_gang_that_has_waited_long_but_not_from_urgent_work() -> None:
    """Small jobs come all the while; without the reservation each takes what comes free."""
    cluster_view, planner, cache, _ = scene()
    filler = accept(cache, number=1, entries=4, **LARGE)
    commit_starts(cluster_view, filler, *["vm-2"] * 4)
    gang = accept(cache, number=2, entries=7, form="group", **LARGE)
    small = accept(cache, number=3, entries=2, **LARGE)
    urgent = accept(cache, number=4, entries=1, rank="urgent", **LARGE)

    def planned() -> list[str]:
        jobs = [cache.jobs[job.id] for job in (gang, small, urgent)]
        found = [pending_start.spec.id for pending_start in planner.plan(jobs, {})]
        withdraw_all(cluster_view.gate)
        return found

    # It has not waited long: what fits goes first.
    assert sorted(set(planned())) == [small.id, urgent.id]
    lease_s = cluster_view.settings.platform.deployment.workers.lease_s
    cluster_view.now = 4 * lease_s + 1.0
    send_heartbeats(cluster_view, 2)
    assert set(planned()) == {urgent.id}
    assert planner.reservation.reserved == {gang.id: {"vm-2"}}
    assert set(planned()) == {urgent.id}
    # What runs there ends, and the gang has the machine; then it is anyone's again.
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
def test_no_machines_are_reserved_if_none_fit_a_job_or_its_team_may_not_use_them(
    fields: dict[str, Any],
) -> None:
    cluster_view, planner, cache, _ = scene()
    cluster_view.team_limits["blue"] = TeamLimits("blue", 4.0, 8.0, 0.0, 0.0)
    gang = accept(cache, number=2, form="group", ram_gb=1.0, **fields)
    cluster_view.now = 1000.0
    send_heartbeats(cluster_view, 2)
    assert planner.plan([gang], {}) == []
    assert planner.reservation.aged(gang)
    assert planner.reservation.reserved == {}


def test_machines_to_reserve_are_looked_for_once_in_a_heartbeat_interval(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """However many gangs wait for machines that are not there, and however often it is planned."""
    looked: Counter[str] = Counter()
    places = Reservation._places

    def counted(self: Reservation, spec: JobSpec) -> Any:
        looked[spec.id] += 1
        return places(self, spec)

    monkeypatch.setattr(Reservation, "_places", counted)
    cluster_view, planner, cache, _ = scene()
    wide: dict[str, Any] = {"entries": 20, "vcpus": 2.0, "ram_gb": 1.0, "form": "group"}
    gangs = [accept(cache, number=number, **wide) for number in range(5)]
    report_s = cluster_view.settings.platform.deployment.workers.report_s
    began = cluster_view.now = 1000.0
    seq = 2
    while cluster_view.now < began + 10 * report_s:
        send_heartbeats(cluster_view, seq)
        planner.plan(gangs, {})
        cluster_view.now += report_s / 32
        seq += 1
    assert len(looked) == 5
    assert max(looked.values()) <= 11


def test_urgent_gangs_get_a_reservation_each_at_once() -> None:
    """Seen in a measured day: each GPU that came free went to an array, and gangs found no machine."""
    cluster_view, planner, cache, _ = scene()
    whole: dict[str, Any] = {"vcpus": 4.0, "ram_gb": 1.0, "form": "group", "entries": 1}
    filler = accept(cache, number=1, entries=20, vcpus=1.0, ram_gb=1.0)
    filler = commit_starts(cluster_view, filler, "vm-1", *["vm-2"] * 14)
    gangs = [accept(cache, number=2 + n, rank="urgent", **whole) for n in range(2)]
    # Two cores are free on the large machine and three on the small one: none is given away.
    assert planner.plan([filler, *gangs], {}) == []
    reserved = planner.reservation.reserved
    assert reserved.keys() == {gang.id for gang in gangs}
    assert sorted(len(machines) for machines in reserved.values()) == [1, 1]
    assert frozenset().union(*reserved.values()) == {"vm-1", "vm-2"}
