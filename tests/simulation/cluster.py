"""The whole simulation: controllers, store, cloud, workers and users on one network."""

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

# How long a user waits for a response, and a replayed heartbeat for its own, in seconds.
_USER_TIMEOUT_S = 5.0
_HEARTBEAT_TIMEOUT_S = 4.0


class SimulatedCluster(SharedState):
    """A cluster in virtual time; everything random in it follows from one seed."""

    def __init__(
        self,
        seed: int,
        count: int = 3,
        grown: bool = False,
        old: bool = False,
        cancel_s: float = CANCEL_S,
        limits: list[dict[str, Any]] | None = None,
        **state: Any,
    ) -> None:
        """Build a cluster of `count` controllers.

        Grown: ten times the teams' limits and small values in the store.  Old: the controllers
        are of the version in production.  `state`: what the settings say of the store besides.
        """
        teams = team_limits(grown) if limits is None else limits
        super().__init__(seed, count, cancel_s, teams)
        self.store = Store(self)
        self.cloud = Cloud(self)
        self.network.handlers["state"] = self.store.handle
        self.network.handlers["cloud"] = self.cloud.handle
        self.controllers = Controllers(self, grown, old, state)
        self.network.on_commands = self.controllers.note_commands
        self.users = Users(self)
        # What tests use most, at hand.
        self.versions = self.controllers.versions
        self.boot, self.crash = self.controllers.boot, self.controllers.crash
        self.freeze, self.thaw = self.controllers.freeze, self.controllers.thaw
        self.slow = self.controllers.slow
        self.submit, self.offer = self.users.submit, self.users.offer
        self.poll, self.cancel = self.users.poll, self.users.cancel
        self.until_running, self.until_done = self.users.until_running, self.users.until_done

    def start(self, tasks: Any) -> None:
        """Start everything in a task group."""
        self.network.tasks = tasks
        tasks.start_soon(self.cloud.watch)
        for index in range(self.count):
            self.boot(index)

    def check(self) -> None:
        """Check the rules about everything that is on a machine."""
        rules.check_machines(self)

    def apply_next_limits(self) -> None:
        """The limits that the settings announce as `next` begin."""
        self.store.apply_next_limits()

    async def ask(
        self, method: str, path: str, body: Any = None, node: int | None = None
    ) -> Response:
        """Send one request of a user to a controller; status 0 without a response in time."""
        target = f"node-{self.rng.randrange(self.count) if node is None else node}"
        raw = b"" if body is None else cbor2.dumps(body)
        request = Request(method, path, raw)
        try:
            return await self.network.call("user", target, request, _USER_TIMEOUT_S)
        except HttpError:
            return Response(0)

    def job_finished(self, job_id: str) -> None:
        """The last task of a job has ended on its machine: users may read or cancel it now."""
        self.users.read_concurrently(job_id, "ended")
        if self.cancel_at_end_share and self.rng.random() < self.cancel_at_end_share:
            self.observed["cancelled at its end"] += 1
            self.users.cancel_persistently(job_id)

    def replay_kept_heartbeats(self) -> None:
        """The copies of heartbeats that were kept arrive, each at every controller."""
        kept, self.kept_heartbeats = self.kept_heartbeats, []
        for machine, epoch, request in kept:
            self.observed["old heartbeat at every controller"] += len(self.nodes) == self.count
            self.observed["of an earlier epoch"] += machine.epoch > epoch
            for node in self.nodes:
                self.network.start(functools.partial(self._replay, machine.name, node, request))

    async def _replay(self, source: str, target: str, request: Request) -> None:
        try:
            await self.network.call(source, target, request, _HEARTBEAT_TIMEOUT_S)
        except HttpError:
            return

    # Liveness

    def left_waiting(self) -> list[str]:
        """Jobs that wait for a task's start although a machine and the team's limit allow it."""
        live = self._live_tasks()
        return [
            job_id
            for job_id in sorted(self.accepted)
            if not self.is_cancelled(job_id) and self._could_start(self.specs[job_id], live)
        ]

    def _live_tasks(self) -> list[Task]:
        """The tasks that take room on a machine, also of machines that are gone."""
        return [
            task
            for machine in self.machines.values()
            for task in machine.tasks.values()
            if task.state != "exited"
        ]

    def _could_start(self, spec: dict[str, Any], live: list[Task]) -> bool:
        """Whether a task of a job, or its gang, waits and could start."""
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
        """For how many of a job's tasks there is capacity on machines that run."""
        by_zone: Counter[str] = Counter()
        for machine in self.machines.values():
            if _may_host(machine, spec):
                sizes = zip(machine.free(), ("vcpus", "gpus", "ram_gb"), strict=True)
                fitting = min(free / spec[size] for free, size in sizes if spec[size])
                by_zone[machine.zone] += int(fitting)
        if spec["same_place"]:
            return max(by_zone.values(), default=0)
        if spec["apart"]:
            most = (spec["entries"] + 1) // 2
            return sum(min(places, most) for places in by_zone.values())
        return sum(by_zone.values())


def _may_host(machine: Machine, spec: dict[str, Any]) -> bool:
    """Whether a machine runs, is whole, and is of a kind that a job allows."""
    if machine.state != "running" or machine.faulty or machine.notice_until is not None:
        return False
    if (machine.spot and not spec["loaners"]) or spec["district"] not in (None, machine.zone):
        return False
    return spec["breeds"] is None or machine.kind in spec["breeds"]


def run(cluster: SimulatedCluster, main: Callable[[], Awaitable[None]]) -> None:
    """Run a test's main routine beside a cluster, in virtual time."""

    async def body() -> None:
        async with anyio.create_task_group() as tasks:
            cluster.start(tasks)
            try:
                await main()
            finally:
                # A frozen controller could not end.
                for processor in cluster.processors.values():
                    processor.thaw()
                tasks.cancel_scope.cancel()

    anyio.run(body, backend_options={"loop_factory": VirtualTimeEventLoop})
