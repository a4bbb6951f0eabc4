"""Preemption of running tasks for more urgent work, and graceful eviction of replicas."""

from collections import Counter
from typing import Any

from helpers import accept, scheduler_with_two_machines
from sandladder.model import Machine, MachineStatus
from sandladder.scheduling import (
    MachineDeparture,
    PreemptionPolicy,
    PreemptionVictim,
    WaitingTask,
)
from scheduling_scenes import commit_starts, send_heartbeats


def test_replicas_are_evicted_from_a_draining_machine_but_not_from_a_silent_one() -> None:
    cluster_view, planner, cache, _ = scheduler_with_two_machines()
    service = accept(cache, entries=2, form="service", rank="prod", loaners=False)
    service = commit_starts(cluster_view, service, "vm-1", "vm-1")
    cache.instances["vm-1"] = Machine("small", "north", False, "draining", 0.0)
    evictions = PreemptionPolicy(cluster_view, planner.selector).graceful_evictions([service])
    assert [eviction.machine for eviction in evictions] == ["vm-1"]
    assert [eviction.reason for eviction in evictions] == [MachineDeparture.DRAINING]
    cluster_view.now = cluster_view.peer_fresh_s + 1.0
    cluster_view.record_peer_status(
        "node-0", "vm-2", MachineStatus("large", "south", False, 1, 0.0)
    )
    assert PreemptionPolicy(cluster_view, planner.selector).graceful_evictions([service]) == []


def test_a_victim_is_chosen_only_once_while_its_stop_waits_for_the_commit() -> None:
    """Guards against repeated stops of the same task while the store is slow."""
    cluster_view, planner, cache, _ = scheduler_with_two_machines()
    planner.selector.start_within_s["web"] = 1.0
    filler = accept(cache, number=1, entries=10, vcpus=2.0, ram_gb=1.0, rank="normal")
    commit_starts(cluster_view, filler, *["vm-1"] * 2, *["vm-2"] * 8)
    service_fields: dict[str, Any] = {
        "form": "service",
        "rank": "prod",
        "docket": "web",
        "ram_gb": 1.0,
    }
    services = [
        accept(cache, number=2 + n, entries=1, vcpus=2.0, **service_fields) for n in range(6)
    ]
    preemption = PreemptionPolicy(cluster_view, planner.selector)
    chosen: list[PreemptionVictim] = []
    report_s = cluster_view.settings.platform.deployment.workers.report_s
    for round_number in range(40):
        # Several planning rounds and heartbeats precede the commit of any stop.
        cluster_view.now = round_number * report_s / 4
        send_heartbeats(cluster_view, 2 + round_number)
        chosen += preemption.preempt(services, {})
    victims = Counter((victim.job, victim.task) for victim in chosen)
    assert len(victims) == len(services) and set(victims.values()) == {1}
    assert {victim.reason for victim in chosen} == {WaitingTask(job.id, 0) for job in services}
    for victim in chosen:
        preemption.stop_settled(victim)
    cluster_view.now += 3 * report_s
    send_heartbeats(cluster_view, 100)
    assert preemption.preempt(services, {}) != []
