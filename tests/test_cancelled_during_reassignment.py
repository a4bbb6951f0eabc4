"""Cancellations within seconds of a reassignment of teams to other controllers."""

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

ReassignmentCause = Callable[[SimulatedCluster, int], Awaitable[None]]
# A cancellation within this time of a reassignment, in seconds, counts as just before or after it.
MAX_GAP_S = 2.0


async def controller_crashes(cluster: SimulatedCluster, index: int) -> None:
    """Crash the controller and restart it after the failover of its teams."""
    await restart(cluster, index, 8.0)


async def controllers_restart_in_turn(cluster: SimulatedCluster, index: int) -> None:
    """Restart all controllers, one after the other."""
    for number in range(cluster.count):
        await restart(cluster, (index + number) % cluster.count, 1.5)
        await anyio.sleep(4.0)


async def controller_leaves(cluster: SimulatedCluster, index: int) -> None:
    """Shut the controller down gracefully, as on a signal, and restart it."""
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
    """Freeze the controller until its teams have failed over."""
    cluster.freeze(index)
    await anyio.sleep(2 * LEASE_S + 6.0)
    cluster.thaw(index)


REASSIGNMENT_CAUSES: list[ReassignmentCause] = [
    controller_crashes,
    controllers_restart_in_turn,
    controller_leaves,
    controller_freezes,
]


def team_moves(cluster: SimulatedCluster) -> list[tuple[float, str]]:
    """Return the times and names of the teams that were assigned to another process."""
    moves: list[tuple[float, str]] = []
    assignment: dict[str, object] = {}
    for at, key, value in cluster.store.history:
        if key.startswith("s/t/") and isinstance(value, dict):
            if key in assignment and assignment[key] != value:
                moves.append((at, key[4:]))
            assignment[key] = value
    return moves


def is_suspected(cluster: SimulatedCluster, index: int) -> bool:
    """Return whether a controller is suspected according to the roster."""
    roster = cluster.store.items.get(ROSTER_KEY, ({}, 0, None))[0]
    member = roster.get(f"node-{index}")
    return member is not None and SUSPECT in member


async def cancel_elsewhere(cluster: SimulatedCluster, job_id: str, index: int) -> None:
    """Cancel a job as a user, at any controller except one."""
    others = [other for other in range(cluster.count) if other != index]
    await cluster.cancel(job_id, 240, cluster.rng.choice(others))


def cancellations(cluster: SimulatedCluster) -> list[tuple[float, str]]:
    """Return the commit times and IDs of the cancelled jobs."""
    committed_at: dict[str, float] = {}
    for at, key, value in cluster.store.history:
        cancelled = isinstance(value, dict) and value.get("c")
        cancelled = cancelled or (isinstance(value, list) and value and value[0] == "cancelled")
        if key.startswith("s/j/") and cancelled:
            committed_at.setdefault(key[4:], at)
    return [(at, job_id) for job_id, at in committed_at.items()]


def busiest_controller(cluster: SimulatedCluster) -> int:
    """Return the index of the controller to which most teams are assigned."""
    assignees = [
        value["p"] for key, (value, _, _) in cluster.store.items.items() if key.startswith("s/t/")
    ]
    busiest = max(sorted(set(assignees)), key=assignees.count)
    return int(busiest.rpartition("-")[2])


class CancellingUsers:
    """Users that cancel running and new jobs before, during and after a reassignment of teams."""

    def __init__(self, cluster: SimulatedCluster, ids: list[str], cause: ReassignmentCause) -> None:
        self._cluster, self._cause = cluster, cause
        self._index = busiest_controller(cluster)
        self._moves_at_start = len(team_moves(cluster))
        self._running = list(ids)
        # Cancelled once the controller is suspected, so that they are committed before the failover.
        self._cancelled_early = [self._running.pop() for _ in range(3)]
        # New jobs of each team that are waiting or being started when they are cancelled.
        self.new_jobs = [
            job(100 + n, vcpus=1.0, entries=2, expect_s=LONG_TASK_S, bureau=("red", "blue")[n % 2])
            for n in range(12)
        ]
        self._done = False

    def moves(self) -> list[float]:
        """Return the times at which teams were reassigned since these users started."""
        return [at for at, _ in team_moves(self._cluster)[self._moves_at_start :]]

    async def run(self) -> None:
        """Submit and cancel jobs until the reassignment is complete."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._reassign)
            tasks.start_soon(self._submit_and_cancel)
            if self._cause is not controller_leaves:
                tasks.start_soon(self._cancel_on_suspicion)

    async def _reassign(self) -> None:
        if self._cause is controller_leaves:
            # There is no suspicion before a graceful shutdown, so cancel before it.
            for job_id in self._cancelled_early:
                await cancel_elsewhere(self._cluster, job_id, self._index)
        await self._cause(self._cluster, self._index)
        self._done = True

    async def _cancel_on_suspicion(self) -> None:
        await wait_until(lambda: is_suspected(self._cluster, self._index), 2 * LEASE_S)
        tasks = self._cluster.network.tasks
        for job_id in self._cancelled_early:
            tasks.start_soon(cancel_elsewhere, self._cluster, job_id, self._index)

    async def _submit_and_cancel(self) -> None:
        tasks = self._cluster.network.tasks
        for number in range(120):
            if number % 4 == 0 and number // 4 < len(self.new_jobs):
                tasks.start_soon(self._cluster.submit, self.new_jobs[number // 4], 240)
            moves = self.moves()
            if number % 4 == 0 or (moves and now() - moves[-1] < MAX_GAP_S):
                self._cancel_one(prefer_new=bool(number % 8))
            await anyio.sleep(0.25)
            if self._done and number > 60:
                break

    def _cancel_one(self, prefer_new: bool) -> None:
        """Start cancelling a random job, either a new or a running one."""
        cluster = self._cluster
        new = [spec["id"] for spec in self.new_jobs if spec["id"] in cluster.accepted]
        new = [job_id for job_id in new if job_id not in cluster.cancelled_at]
        candidates = new if prefer_new and new else self._running
        if not candidates:
            return
        chosen = candidates[cluster.rng.randrange(len(candidates))]
        if chosen in self._running:
            self._running.remove(chosen)
        cluster.network.tasks.start_soon(cluster.cancel, chosen, 240)


@pytest.mark.parametrize("count", [3, 7])
@pytest.mark.parametrize("cause", REASSIGNMENT_CAUSES, ids=lambda cause: cause.__name__)
def test_cancelled_tasks_end_during_a_reassignment_of_teams(
    cause: ReassignmentCause, count: int
) -> None:
    """Jobs are cancelled just before and after the commits of a reassignment, also while starting."""
    cluster = SimulatedCluster(1010 + REASSIGNMENT_CAUSES.index(cause), count, cancel_s=CANCEL_S)

    async def main() -> None:
        await wait_until_healthy(cluster)
        ids = await run_long_jobs(cluster, 18, entries=1)
        cluster.concurrent_read_share = 0.3
        users = CancellingUsers(cluster, ids, cause)
        await users.run()
        moves = users.moves()
        for at, _ in cancellations(cluster):
            before = any(0 <= move - at < MAX_GAP_S for move in moves)
            after = any(0 < at - move < MAX_GAP_S for move in moves)
            cluster.observed["just before a reassignment"] += before
            cluster.observed["just after a reassignment"] += after
        submitted = [spec["id"] for spec in users.new_jobs if spec["id"] in cluster.specs]
        await cancel_all_and_recover(cluster, ids + submitted)

    run_and_expect(cluster, main, "just before a reassignment", "just after a reassignment")
