"""Transactions of unknown outcome, of each kind: applied late, or applied with a lost response.

A late transaction follows newer ones of the same controller.  If only the response is lost, other
controllers read its changes while the writer keeps running, restarts, or is refused by the store.
"""

from collections.abc import Callable
from typing import Any

import anyio
import pytest

from simulation import SimulatedCluster, job, run
from simulation.fault_scenarios import (
    CANCEL_S,
    FaultScenario,
    cancel_running_jobs,
    leader,
    run_and_expect,
    run_with_faults,
    running_tasks,
    wait_until,
)
from simulation.faults import restart, running_machines
from simulation.rules import started_attempts
from simulation.workloads import submit_in_order, wait_until_healthy

Changes = list[dict[str, Any]]


def changes_job(differs: Callable[[Any, Any], bool]) -> Callable[[SimulatedCluster, Changes], bool]:
    """Return a predicate on changes of a job's record, by its old and new value."""

    def is_selected(cluster: SimulatedCluster, changes: Changes) -> bool:
        for change in changes:
            key = change.get("put", "")
            if key.startswith("s/j/job-"):
                item = cluster.store.items.get(key)
                if differs(None if item is None else item[0], change["v"]):
                    return True
        return False

    return is_selected


def changes_key(*prefixes: str) -> Callable[[SimulatedCluster, Changes], bool]:
    """Return a predicate on changes of keys with one of the prefixes."""
    return lambda cluster, changes: any(
        change.get("put", change.get("drop")).startswith(prefixes) for change in changes
    )


def live_task_count(value: Any) -> int:
    """Return the number of live tasks in a job's record."""
    groups = value.get("l", ()) if isinstance(value, dict) else ()
    ranges = [where[3:] for _, _, *places in groups for where in places]
    return sum(hi - lo for flat in ranges for lo, hi in zip(flat[::2], flat[1::2], strict=True))


def is_cancelled(value: Any) -> bool:
    return isinstance(value, dict) and bool(value.get("c"))


CLAIM = "claim or fence of a team"
KINDS: dict[str, Callable[[SimulatedCluster, Changes], bool]] = {
    "submission": changes_job(lambda old, new: old is None),
    "start": changes_job(lambda old, new: started_attempts(new) > started_attempts(old)),
    "end": changes_job(
        lambda old, new: isinstance(new, dict) and live_task_count(new) < live_task_count(old)
    ),
    "final state": changes_job(lambda old, new: isinstance(new, list)),
    "cancellation": changes_job(lambda old, new: is_cancelled(new) and not is_cancelled(old)),
    "archive": changes_key("s/f/"),
    "fencing token": changes_key("s/term"),
    "inventory": changes_key("s/p/"),
    CLAIM: changes_key("s/t/"),
    "roster": changes_key("s/m/"),
    "instances": changes_key("s/v/"),
    "autoscaler": changes_key("s/renter"),
}


def selector(cluster: SimulatedCluster, kind: str) -> Callable[[Changes], bool]:
    """Return a predicate that selects and counts the transactions of a kind."""

    def select(changes: Changes) -> bool:
        is_selected = KINDS[kind](cluster, changes)
        cluster.observed["selected transaction"] += is_selected
        return is_selected

    return select


async def cause_transaction(cluster: SimulatedCluster, kind: str) -> int:
    """Cause a transaction of a rare kind, and return the index of the controller to restart."""
    index = leader(cluster)
    if kind == "instances":
        running_machines(cluster)[0].terminate(True)  # causes a change of the instance records
        await anyio.sleep(18.0)
    if kind == "cancellation":
        await wait_until(lambda: bool(running_tasks(cluster)), 60.0, 0.1)
        await cancel_running_jobs(cluster, 2)
    if kind in (CLAIM, "roster"):
        index = int(cluster.store.items["s/t/red"][0]["p"].rpartition("-")[2])
    record = cluster.store.items.get("s/renter")
    if kind in ("instances", "autoscaler") and record is not None:
        index = int(record[0].rpartition("-")[2])
    return index


def downtime_s(cluster: SimulatedCluster, kind: str) -> float:
    """Return a controller's downtime; its teams are reassigned only after a long one."""
    return 6.0 if kind in (CLAIM, "roster") else cluster.rng.uniform(0.1, 1.0)


def applied_late(kind: str) -> FaultScenario:
    """Return a scenario in which transactions get no response and are applied late."""

    async def scenario(cluster: SimulatedCluster) -> None:
        fault = cluster.store.unanswered
        fault.selects, fault.share = selector(cluster, kind), 0.4
        for _ in range(2):
            fault.forced_count = 2
            await anyio.sleep(6.0)
            # Late transactions may also come from an earlier process.
            await restart(
                cluster, await cause_transaction(cluster, kind), downtime_s(cluster, kind)
            )
        await anyio.sleep(4.0)
        fault.share = 0.0

    scenario.__name__ = f"late {kind}"
    return scenario


def response_lost(kind: str, fate: str) -> FaultScenario:
    """Return a scenario in which transactions are applied and their responses are lost."""

    async def scenario(cluster: SimulatedCluster) -> None:
        injected = False

        def inject_fate(writer: str) -> None:
            nonlocal injected
            index = int(writer.rpartition("-")[2])
            if injected or writer not in cluster.nodes:
                return
            injected = True
            cluster.observed[fate] += 1
            if fate == "restarts":
                cluster.network.tasks.start_soon(restart, cluster, index, 1.0)
            elif fate == "is refused by the store":
                cluster.store.refused_sources = {writer}

        store = cluster.store
        fault = store.unanswered
        fault.on_lost, fault.at_once, fault.selects = inject_fate, True, selector(cluster, kind)
        fault.share = 0.4
        for _ in range(2):
            injected, fault.forced_count = False, 2
            await anyio.sleep(6.0)
            await restart(
                cluster, await cause_transaction(cluster, kind), downtime_s(cluster, kind)
            )
            await anyio.sleep(4.0)
            store.refused_sources = set()
        fault.share, fault.at_once, fault.on_lost = 0.0, False, None

    scenario.__name__ = f"lost {kind}"
    return scenario


@pytest.mark.parametrize("kind", KINDS)
def test_transaction_applied_late_breaks_no_rule(kind: str) -> None:
    cluster = SimulatedCluster(800 + list(KINDS).index(kind), cancel_s=CANCEL_S)
    run(cluster, lambda: run_with_faults(cluster, (applied_late(kind),), 14))
    assert cluster.violations == [], cluster.violations[:3]
    applied = cluster.observed["late write applied"] + cluster.observed["late write refused"]
    assert applied, (kind, cluster.observed)


@pytest.mark.parametrize("fate", ["keeps running", "restarts", "is refused by the store"])
@pytest.mark.parametrize("kind", KINDS)
def test_lost_response_to_a_transaction_breaks_no_rule(kind: str, fate: str) -> None:
    cluster = SimulatedCluster(850 + list(KINDS).index(kind), cancel_s=CANCEL_S)
    cluster.concurrent_read_share = 1.0
    run_and_expect(
        cluster,
        lambda: run_with_faults(cluster, (response_lost(kind, fate),), 14),
        "transaction response lost",
        "change read by others after its response was lost",
        fate,
    )


async def pipelines_with_late_answers(cluster: SimulatedCluster) -> None:
    """Submit short pipelines while each controller's answers to its commits come 0.5 s late."""
    ids = []
    for number in range(8):
        index = number % cluster.count
        cluster.store.commit_response_delay_s = {f"node-{index}": 0.5}
        small = {"entries": 1, "vcpus": 1.0, "ram_gb": 1.0, "expect_s": 1.0, "image_gb": 0.0}
        first = job(2 * number, **small)
        second = job(2 * number + 1, awaits=[first["id"]], rank="urgent", **small)
        await submit_in_order(cluster, [first, second])
        ids += [first["id"], second["id"]]
        await anyio.sleep(cluster.rng.uniform(2.0, 4.0))
    assert await cluster.until_done(ids, 30.0) == []


@pytest.mark.parametrize("seed", range(640, 644))
def test_pipelines_end_although_answers_to_commits_come_late(seed: int) -> None:
    """Guards against starts that conflict forever, as a late answer restored an archived job."""
    cluster = SimulatedCluster(seed)

    async def main() -> None:
        await wait_until_healthy(cluster)
        await pipelines_with_late_answers(cluster)

    run(cluster, main)
    assert cluster.violations == []
