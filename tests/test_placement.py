"""Which machine for a task, and which tasks make room or move."""

from collections import Counter
from typing import Any

from helpers import LIMITS, accept, commit, scene
from sandladder.autoscaling import ScalingPolicy
from sandladder.config import TeamLimits
from sandladder.jobs import end, start
from sandladder.model import (
    AgentHeartbeat,
    EndedAttempt,
    JobSpec,
    Machine,
    MachineStatus,
    Placement,
    Ranges,
)
from sandladder.scheduling import ClusterView, PreemptionPolicy, Reservation
from sandladder.state import Transaction


def test_room_of_a_proved_end_is_free_before_it_is_committed() -> None:
    cluster_view, planner, cache, _ = scene()
    found = accept(cache, entries=2)
    transaction = Transaction(cache)
    start(transaction, found.id, [Placement(0, "vm-1", "north", 1)], LIMITS)
    commit(cache, transaction)
    cluster_view.touch("vm-1")
    before = cluster_view.capacity("vm-1")
    attempt = cache.jobs[found.id].live[0]
    ended = EndedAttempt(found.id, 0, attempt, "done")
    cluster_view.note_over(ended)
    after = cluster_view.capacity("vm-1")
    assert before and after and after.cpus == before.cpus + found.spec.cpus
    assert cluster_view.freed("vm-1")
    transaction = Transaction(cache)
    assert end(transaction, [ended], 0.0)
    commit(cache, transaction)
    cluster_view.touch("vm-1")
    cluster_view.forget()
    again = cluster_view.capacity("vm-1")
    assert again and again.cpus == after.cpus and not cluster_view.free_capacities.ended


def test_small_jobs_are_placed_in_spread_and_one_zone() -> None:
    cluster_view, planner, cache, _ = scene()
    spread = accept(cache, number=1, entries=4, apart=True)
    zones = [i.placement.zone for i in planner.plan([spread], {})]
    assert sorted(zones) == ["north", "north", "south", "south"]
    together = accept(cache, number=2, entries=5, same_place=True, form="group")
    zones = [i.placement.zone for i in planner.plan([together], {})]
    assert zones == ["south"] * 5


def test_a_machine_that_refused_a_start_is_left_alone_for_a_while() -> None:
    cluster_view, planner, cache, _ = scene()
    cluster_view.doubt("vm-2", 2.0)
    found = accept(cache, entries=8)
    assert {i.placement.machine for i in planner.plan([found], {})} == {"vm-1"}
    cluster_view.now = 2.5
    assert {i.placement.machine for i in planner.plan([found], {})} == {"vm-2"}


def test_replicas_move_off_a_draining_machine_but_not_off_a_silent_one() -> None:
    cluster_view, planner, cache, _ = scene()
    service = accept(cache, entries=2, form="service", rank="prod", loaners=False)
    transaction = Transaction(cache)
    start(transaction, service.id, [Placement(t, "vm-1", "north", 1) for t in (0, 1)], LIMITS)
    commit(cache, transaction)
    service = cache.jobs[service.id]
    cache.instances["vm-1"] = Machine("small", "north", False, "draining", 0.0)
    assert [
        v.machine for v in PreemptionPolicy(cluster_view, planner.selector).moves([service])
    ] == ["vm-1"]
    cluster_view.now = cluster_view.late_s + 1.0
    cluster_view.tell("node-0", "vm-2", MachineStatus("large", "south", False, 1, 0.0))
    assert PreemptionPolicy(cluster_view, planner.selector).moves([service]) == []


def test_renting_knows_which_zone_may_still_take_replicas() -> None:
    """Found by a search: the full zone's idle room was counted, and nothing rented elsewhere."""
    cluster_view, _, cache, _ = scene()
    web = accept(cache, number=9, entries=3, form="service", apart=True, loaners=False, vcpus=4.0)
    transaction = Transaction(cache)
    places = [Placement(task, "vm-2", "south", 1) for task in (0, 1)]
    start(transaction, web.id, places, LIMITS)
    commit(cache, transaction)
    cluster_view.touch("vm-2")
    # vm-2 in the south has room for more, but two of three are there; the north has none.
    cluster_view.doubt("vm-1", 100.0)
    requests = ScalingPolicy(cluster_view).rental_requests(0.0)
    assert {request.zone for request in requests} == {"north"} and requests[0].number == 1


def hear_again(cluster_view: ClusterView, seq: int) -> None:
    """Both machines report once more, now."""
    for name, kind, zone in (("vm-1", "small", "north"), ("vm-2", "large", "south")):
        report = AgentHeartbeat(name, f"{name}:1", kind, zone, False, 1, seq, 1, None, ())
        cluster_view.heard(
            cluster_view.reconciler.heard(report, cluster_view.now, direct=False).agent
        )


def test_room_is_held_for_a_gang_that_has_waited_long_and_for_nothing_more_urgent() -> None:
    """Small jobs come all the while; without the reservation each takes what comes free."""
    cluster_view, planner, cache, _ = scene()
    large: dict[str, Any] = {"vcpus": 2.0, "ram_gb": 1.0, "breeds": ["large"]}
    filler = accept(cache, number=1, entries=4, **large)
    transaction = Transaction(cache)
    start(transaction, filler.id, [Placement(t, "vm-2", "south", 1) for t in range(4)], LIMITS)
    commit(cache, transaction)
    cluster_view.touch("vm-2")
    gang = accept(cache, number=2, entries=7, form="group", **large)
    small = accept(cache, number=3, entries=2, **large)
    urgent = accept(cache, number=4, entries=1, rank="urgent", **large)

    def plan() -> list[str]:
        jobs = [cache.jobs[job.id] for job in (gang, small, urgent)]
        found = [pending_start.spec.id for pending_start in planner.plan(jobs, {})]
        for pending_start in list(cluster_view.gate.pending.values()):
            cluster_view.gate.withdraw(pending_start)
        return found

    # It has not waited long: what fits goes first.
    assert sorted(set(plan())) == [small.id, urgent.id]
    lease_s = cluster_view.settings.platform.deployment.workers.lease_s
    cluster_view.now = 4 * lease_s + 1.0
    hear_again(cluster_view, 2)
    assert set(plan()) == {urgent.id}
    assert planner.reservation.reserved == {gang.id: {"vm-2"}}
    assert set(plan()) == {urgent.id}
    # What runs there ends, and the gang has the machine; then it is anyone's again.
    transaction = Transaction(cache)
    live = cache.jobs[filler.id].live
    assert end(transaction, [EndedAttempt(filler.id, t, live[t], "done") for t in live], 0.0)
    commit(cache, transaction)
    cluster_view.touch("vm-2")
    mirror_jobs = [cache.jobs[gang.id]]
    placed = planner.plan(mirror_jobs, {})
    assert [pending_start.spec.id for pending_start in placed] == [gang.id] * 7
    transaction = Transaction(cache)
    start(transaction, gang.id, [pending_start.placement for pending_start in placed], LIMITS)
    commit(cache, transaction)
    for pending_start in list(cluster_view.gate.pending.values()):
        cluster_view.gate.withdraw(pending_start)
    cluster_view.touch("vm-2")
    planner.plan([cache.jobs[small.id]], {})
    assert planner.reservation.reserved == {}


def test_no_room_is_held_where_no_machine_could_hold_the_job_or_its_team_may_not_use_it() -> None:
    for fields in ({"entries": 20, "vcpus": 2.0}, {"entries": 8, "vcpus": 2.0, "bureau": "blue"}):
        cluster_view, planner, cache, _ = scene()
        cluster_view.limits["blue"] = TeamLimits("blue", 4.0, 8.0, 0.0, 0.0)
        gang = accept(cache, number=2, form="group", ram_gb=1.0, **fields)
        cluster_view.now = 1000.0
        hear_again(cluster_view, 2)
        assert planner.plan([gang], {}) == []
        assert planner.reservation.aged(gang)
        assert planner.reservation.reserved == {}


def test_machines_for_a_reservation_are_looked_for_once_in_a_report_interval(monkeypatch) -> None:
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
        hear_again(cluster_view, seq)
        planner.plan(gangs, {})
        cluster_view.now += report_s / 32
        seq += 1
    assert len(looked) == 5
    assert max(looked.values()) <= 11


def test_waiting_tasks_are_listed_only_as_far_as_places_are_found(monkeypatch) -> None:
    """A full fleet costs nothing for each waiting task; seen with arrays of two thousand."""
    cluster_view, planner, cache, _ = scene(value_kb=16.0)
    monkeypatch.setitem(cluster_view.limits, "red", TeamLimits("red"))
    big = accept(cache, entries=2000, vcpus=1.0, ram_gb=0.1)
    listed = 0
    gaps = Ranges.gaps

    def counted(self: Ranges, end: int):
        nonlocal listed
        for task in gaps(self, end):
            listed += 1
            yield task

    monkeypatch.setattr(Ranges, "gaps", counted)
    placed = planner.plan([big], {})
    # Two machines of 4 and 16 CPUs; each of its places costs a step, beside those taken already.
    assert len(placed) == 20 and listed <= 20
    listed = 0
    assert planner.plan([big], {}) == [] and listed == 0


def test_urgent_gangs_hold_a_machine_each_against_lesser_work_at_once() -> None:
    """Seen in a measured day: each GPU that came free went to an array, and gangs found no machine."""
    cluster_view, planner, cache, _ = scene()
    whole: dict[str, Any] = {"vcpus": 4.0, "ram_gb": 1.0, "form": "group", "entries": 1}
    small: dict[str, Any] = {"vcpus": 1.0, "ram_gb": 1.0}
    filler = accept(cache, number=1, entries=20, **small)
    transaction = Transaction(cache)
    places = [Placement(task, "vm-1", "north", 1) for task in range(1)]
    places += [Placement(task, "vm-2", "south", 1) for task in range(1, 15)]
    start(transaction, filler.id, places, LIMITS)
    commit(cache, transaction)
    for machine in ("vm-1", "vm-2"):
        cluster_view.touch(machine)
    gangs = [accept(cache, number=2 + n, rank="urgent", **whole) for n in range(2)]
    found = planner.plan([cache.jobs[filler.id], *gangs], {})
    # One place is left on the large machine and three on the small one: none of them is given away.
    assert found == []
    held = planner.reservation.reserved
    assert held.keys() == {gang.id for gang in gangs}
    assert sorted(len(machines) for machines in held.values()) == [1, 1]
    assert frozenset().union(*held.values()) == {"vm-1", "vm-2"}


def test_a_job_costs_a_look_at_a_sample_and_not_at_each_machine(monkeypatch) -> None:
    """Counted over fleets of two sizes; seen with 1,300 workers: 24 jobs took 150 ms to place."""
    looked: Counter[int] = Counter()
    fetch_s = ClusterView.fetch_s

    def counted(self: ClusterView, spec: JobSpec, room: Any) -> float:
        looked[size] += 1
        return fetch_s(self, spec, room)

    monkeypatch.setattr(ClusterView, "fetch_s", counted)
    for size in (300, 1200):
        cluster_view, planner, cache, reconciler = scene(value_kb=16.0)
        cluster_view.limits["red"] = TeamLimits("red")
        for number in range(size):
            name = f"vm-{1000 + number}"
            report = AgentHeartbeat(name, f"{name}:1", "large", "south", False, 1, 1, 1, None, ())
            cluster_view.heard(reconciler.heard(report, 0.0, direct=False).agent)
        jobs = [accept(cache, number=n, entries=1, vcpus=1.0, parcel=f"img-{n}") for n in range(24)]
        assert len(planner.plan(jobs, {})) == 24
    assert looked[1200] < 1.1 * looked[300]


def test_a_victim_is_chosen_once_while_its_stop_waits_to_be_committed() -> None:
    """Seen in a measured day: 2,810 stops in a minute, one task 110 times, as the store was busy."""
    cluster_view, planner, cache, _ = scene()
    planner.selector.waits["web"] = 1.0
    filler = accept(cache, number=1, entries=10, vcpus=2.0, ram_gb=1.0, rank="normal")
    transaction = Transaction(cache)
    places = [Placement(task, "vm-1", "north", 1) for task in range(2)]
    places += [Placement(task, "vm-2", "south", 1) for task in range(2, 10)]
    start(transaction, filler.id, places, LIMITS)
    commit(cache, transaction)
    for machine in ("vm-1", "vm-2"):
        cluster_view.touch(machine)
    service: dict[str, Any] = {"form": "service", "rank": "prod", "docket": "web", "ram_gb": 1.0}
    web = [accept(cache, number=2 + n, entries=1, vcpus=2.0, **service) for n in range(6)]
    preemption = PreemptionPolicy(cluster_view, planner.selector)
    chosen: list[Any] = []
    report_s = cluster_view.settings.platform.deployment.workers.report_s
    for round_number in range(40):
        # Many rounds of planning pass, and reports come, before anything is written.
        cluster_view.now = round_number * report_s / 4
        hear_again(cluster_view, 2 + round_number)
        chosen += preemption.preempt(web, {})
    victims = Counter((victim.job, victim.task) for victim in chosen)
    assert len(victims) == len(web) and set(victims.values()) == {1}
    assert len({victim.reason for victim in chosen}) == len(web)
    for victim in chosen:
        preemption.settled(victim)
    cluster_view.now += 3 * report_s
    hear_again(cluster_view, 100)
    assert preemption.preempt(web, {}) != []
