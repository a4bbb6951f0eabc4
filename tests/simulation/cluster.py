"""The simulated cluster: controllers, store, cloud, workers and users on one network."""

import functools
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import cbor2

from sandladder.transport import HttpError, Request, Response
from simulation import rules
from simulation.answer_consistency import is_over_limit
from simulation.cloud import Cloud
from simulation.controllers import Controllers
from simulation.deployment import CANCEL_S, team_limits
from simulation.event_loop import VirtualTimeEventLoop
from simulation.machines import Machine, Task
from simulation.shared_state import SharedState
from simulation.store import Store
from simulation.users import Users

# Response timeouts of a user's request and of a replayed heartbeat, in seconds.
_USER_TIMEOUT_S = 5.0
_HEARTBEAT_TIMEOUT_S = 4.0


class SimulatedCluster(SharedState):
    """A cluster in virtual time; all random values are drawn from one seeded generator."""

    def __init__(
        self,
        seed: int,
        count: int = 3,
        large: bool = False,
        old: bool = False,
        cancel_s: float = CANCEL_S,
        limits: list[dict[str, Any]] | None = None,
        **state: Any,
    ) -> None:
        """Build a cluster of `count` controllers.

        Args:
            seed: Seed of the random generator.
            count: Number of controllers.
            large: Use ten times the teams' limits, and a lower size limit for stored values.
            old: Run the controllers of the version in production.
            cancel_s: Time limit for stopping the tasks of a cancelled job, in seconds.
            limits: Teams with their guarantees and limits, in place of the default ones.
            state: Overrides of the store's settings.
        """
        teams = team_limits(large) if limits is None else limits
        super().__init__(seed, count, cancel_s, teams)
        self.store = Store(self)
        self.cloud = Cloud(self)
        self.network.handlers["state"] = self.store.handle
        self.network.handlers["cloud"] = self.cloud.handle
        self.controllers = Controllers(self, large, old, state)
        self.network.on_commands = self.controllers.note_commands
        self.network.is_too_long = functools.partial(rules.check_message_length, self)
        self.users = Users(self)
        # Shortcuts for tests.
        self.versions = self.controllers.versions
        self.boot, self.crash = self.controllers.boot, self.controllers.crash
        self.freeze, self.thaw = self.controllers.freeze, self.controllers.thaw
        self.slow = self.controllers.slow
        self.submit, self.submit_once = self.users.submit, self.users.submit_once
        self.poll, self.cancel = self.users.poll, self.users.cancel
        self.until_running, self.until_done = self.users.until_running, self.users.until_done

    def start(self, tasks: Any) -> None:
        """Start the cloud and all controllers in a task group."""
        self.network.tasks = tasks
        tasks.start_soon(self.cloud.record_snapshots)
        for index in range(self.count):
            self.boot(index)

    def check(self) -> None:
        """Check the rules about the tasks on all machines."""
        rules.check_machines(self)

    def apply_next_limits(self) -> None:
        """Apply the limits that the settings announce as `next`."""
        self.store.apply_next_limits()

    async def ask(
        self, method: str, path: str, body: Any = None, node: int | None = None
    ) -> Response:
        """Send a user's request to a controller; the status is 0 after a timeout."""
        target = f"node-{self.rng.randrange(self.count) if node is None else node}"
        raw = b"" if body is None else cbor2.dumps(body)
        request = Request(method, path, raw)
        try:
            return await self.network.call("user", target, request, _USER_TIMEOUT_S)
        except HttpError:
            return Response(0)

    def job_finished(self, job_id: str) -> None:
        """Let users read or cancel a job whose last task has ended on its machine."""
        self.users.read_concurrently(job_id, "ended")
        if self.cancel_at_end_share and self.rng.random() < self.cancel_at_end_share:
            self.observed["cancelled at completion"] += 1
            self.users.cancel_persistently(job_id)

    def replay_kept_heartbeats(self) -> None:
        """Deliver the kept copies of heartbeats to every controller."""
        kept, self.kept_heartbeats = self.kept_heartbeats, []
        for machine, epoch, request in kept:
            self.observed["replayed heartbeat at every controller"] += len(self.nodes) == self.count
            self.observed["replayed heartbeat of an earlier epoch"] += machine.epoch > epoch
            for node in self.nodes:
                self.network.start(functools.partial(self._replay, machine.name, node, request))

    async def _replay(self, source: str, target: str, request: Request) -> None:
        try:
            await self.network.call(source, target, request, _HEARTBEAT_TIMEOUT_S)
        except HttpError:
            return

    # Liveness

    def startable_jobs(self) -> list[str]:
        """Return the pending jobs that the free capacity and the team's limit allow to start."""
        live = self._live_tasks()
        return [
            job_id
            for job_id in sorted(self.accepted)
            if not self.is_cancelled(job_id) and self._could_start(self.specs[job_id], live)
        ]

    def _live_tasks(self) -> list[Task]:
        """Return the tasks that occupy a machine, including those on failed machines."""
        return [
            task
            for machine in self.machines.values()
            for task in machine.tasks.values()
            if task.state != "exited"
        ]

    def _could_start(self, spec: dict[str, Any], live: list[Task]) -> bool:
        """Return whether a task of a job, or its gang, is pending and could start."""
        job_id = spec["id"]
        if not all(self.is_done(name) for name in spec.get("awaits") or ()):
            return False
        done = sum(f"{job_id}/{task}" in self.done for task in range(spec["entries"]))
        waiting = spec["entries"] - done - sum(task.spec["id"] == job_id for task in live)
        needed = spec["entries"] if spec["form"] == "group" else 1
        if waiting < needed:
            return False
        team = next(team for team in self.teams if team["name"] == spec["bureau"])
        of_team = [task.spec for task in live if task.spec["bureau"] == team["name"]]
        cpus = sum(other["vcpus"] for other in of_team) + needed * spec["vcpus"]
        gpus = sum(other["gpus"] for other in of_team) + needed * spec["gpus"]
        return not is_over_limit(team, cpus, gpus) and self._free_places(spec) >= needed

    def _free_places(self, spec: dict[str, Any]) -> int:
        """Return the number of a job's tasks that the running machines have capacity for."""
        by_zone: Counter[str] = Counter()
        for machine in self.machines.values():
            if _can_host(machine, spec):
                sizes = zip(machine.free(), ("vcpus", "gpus", "ram_gb"), strict=True)
                fitting = min(free / spec[size] for free, size in sizes if spec[size])
                by_zone[machine.zone] += int(fitting)
        if spec["same_place"]:
            return max(by_zone.values(), default=0)
        if spec["apart"]:
            zone_limit = (spec["entries"] + 1) // 2
            return sum(min(places, zone_limit) for places in by_zone.values())
        return sum(by_zone.values())


def _can_host(machine: Machine, spec: dict[str, Any]) -> bool:
    """Return whether a machine is up and healthy, and meets the constraints of a job."""
    if machine.state != "running" or machine.faulty or machine.notice_until is not None:
        return False
    if (machine.spot and not spec["loaners"]) or spec["district"] not in (None, machine.zone):
        return False
    return spec["breeds"] is None or machine.kind in spec["breeds"]


def run(cluster: SimulatedCluster, main: Callable[[], Awaitable[None]]) -> None:
    """Run a test's main routine with a cluster, in virtual time."""

    async def body() -> None:
        async with anyio.create_task_group() as tasks:
            cluster.start(tasks)
            try:
                await main()
                for node in cluster.nodes.values():
                    cluster.controllers.check_ends(node)
            finally:
                # A frozen controller could not handle its cancellation.
                for processor in cluster.processors.values():
                    processor.thaw()
                tasks.cancel_scope.cancel()

    anyio.run(body, backend_options={"loop_factory": VirtualTimeEventLoop})
