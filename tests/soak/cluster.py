"""A cluster of real controllers with simulated surroundings, on the real clock."""

import functools
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import anyio

from simulation import rules
from simulation.cluster import SimulatedCluster
from simulation.deployment import CANCEL_S, platform_file
from simulation.event_loop import now
from simulation.machines import Machine, Task
from soak.loopback import HOST, PORTS, LoopbackNetwork
from soak.processes import ControllerProcesses
from soak.relay import Relay

# Minimum interval between two checks of all machines, in seconds: each step of a worker asks for one.
_CHECK_INTERVAL_S = 0.2
_EXIT_CHECK_INTERVAL_S = 0.5


class SoakCluster(SimulatedCluster):
    """The simulation's stand-ins and rules around controller processes."""

    def __init__(
        self,
        seed: int,
        count: int,
        directory: Path,
        limits: list[dict[str, Any]] | None = None,
        **state: Any,
    ) -> None:
        """Build a cluster of `count` controllers; nothing is started yet.

        Args:
            seed: seed of the random generator.
            count: number of controllers.
            directory: where the processes' settings and logs are written.
            limits: teams with their guarantees and limits, in place of the default ones.
            state: overrides of the store's settings.
        """
        super().__init__(seed, count, limits=limits, **state)
        self.store.write_rps = state.get("write_rps", self.store.write_rps)
        self.network = self._loopback = LoopbackNetwork(self.rng, self.observed)
        self.network.is_too_long = functools.partial(rules.check_message_length, self)
        self.network.handlers["state"] = self.store.handle
        self.network.handlers["cloud"] = self.cloud.handle
        self._ports: dict[tuple[str, str], int] = {}
        files = [self._platform_file(index, state) for index in range(count)]
        self.processes = ControllerProcesses(directory, files)
        self.nodes = self.processes.running
        self.boot, self.crash = self.processes.boot, self.processes.crash  # type: ignore[assignment]
        self.freeze, self.thaw = self.processes.freeze, self.processes.thaw
        self._checked_at = 0.0

    def _port(self, client: str, server: str) -> int:
        """Return the port at which a host serves another one."""
        pair = client, server
        if pair not in self._ports:
            self._ports[pair] = PORTS.take()
        return self._ports[pair]

    def _platform_file(self, index: int, state: dict[str, Any]) -> dict[str, Any]:
        node = f"node-{index}"
        contents = platform_file(index, self.count, False, CANCEL_S, self.teams, **state)
        contents["api_addr"] = f"{HOST}:{self._port('users', node)}"
        contents["mesh_addr"] = f"{HOST}:{self._port('relay', node)}"
        for peer in contents["peers"]:
            peer["addr"] = f"{HOST}:{self._port(node, peer['node_name'])}"
        contents["external"] = {
            name: f"{HOST}:{self._port(node, name)}" for name in ("cloud", "state")
        }
        return contents

    def start(self, tasks: Any) -> None:
        """Start the stand-ins and all controllers in a task group."""
        self.network.tasks = tasks
        tasks.start_soon(self.cloud.record_snapshots)
        tasks.start_soon(self._watch_processes)
        names = [f"node-{index}" for index in range(self.count)]
        for node in names:
            self._loopback.add_controller(node, self._port("users", node))
            for service in ("cloud", "state"):
                tasks.start_soon(self._loopback.serve, node, service, self._port(node, service))
            for peer in names:
                if peer != node:
                    self._start_relay(tasks, node, peer)
        for index in range(self.count):
            self.boot(index)

    def _start_relay(self, tasks: Any, node: str, peer: str) -> None:
        relay = Relay(self._port("relay", peer), lambda: self.network.cut_mode(node, peer))
        tasks.start_soon(relay.serve, self._port(node, peer))

    async def _watch_processes(self) -> None:
        """Record a violation if a controller ends on its own, and start it again."""
        while True:
            await anyio.sleep(_EXIT_CHECK_INTERVAL_S)
            for name in self.processes.exited():
                process = self.processes.running.pop(name)
                self.record_violation("exited", f"{name} with status {process.returncode}")
                self.boot(int(name.rpartition("-")[2]))

    def check(self) -> None:
        """Check the rules about the tasks on all machines, at most once an interval."""
        if now() - self._checked_at >= _CHECK_INTERVAL_S:
            self._checked_at = now()
            super().check()

    def tasks_on_machines(self) -> list[tuple[Machine, Task]]:
        """Return the tasks on machines, as of now even if this process was delayed."""
        for worker in self.cloud.workers.values():
            worker.expire_lease()
        return super().tasks_on_machines()


def run_soak(cluster: SoakCluster, main: Callable[[], Awaitable[None]]) -> None:
    """Run a main routine with a cluster on the real clock, and kill its controllers afterwards."""

    async def body() -> None:
        async with anyio.create_task_group() as tasks:
            cluster.start(tasks)
            try:
                await main()
            finally:
                for index in range(cluster.count):
                    cluster.crash(index)
                tasks.cancel_scope.cancel()

    anyio.run(body)
