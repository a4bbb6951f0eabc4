"""Seeded simulation runs ("plays"), by name, for comparing two source trees.

`tools/same_plays.py` runs each play in a separate process, once for each tree.  A play must do the
same in both trees, so an entry is never changed; a changed play gets a new name.  Each play imports
the test modules that it needs.

    python plays.py NAME      (write the play's events to standard output, one per line)
    python plays.py --list
"""

import logging
import os
import sys
from collections.abc import Callable
from typing import Any

Play = Callable[[], object]

# Faults of a cluster: the name in plays, and the function in `simulation.faults`.
FAULTS_OF_A_CLUSTER = {
    "quiet": "no_fault",
    "crashes": "controller_crashes",
    "outage": "store_outage",
    "cuts": "network_cuts",
    "machines": "machine_failures",
    "everything": "all_faults",
    "cut_zone": "zone_cut_off",
    "wave": "spot_reclaim_wave",
    "slow_store": "slow_store",
}
DAY_FAULTS = ("quiet", "crashes", "outage", "cuts", "machines", "everything")
GROWN_FAULTS = ("cut_zone", "wave", "slow_store")
PIPELINE_FAULTS = ("crashes", "outage", "everything")
UPGRADE_FAULTS = ("quiet", "crashes", "cuts", "everything")
# Faults of one controller: the name in plays, and the function in `test_faults`.
FAULTS_OF_A_CONTROLLER = {
    "ends": "controller_crashes",
    "stands_still_past_a_lease": "controller_freezes_past_agent_lease",
    "stands_still_past_its_hold": "controller_freezes_past_its_lease",
    "is_slow": "controller_is_slow",
    "is_not_heard": "messages_to_peers_lost",
    "is_refused_by_all": "connections_to_peers_refused",
    "loses_the_store": "partitioned_from_store",
    "loses_the_machines": "partitioned_from_machines",
    "is_refused_by_the_store": "refused_by_store",
    "two_end": "two_controllers_crash",
    "all_roll": "rolling_restart",
    "flaps": "controller_flaps",
}
# Faults of one controller, each with the mean delay of the store, in seconds.
FAULTS = (
    ("ends", 0.0),
    ("stands_still_past_a_lease", 0.0),
    ("stands_still_past_its_hold", 0.15),
    ("is_slow", 0.0),
    ("is_not_heard", 0.15),
    ("is_refused_by_all", 0.0),
    ("loses_the_store", 0.0),
    ("loses_the_machines", 0.0),
    ("is_refused_by_the_store", 0.0),
    ("two_end", 0.15),
    ("all_roll", 0.0),
    ("flaps", 0.15),
)
# Scenarios: the name in plays, and the function in `test_combined_faults`.
SCENARIOS = {
    "ends_far_apart": "leaders_crash_with_uncommitted_task_ends",
    "old_reports": "delayed_heartbeats",
    "slow_then_refusing": "slow_store_then_outage",
    "deaf_machines": "responses_lost",
    "late_transactions": "late_transactions",
    "over_and_back": "all_controllers_restart",
    "alone": "leader_partitioned",
    "held_up": "commands_delayed",
    "answers_lost": "store_responses_lost",
    "mute_machines": "heartbeats_lost",
    "kept_reports": "replayed_heartbeats",
    "called_off_hanging": "cancelled_on_hanging_machines",
    "looked_at": "concurrent_reads",
    "called_off_at_end": "cancelled_at_completion",
    "machines_at_once": "machines_replaced_at_once",
    "zone_alone": "zone_partitioned",
}
COMBINED = (
    *((name,) for name in list(SCENARIOS)[:12]),
    ("looked_at", "called_off_at_end"),
    ("machines_at_once", "zone_alone"),
    ("late_transactions", "ends_far_apart"),
    ("slow_then_refusing", "over_and_back"),
)
# Numbers of plays.
CANCELLED_IN_AN_OUTAGE = 4
HANDOVERS = 4
# Transaction kinds and faults of the writer: the name in plays, and in `test_late_writes`.
KINDS = {
    "filing": "archive",
    "fleet": "instances",
    "renter": "autoscaler",
    "outcome": "final state",
}
FATES = {
    "lives on": "keeps running",
    "ends": "restarts",
    "is refused": "is refused by the store",
}
LATE_TRANSACTIONS = ("submission", "filing", "roster", "fleet", "renter")
LOST_ANSWERS = (("start", "ends"), ("outcome", "is refused"), ("cancellation", "lives on"))


def _fault_of_a_cluster(name: str) -> Any:
    from simulation import faults

    return getattr(faults, FAULTS_OF_A_CLUSTER[name])


def _day(seed: int, fault: str) -> None:
    import test_random_faults

    test_random_faults.play_small_cluster(seed, _fault_of_a_cluster(fault))


def _grown(seed: int, fault: str) -> None:
    import test_random_faults

    test_random_faults.play_large_cluster(seed, _fault_of_a_cluster(fault))


def _pipelines(seed: int, fault: str) -> None:
    import test_dependencies

    test_dependencies.play_pipelines(seed, _fault_of_a_cluster(fault))


def _upgrade(seed: int, fault: str) -> None:
    import test_upgrade

    test_upgrade.play_upgrade(seed, _fault_of_a_cluster(fault))


def _versions_in_any_order() -> None:
    import test_upgrade

    test_upgrade.test_old_and_new_controllers_share_records_in_any_upgrade_order()


def _fault(seed: int, fault: str, slow_s: float) -> None:
    import test_faults

    test_faults.play_fault(seed, getattr(test_faults, FAULTS_OF_A_CONTROLLER[fault]), slow_s)


def _combined(seed: int, *names: str) -> None:
    import test_combined_faults

    scenarios = (getattr(test_combined_faults, SCENARIOS[name]) for name in names)
    test_combined_faults.play_scenarios(seed, *scenarios)


def _cancelled_in_an_outage(seed: int, count: int, number: int) -> None:
    import test_cancel_during_outage as tests

    fault = tests.FAULTS[number]
    tests.play_cancel_during_outage(seed, count, fault, number == 1, 0.8 * (number == 2))


def _cancelled_at_handover(number: int, count: int) -> None:
    import test_cancelled_during_reassignment as tests

    tests.test_cancelled_tasks_end_during_a_reassignment_of_teams(
        tests.REASSIGNMENT_CAUSES[number], count
    )


def _late_transaction(kind: str) -> None:
    import test_late_writes

    test_late_writes.test_transaction_applied_late_breaks_no_rule(KINDS.get(kind, kind))


def _lost_answer(kind: str, fate: str) -> None:
    import test_late_writes

    test_late_writes.test_lost_response_to_a_transaction_breaks_no_rule(
        KINDS.get(kind, kind), FATES[fate]
    )


def _gpu_gangs() -> None:
    import test_quota

    test_quota.test_gpu_gangs_in_one_zone_finish_under_a_limit_on_gpus_only(7)


def _largest_jobs() -> None:
    import test_large_and_small_jobs

    test_large_and_small_jobs.test_the_largest_jobs_start_under_more_work_than_capacity(
        "group", 1200
    )


def _bound_to_a_zone() -> None:
    import test_large_and_small_jobs

    test_large_and_small_jobs.test_jobs_bound_to_a_zone_finish_though_machines_are_lost("service")


def _odd_requests() -> None:
    import test_read_consistency

    test_read_consistency.test_invalid_requests_get_the_documented_status_at_every_node()


def _old_reports_at_seven() -> None:
    import test_leaders

    test_leaders.test_replayed_heartbeats_reach_every_controller_during_a_leader_change(
        count=7, when="after it has acted"
    )


def _ten_leaders() -> None:
    import test_leaders

    test_leaders.test_ten_leader_changes_in_two_minutes(True)


def _close_look() -> None:
    import test_read_consistency

    test_read_consistency.test_concurrent_reads_at_all_nodes_never_return_older_states(
        test_read_consistency.leader_restarts, 7
    )


def _nine_controllers() -> None:
    import test_random_faults
    from simulation import SimulatedCluster, faults, run

    cluster = SimulatedCluster(1400, count=9)
    run(cluster, lambda: test_random_faults.run_jobs_with_fault(cluster, faults.all_faults))
    assert cluster.violations == []


def _plays() -> dict[str, Play]:
    """Return all plays by name, the longest first."""
    plays: dict[str, Play] = {}

    def add(name: str, play: Callable[..., object], *arguments: object) -> None:
        plays[name] = lambda: play(*arguments)

    for number, fault in enumerate(GROWN_FAULTS):
        add(f"grown {fault}", _grown, 2000 + number, fault)
    add("nine controllers, everything", _nine_controllers)
    add("seven controllers, close looks", _close_look)
    add("seven controllers, old reports", _old_reports_at_seven)
    add("ten leaders, an outage", _ten_leaders)
    for number, fault in enumerate(UPGRADE_FAULTS):
        add(f"two versions, {fault}", _upgrade, 2100 + number, fault)
    add("two versions in any order", _versions_in_any_order)
    for number in range(CANCELLED_IN_AN_OUTAGE):
        count = (3, 7)[number % 2]
        add(
            f"cancelled in an outage {number}", _cancelled_in_an_outage, 100 + number, count, number
        )
    for number in range(HANDOVERS):
        count = (7, 3)[number % 2]
        add(f"cancelled as work changes hands {number}", _cancelled_at_handover, number, count)
    for kind in LATE_TRANSACTIONS:
        add(f"late transaction: {kind}", _late_transaction, kind)
    for kind, fate in LOST_ANSWERS:
        add(f"lost answer: {kind}, its writer {fate}", _lost_answer, kind, fate)
    add("gangs of GPUs", _gpu_gangs)
    add("largest jobs", _largest_jobs)
    add("bound to a zone", _bound_to_a_zone)
    add("odd requests", _odd_requests)
    for number, names in enumerate(COMBINED):
        add(f"combined: {', '.join(names)}", _combined, 2300 + number, *names)
    for number, fault in enumerate(PIPELINE_FAULTS):
        add(f"pipelines, {fault}", _pipelines, 2400 + number, fault)
    for number, (fault, slow_s) in enumerate(FAULTS):
        add(f"fault: {fault}", _fault, 2500 + number, fault, slow_s)
    for number, fault in enumerate(DAY_FAULTS):
        add(f"day, {fault}", _day, 2600 + number, fault)
    return plays


def main(arguments: list[str]) -> int:
    """Run one play and print its events, or list the names."""
    plays = _plays()
    if arguments == ["--list"]:
        print("\n".join(plays))
        return 0
    import simulation

    logging.disable(logging.CRITICAL)
    with os.fdopen(os.dup(1), "w", encoding="utf-8", buffering=1 << 20) as events:
        simulation.TRACE.listener = lambda event: print(event, file=events)
        plays[arguments[0]]()
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
