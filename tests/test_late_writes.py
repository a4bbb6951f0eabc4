"""Each kind of transaction gets no response: it is applied after newer ones, or at once.

Applied late, it follows newer transactions of the same controller.  Applied at once, others read what
it wrote before its writer knows, and the writer lives on, ends, or is refused by the store just then.
"""

from collections.abc import Callable
from typing import Any

import anyio
import pytest

from simulation import SimulatedCluster, run
from simulation.fault_scenarios import (
    CANCEL_S,
    FaultScenario,
    leader,
    run_and_expect,
    run_with_faults,
)
from simulation.faults import restart, running_machines
from simulation.rules import started_attempts

Changes = list[dict[str, Any]]


def of_job(differs: Callable[[Any, Any], bool]) -> Callable[[SimulatedCluster, Changes], bool]:
    """A change of a job's record, selected by what it was and what it becomes."""

    def found(cluster: SimulatedCluster, changes: Changes) -> bool:
        for change in changes:
            key = change.get("put", "")
            if key.startswith("s/j/job-"):
                item = cluster.store.items.get(key)
                if differs(None if item is None else item[0], change["v"]):
                    return True
        return False

    return found


def of_key(*prefixes: str) -> Callable[[SimulatedCluster, Changes], bool]:
    return lambda cluster, changes: any(
        change.get("put", change.get("drop")).startswith(prefixes) for change in changes
    )


def live_tasks(value: Any) -> int:
    """How many live tasks a job's record has: by attempt and stop, by machine, in ranges."""
    groups = value.get("l", ()) if isinstance(value, dict) else ()
    ranges = [where[3:] for _, _, *places in groups for where in places]
    return sum(hi - lo for flat in ranges for lo, hi in zip(flat[::2], flat[1::2], strict=True))


def cancelled(value: Any) -> bool:
    return isinstance(value, dict) and bool(value.get("c"))


CLAIM = "claim or fence of a team"
KINDS: dict[str, Callable[[SimulatedCluster, Changes], bool]] = {
    "submission": of_job(lambda old, new: old is None),
    "start": of_job(lambda old, new: started_attempts(new) > started_attempts(old)),
    "end": of_job(lambda old, new: isinstance(new, dict) and live_tasks(new) < live_tasks(old)),
    "final state": of_job(lambda old, new: isinstance(new, list)),
    "cancellation": of_job(lambda old, new: cancelled(new) and not cancelled(old)),
    "archive": of_key("s/f/"),
    "fencing token": of_key("s/term"),
    "inventory": of_key("s/p/"),
    CLAIM: of_key("s/t/"),
    "roster": of_key("s/m/"),
    "instances": of_key("s/v/"),
    "autoscaler": of_key("s/renter"),
}


def selected(cluster: SimulatedCluster, kind: str) -> Callable[[Changes], bool]:
    """Selects the transactions of a kind, and counts them."""

    def select(changes: Changes) -> bool:
        found = KINDS[kind](cluster, changes)
        cluster.observed["such a transaction"] += found
        return found

    return select


async def bring_about(cluster: SimulatedCluster, kind: str) -> int:
    """Have something of a rare kind written; the controller to which that falls."""
    index = leader(cluster)
    if kind == "instances":
        running_machines(cluster)[0].terminate(True)  # so that there is something to record
        await anyio.sleep(18.0)
    if kind in (CLAIM, "roster"):
        index = int(cluster.store.items["s/t/red"][0]["p"].rpartition("-")[2])
    record = cluster.store.items.get("s/renter")
    if kind in ("instances", "autoscaler") and record is not None:
        index = int(record[0].rpartition("-")[2])
    return index


def away_s(cluster: SimulatedCluster, kind: str) -> float:
    """How long a controller is away: its work is handed over only if it does not return at once."""
    return 6.0 if kind in (CLAIM, "roster") else cluster.rng.uniform(0.1, 1.0)


def applied_late(kind: str) -> FaultScenario:
    async def scenario(cluster: SimulatedCluster) -> None:
        fault = cluster.store.unanswered
        fault.selects, fault.share = selected(cluster, kind), 0.4
        for _ in range(2):
            fault.certain = 2
            await anyio.sleep(6.0)
            # Also of an earlier process.
            await restart(cluster, await bring_about(cluster, kind), away_s(cluster, kind))
        await anyio.sleep(4.0)
        fault.share = 0.0

    scenario.__name__ = f"late {kind}"
    return scenario


def response_lost(kind: str, fate: str) -> FaultScenario:
    """Applied at once, only the response is lost; then the writer lives on, ends or is refused."""

    async def scenario(cluster: SimulatedCluster) -> None:
        struck = False

        def strike(writer: str) -> None:
            nonlocal struck
            index = int(writer.rpartition("-")[2])
            if struck or writer not in cluster.nodes:
                return
            struck = True
            cluster.observed[fate] += 1
            if fate == "ends":
                cluster.network.tasks.start_soon(restart, cluster, index, 1.0)
            elif fate == "is refused":
                cluster.store.refused_sources = {writer}

        store = cluster.store
        fault = store.unanswered
        fault.on_lost, fault.at_once, fault.selects = strike, True, selected(cluster, kind)
        fault.share = 0.4
        for _ in range(2):
            struck, fault.certain = False, 2
            await anyio.sleep(6.0)
            await restart(cluster, await bring_about(cluster, kind), away_s(cluster, kind))
            await anyio.sleep(4.0)
            store.refused_sources = set()
        fault.share, fault.at_once, fault.on_lost = 0.0, False, None

    scenario.__name__ = f"lost {kind}"
    return scenario


@pytest.mark.parametrize("kind", KINDS)
def test_a_transaction_applied_late_is_harmless(kind: str) -> None:
    cluster = SimulatedCluster(800 + list(KINDS).index(kind), cancel_s=CANCEL_S)
    run(cluster, lambda: run_with_faults(cluster, (applied_late(kind),), 14))
    assert cluster.violations == [], cluster.violations[:3]
    applied = cluster.observed["late write taken"] + cluster.observed["late write refused"]
    assert applied, (kind, cluster.observed)


@pytest.mark.parametrize("fate", ["lives on", "ends", "is refused"])
@pytest.mark.parametrize("kind", KINDS)
def test_a_lost_response_to_a_transaction_is_harmless(kind: str, fate: str) -> None:
    cluster = SimulatedCluster(850 + list(KINDS).index(kind), cancel_s=CANCEL_S)
    cluster.concurrent_read_share = 1.0
    run_and_expect(
        cluster,
        lambda: run_with_faults(cluster, (response_lost(kind, fate),), 14),
        "answer lost",
        "read by others while its writer did not know",
        fate,
    )
