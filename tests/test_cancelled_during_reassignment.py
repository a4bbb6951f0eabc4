"""Cancellations in the seconds in which teams are reassigned to other controllers."""

from collections.abc import Awaitable, Callable

import anyio
import pytest

from sandladder.model import SUSPECT
from sandladder.state import ROSTER_KEY
from simulation import LEASE_S, SimulatedCluster, job, now
from simulation.fault_scenarios import (
    CANCEL_S,
    LONG_TASK_S,
    cancel_all_and_recover,
    run_and_expect,
    run_long_jobs,
    wait_until,
)
from simulation.faults import restart
from simulation.workloads import wait_until_healthy

Handover = Callable[[SimulatedCluster, int], Awaitable[None]]
# A cancellation counts as close to a reassignment if so many seconds lie between them.
CLOSE_S = 2.0


async def controller_crashes(cluster: SimulatedCluster, index: int) -> None:
    """It ends at once and returns after others have taken over."""
    await restart(cluster, index, 8.0)


async def controllers_restart_in_turn(cluster: SimulatedCluster, index: int) -> None:
    """All controllers restart, one after the other."""
    for number in range(cluster.count):
        await restart(cluster, (index + number) % cluster.count, 1.5)
        await anyio.sleep(4.0)


async def controller_leaves(cluster: SimulatedCluster, index: int) -> None:
    """It shuts down in order, as on a signal."""
    node = cluster.nodes[f"node-{index}"]
    done = anyio.Event()

    async def shut_down() -> None:
        with anyio.CancelScope():
            await node.membership.leave(node.report_s)
        done.set()

    node.on_processor(lambda: node.tasks.start_soon(shut_down))
    await done.wait()
    await restart(cluster, index, 6.0)


async def controller_freezes(cluster: SimulatedCluster, index: int) -> None:
    """It is frozen until the others have taken over, and goes on."""
    cluster.freeze(index)
    await anyio.sleep(2 * LEASE_S + 6.0)
    cluster.thaw(index)


HANDOVERS: list[Handover] = [
    controller_crashes,
    controllers_restart_in_turn,
    controller_leaves,
    controller_freezes,
]


def team_moves(cluster: SimulatedCluster) -> list[tuple[float, str]]:
    """When which team's record came to name another process."""
    moves: list[tuple[float, str]] = []
    assignment: dict[str, object] = {}
    for at, key, value in cluster.store.history:
        if key.startswith("s/t/") and isinstance(value, dict):
            if key in assignment and assignment[key] != value:
                moves.append((at, key[4:]))
            assignment[key] = value
    return moves


def suspected(cluster: SimulatedCluster, index: int) -> bool:
    """Whether the agreed roster says that this controller is under suspicion."""
    roster = cluster.store.items.get(ROSTER_KEY, ({}, 0, None))[0]
    member = roster.get(f"node-{index}")
    return member is not None and SUSPECT in member


async def cancel_elsewhere(cluster: SimulatedCluster, job_id: str, index: int) -> None:
    """A user cancels a job at any controller but one."""
    others = [other for other in range(cluster.count) if other != index]
    await cluster.cancel(job_id, 240, cluster.rng.choice(others))


def cancellations(cluster: SimulatedCluster) -> list[tuple[float, str]]:
    """When the cancellation of which job was committed."""
    found: dict[str, float] = {}
    for at, key, value in cluster.store.history:
        cancelled = isinstance(value, dict) and value.get("c")
        cancelled = cancelled or (isinstance(value, list) and value and value[0] == "cancelled")
        if key.startswith("s/j/") and cancelled:
            found.setdefault(key[4:], at)
    return [(at, job_id) for job_id, at in found.items()]


def busiest_controller(cluster: SimulatedCluster) -> int:
    """The controller to which most teams are assigned."""
    assignees = [
        value["p"] for key, (value, _, _) in cluster.store.items.items() if key.startswith("s/t/")
    ]
    busiest = max(sorted(set(assignees)), key=assignees.count)
    return int(busiest.rpartition("-")[2])


class CancellingUsers:
    """Users who cancel running and new jobs before, at and after the reassignment of teams."""

    def __init__(self, cluster: SimulatedCluster, ids: list[str], handover: Handover) -> None:
        self._cluster, self._handover = cluster, handover
        self._index = busiest_controller(cluster)
        self._earlier_moves = len(team_moves(cluster))
        self._running = list(ids)
        # Cancelled as soon as the reassignment can be foreseen: committed before it.
        self._first = [self._running.pop() for _ in range(3)]
        # More jobs of each team: they wait, or are being started as they are cancelled.
        self.more = [
            job(100 + n, vcpus=1.0, entries=2, expect_s=LONG_TASK_S, bureau=("red", "blue")[n % 2])
            for n in range(12)
        ]
        self._over = False

    def moves(self) -> list[float]:
        """When teams were reassigned since these users began."""
        return [at for at, _ in team_moves(self._cluster)[self._earlier_moves :]]

    async def run(self) -> None:
        """Submit and cancel until the handover is over."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._reassign)
            tasks.start_soon(self._submit_and_cancel)
            if self._handover is not controller_leaves:
                tasks.start_soon(self._cancel_on_suspicion)

    async def _reassign(self) -> None:
        if self._handover is controller_leaves:
            # It hands over as soon as it shuts down; so they are cancelled before that.
            for job_id in self._first:
                await cancel_elsewhere(self._cluster, job_id, self._index)
        await self._handover(self._cluster, self._index)
        self._over = True

    async def _cancel_on_suspicion(self) -> None:
        await wait_until(lambda: suspected(self._cluster, self._index), 2 * LEASE_S)
        tasks = self._cluster.network.tasks
        for job_id in self._first:
            tasks.start_soon(cancel_elsewhere, self._cluster, job_id, self._index)

    async def _submit_and_cancel(self) -> None:
        tasks = self._cluster.network.tasks
        for number in range(120):
            if number % 4 == 0 and number // 4 < len(self.more):
                tasks.start_soon(self._cluster.submit, self.more[number // 4], 240)
            moves = self.moves()
            if number % 4 == 0 or (moves and now() - moves[-1] < CLOSE_S):
                self._cancel_one(prefer_new=bool(number % 8))
            await anyio.sleep(0.25)
            if self._over and number > 60:
                break

    def _cancel_one(self, prefer_new: bool) -> None:
        """Start to cancel a random job, of the new or of the running ones."""
        cluster = self._cluster
        new = [spec["id"] for spec in self.more if spec["id"] in cluster.accepted]
        new = [job_id for job_id in new if job_id not in cluster.cancelled_at]
        pool = new if prefer_new and new else self._running
        if not pool:
            return
        chosen = pool[cluster.rng.randrange(len(pool))]
        if chosen in self._running:
            self._running.remove(chosen)
        cluster.network.tasks.start_soon(cluster.cancel, chosen, 240)


@pytest.mark.parametrize("count", [3, 7])
@pytest.mark.parametrize("handover", HANDOVERS, ids=lambda h: h.__name__)
def test_cancelled_while_teams_are_reassigned(handover: Handover, count: int) -> None:
    """Before, at and after the commits that reassign teams; starts wait and are in flight too."""
    cluster = SimulatedCluster(1010 + HANDOVERS.index(handover), count, cancel_s=CANCEL_S)

    async def main() -> None:
        await wait_until_healthy(cluster)
        ids = await run_long_jobs(cluster, 18, entries=1)
        cluster.concurrent_read_share = 0.3
        users = CancellingUsers(cluster, ids, handover)
        await users.run()
        moves = users.moves()
        for at, _ in cancellations(cluster):
            before = any(0 <= move - at < CLOSE_S for move in moves)
            after = any(0 < at - move < CLOSE_S for move in moves)
            cluster.observed["just before a reassignment"] += before
            cluster.observed["just after a reassignment"] += after
        submitted = [spec["id"] for spec in users.more if spec["id"] in cluster.specs]
        await cancel_all_and_recover(cluster, ids + submitted)

    run_and_expect(cluster, main, "just before a reassignment", "just after a reassignment")
