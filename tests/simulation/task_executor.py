"""Execution of commands and tasks on a simulated machine."""

from typing import Any

from simulation import rules
from simulation.deployment import GANG_WAIT_S, LEASE_S
from simulation.event_loop import now
from simulation.machines import Machine, Task
from simulation.shared_state import SharedState


class TaskExecutor(Machine):
    """A machine that executes commands and runs tasks."""

    def __init__(self, shared: SharedState, name: str, kind: str, zone: str, spot: bool) -> None:
        super().__init__(name, kind, zone, spot)
        self._shared = shared

    def execute(self, commands: list[dict[str, Any]]) -> None:
        """Execute commands in order, and advance the tasks."""
        for command in commands:
            name, attempt = command["entry"], command["try"]
            key = f"{name}#{attempt}"
            if command["verb"] == "run":
                if key not in self.tasks:
                    self._begin(name, attempt, key)
            elif command["verb"] == "halt":
                task = self.tasks.get(key)
                if task is not None and task.state != "exited":
                    self._halt(task, command["mercy_s"])
            elif key in self.tasks and self.tasks[key].state == "exited":
                del self.tasks[key]
        self.step()

    def _begin(self, name: str, attempt: int, key: str) -> None:
        """Accept a task; a refused task exits immediately."""
        shared = self._shared
        rules.check_begins_once(shared, self, key)
        spec = shared.specs[name.partition("/")[0]]
        remaining_s = 0.0
        if name not in shared.done:
            remaining_s = shared.run_s(spec, name) - shared.saved.get(name, 0)
        task = Task(spec, name, attempt, remaining_s)
        cpus, gpus, memory = self.free()
        if any(t.name == name and t.state != "exited" for t in self.tasks.values()):
            task.state, task.cause = "exited", "in_use"
        elif spec["vcpus"] > cpus or spec["gpus"] > gpus or spec["ram_gb"] > memory:
            task.state, task.cause = "exited", "full"
        elif self.faulty or spec["docket"] == "broken":
            task.state, task.cause = "exited", "error"
            shared.failed_starts += 1
        self.tasks[key] = task
        self.changed.set()

    def _halt(self, task: Task, grace_s: float) -> None:
        """Stop a task, with a checkpoint if it supports one and the grace period is long enough."""
        can_save = task.spec["bookmark_s"] > 0 and grace_s >= task.spec["stamp_s"]
        if task.state == "running" and can_save:
            task.state, task.flushed_at = "flushing", now() + task.spec["stamp_s"]
        elif task.state != "flushing" or grace_s == 0:
            self._exit(task, "halted")

    def _exit(self, task: Task, cause: str, saved: bool = False) -> None:
        task.state, task.cause, task.saved = "exited", cause, saved
        self.changed.set()

    def step(self) -> None:
        """Advance the tasks to the current time, and check the rules."""
        if self.state != "running":
            return
        self.expire_lease()
        if now() >= self.hung_until:
            for task in list(self.tasks.values()):
                self._advance(task)
        self._shared.check()

    def expire_lease(self) -> None:
        """End all tasks and begin the next epoch if the lease has expired.

        The lease also expires on a hanging machine.  Otherwise its tasks would still count as being
        on it, and their restart after a valid lease expiry proof would violate `ran_twice`.
        """
        if self.state == "running" and now() - self.lease_started_at > LEASE_S:
            self.tasks.clear()
            self.begun.clear()
            self.epoch += 1
            self.lease_started_at = now()
            self._shared.expired_leases += 1
            self.changed.set()

    def _advance(self, task: Task) -> None:
        """Move a task to its next state, if that is due."""
        if task.state == "fetching" and now() >= task.ready_at:
            self._start_after_fetch(task)
        elif task.state == "waiting":
            self._wait_for_gang(task)
        elif task.state == "running":
            self._run(task)
        elif task.state == "flushing" and now() >= task.flushed_at:
            saved = self._shared.saved
            saved[task.name] = saved.get(task.name, 0) + now() - task.ready_at
            self._exit(task, "halted", True)

    def _start_after_fetch(self, task: Task) -> None:
        if task.name in self._shared.done:
            self._exit(task, "done")  # the result is stored
            return
        self._shared.starts[task.name] += 1
        rules.check_task_start(self._shared, self, task)
        task.state = "waiting" if task.spec["form"] == "group" else "running"
        task.ready_at = task.waiting_since = now()
        self.changed.set()

    def _wait_for_gang(self, task: Task) -> None:
        members = self._shared.gang_members(task)
        if len(members) == task.spec["entries"]:
            for member in members:
                member.state, member.ready_at = "running", now()
        elif now() - task.waiting_since > GANG_WAIT_S:
            self._exit(task, "alone")

    def _run(self, task: Task) -> None:
        spec, shared = task.spec, self._shared
        is_gang = spec["form"] == "group"
        gang_complete = not is_gang or len(shared.gang_members(task)) == spec["entries"]
        finished = spec["form"] != "service" and now() - task.ready_at >= task.remaining_s
        if finished and (gang_complete or task.name in shared.done):
            for member in shared.gang_members(task) if is_gang else [task]:
                shared.done.add(member.name)
            self._exit(task, "done")
            if shared.is_done(spec["id"]):
                shared.job_finished(spec["id"])
        elif task.name in shared.done:
            self._exit(task, "done")
        elif not gang_complete:
            self._exit(task, "mates_gone")
