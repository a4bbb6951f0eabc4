"""Tests of the periodic pass that records attempts as lost."""

from types import SimpleNamespace
from typing import Any

import anyio

from helpers import LIMITS, accept, commit
from sandladder import clock
from sandladder.agents import AgentRecords, LeaseExpiryProof, LeaseRenewalGuard, Reconciler
from sandladder.agents.agent_expiry import AgentExpiry
from sandladder.agents.collaborators import SchedulerCallbacks, StoreAccess
from sandladder.config import AgentSettings
from sandladder.jobs import start
from sandladder.model import AgentHeartbeat, EndedAttempt, MachineInventory, Placement
from sandladder.state import StateCache, Transaction
from simulation import CANCEL_S, LEASE_S, REPORT_S, ZONES, SimulatedCluster, job, now, run
from simulation.event_loop import VirtualTimeEventLoop
from simulation.fault_scenarios import LONG_TASK_S, wait_until
from simulation.faults import running_machines
from simulation.workers import Worker
from simulation.workloads import wait_until_healthy

WORKERS = AgentSettings(report_s=REPORT_S, lease_s=LEASE_S, cancel_s=CANCEL_S)
TOKEN = 5
# How long the store takes to grant a fencing token.
SLOW_TOKEN_S = 2 * LEASE_S
_READ_INTERVAL_S = 0.5
# Limits that do not restrict the jobs of these tests.
_LARGE_LIMITS = [
    {"name": "red", "cpus": 160.0, "cpus_max": 480.0, "gpus": 2.0, "gpus_max": 4.0},
    {"name": "blue", "cpus": 160.0, "cpus_max": 320.0},
]
_SMALL_JOBS, _TASKS_PER_JOB = 10, 4
# Delay of the responses to commits, which is above the controllers' timeout.
_SLOW_COMMIT_S = 3.0


class ExpiryFixture:
    """The pass of node a; its peer is node b, and the agent on vm-1 may start a task late."""

    def __init__(self) -> None:
        self.cache, self.reconciler = StateCache(), Reconciler()
        accept(self.cache, entries=1)
        self.lease_expiry = LeaseExpiryProof("a", ["a", "b"], LEASE_S, clock.now())
        self.reconciler.adopt_fencing_token(TOKEN)
        heartbeat = AgentHeartbeat("vm-1", "vm-1:1", "small", "north", False, 1, 1, TOKEN, None, ())
        session = self.reconciler.receive_heartbeat(heartbeat, clock.now(), direct=False).agent
        session.unanswered_start_token = TOKEN
        self.token_delay_s = 0.0
        self.ended: list[EndedAttempt] = []
        guard = LeaseRenewalGuard("a", ["b"], 1, WORKERS)
        observations = SimpleNamespace(
            observation=lambda machine: None, now=0.0, forget_missing=lambda: None
        )
        self.expiry = AgentExpiry(
            WORKERS,
            AgentRecords(self.reconciler, self.lease_expiry, guard),
            StoreAccess(self.cache, SimpleNamespace(loaded=True), lambda: True),  # type: ignore[arg-type]
            SimpleNamespace(ensure_token=self._ensure_token),  # type: ignore[arg-type]
            SchedulerCallbacks(
                cluster=observations,  # type: ignore[arg-type]
                advance_time=clock.now,
                record_ended_attempts=self.ended.extend,
                commit_due_ends=lambda: None,
                avoided_machines={},
                request_planning=lambda: None,
            ),
            SimpleNamespace(update_agent_count=lambda now: None),  # type: ignore[arg-type]
            SimpleNamespace(close_except=self._close_except),  # type: ignore[arg-type]
        )

    async def _ensure_token(self, minimum: int) -> bool:
        delay_s, self.token_delay_s = self.token_delay_s, 0.0
        await anyio.sleep(delay_s)
        return True

    async def _close_except(self, machines: Any) -> None:
        pass

    def start_task(self, machine: str) -> None:
        """Commit a start on a machine in its first agent epoch."""
        transaction = Transaction(self.cache)
        start(transaction, "job-000001", [Placement(0, machine, "north", 1)], LIMITS)
        commit(self.cache, transaction)

    async def read_store(self, peer_machines: dict[str, Any]) -> None:
        """Read the store at intervals until cancelled; node b publishes its machines each time."""
        started_at, revision = clock.now(), 100
        while True:
            revision += 1
            inventory = MachineInventory(1, clock.now() - started_at, revision - 1, peer_machines)
            self.lease_expiry.observe_inventories({"b": inventory}, clock.now())
            self.lease_expiry.record_store_read(clock.now(), revision)
            await anyio.sleep(_READ_INTERVAL_S)


def run_with_expiry(main: Any) -> None:
    """Run a test's main routine with the pass, in virtual time."""

    async def body() -> None:
        fixture = ExpiryFixture()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(fixture.read_store, {})
            tasks.start_soon(fixture.expiry.run)
            await main(fixture)
            tasks.cancel_scope.cancel()

    anyio.run(body, backend_options={"loop_factory": VirtualTimeEventLoop})


def test_a_task_of_a_new_machine_is_not_lost_because_a_pass_waited_for_a_fencing_token() -> None:
    """Guards against running a task twice."""

    async def main(fixture: ExpiryFixture) -> None:
        await anyio.sleep(LEASE_S)
        fixture.token_delay_s = SLOW_TOKEN_S
        await anyio.sleep(SLOW_TOKEN_S)
        # vm-2 reports to node b, whose next inventory will list it.
        fixture.start_task("vm-2")
        await anyio.sleep(REPORT_S)
        assert fixture.token_delay_s == 0.0
        assert fixture.ended == []

    run_with_expiry(main)


def test_a_task_of_a_silent_machine_is_lost_as_soon_as_its_lease_has_certainly_expired() -> None:
    """Checks that slow fencing tokens do not delay the proof by more than a pass."""

    async def main(fixture: ExpiryFixture) -> None:
        fixture.start_task("vm-2")
        started_at = clock.now()
        while not fixture.ended:
            await anyio.sleep(0.1)
        assert fixture.ended[0].attempt.machine == "vm-2"
        assert LEASE_S <= clock.now() - started_at <= 1.02 * LEASE_S + REPORT_S

    run_with_expiry(main)


def workers_of(cluster: SimulatedCluster, index: int) -> list[Worker]:
    """Return the running machines that report to a controller."""
    return [w for w in running_machines(cluster) if w.reporting_controller == index]


async def run_a_task_on_each_small_machine(cluster: SimulatedCluster) -> None:
    """Submit long jobs whose tasks each need a machine of their own, and wait until they run."""
    for number in range(_SMALL_JOBS):
        fields = {"entries": _TASKS_PER_JOB, "vcpus": 3.0, "ram_gb": 2.0, "breeds": ["small"]}
        fields |= {"expect_s": LONG_TASK_S, "bureau": "red" if number % 2 else "blue"}
        cluster.network.tasks.start_soon(cluster.submit, job(number, image_gb=0.1, **fields))
    tasks = _SMALL_JOBS * _TASKS_PER_JOB
    await wait_until(lambda: len(cluster.tasks_on_machines()) == tasks, 120.0, 0.2)


def play_controller_that_waits_for_tokens(seed: int) -> SimulatedCluster:
    """Start tasks on new machines of which a controller that waits for tokens has not heard."""
    cluster = SimulatedCluster(seed, count=4, limits=_LARGE_LIMITS)
    cluster.cloud.capacity = 60

    async def main() -> None:
        await wait_until_healthy(cluster)
        await run_a_task_on_each_small_machine(cluster)
        await anyio.sleep(20.0)
        assignee = int(cluster.store.items["s/t/red"][0]["p"].rpartition("-")[2])
        others = [index for index in range(cluster.count) if index != assignee]
        others.sort(key=lambda index: -len(workers_of(cluster, index)))
        waiting, cut_off, holder = others
        for peer in (holder, cut_off):
            cluster.network.cut(f"node-{peer}", f"node-{waiting}", "drop")
        for worker in running_machines(cluster):
            cluster.network.cut(worker.name, f"node-{cut_off}", "drop")
        for worker in workers_of(cluster, waiting):
            worker.commands_held_until = now() + 60.0
        cluster.store.commit_response_delay_s[f"node-{waiting}"] = _SLOW_COMMIT_S
        small = {"vcpus": 1.0, "ram_gb": 1.0, "breeds": ["small"], "expect_s": LONG_TASK_S}
        cluster.network.tasks.start_soon(
            cluster.submit, job(100, entries=40, image_gb=0.1, **small)
        )
        node = cluster.nodes[f"node-{waiting}"]
        agents = node.reconciler.agents
        await wait_until(lambda: any(a.unanswered_start_token for a in agents.values()), 20.0)
        await anyio.sleep(1.3 * LEASE_S)
        # New machines that report to `holder` get work before its next inventory.
        cluster.cloud.fast_boot_share = 1.0
        before = set(cluster.cloud.workers)
        large = {"entries": 5, "breeds": ["large"], "vcpus": 14.0, "ram_gb": 2.0, "image_gb": 0.0}
        large |= {"district": ZONES[holder % 2], "expect_s": LONG_TASK_S}
        cluster.network.tasks.start_soon(cluster.submit, job(200, **large))

        def runs_on_unlisted_machine() -> bool:
            for name in cluster.cloud.workers.keys() - before:
                cluster.cloud.workers[name].reporting_controller = holder
            before.update(cluster.cloud.workers)
            listed = node.cache.inventories[f"node-{holder}"].machines
            return any(
                task.spec["id"] == "job-000200" and machine.name not in listed
                for machine, task in cluster.tasks_on_machines()
            )

        await wait_until(runs_on_unlisted_machine, 60.0, 0.02)
        cluster.store.commit_response_delay_s.clear()
        await anyio.sleep(2 * LEASE_S)
        cluster.network.heal()
        await anyio.sleep(LEASE_S)

    run(cluster, main)
    return cluster


def test_a_task_does_not_run_twice_while_a_controller_waits_for_fencing_tokens() -> None:
    cluster = play_controller_that_waits_for_tokens(14)
    assert cluster.observed["command held"]
    assert cluster.violations == []
