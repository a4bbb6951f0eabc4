"""Reconciliation of agents with the records.

Committed starts define the desired tasks on a machine, and its agent's heartbeat reports the actual
ones.  The difference yields commands.  Performs no I/O and reads no clock.
"""

from typing import NamedTuple

from sandladder.agents.agent_session import AgentSession, AttemptKey
from sandladder.agents.constants import (
    FORGET,
    START,
    STOP,
    TASK_EXITED,
    TASK_SAVING,
)
from sandladder.model import AgentHeartbeat, Attempt, Command, Job
from sandladder.state import JOB_PREFIX, StateCache


class HeartbeatResult(NamedTuple):
    """The agent of a heartbeat, and whether the heartbeat is newer than the latest known one."""

    agent: AgentSession
    is_new: bool


class Reconciler:
    """Derives commands from heartbeats, under the current fencing token."""

    def __init__(self) -> None:
        self.fencing_token = 0  # 0 before this controller acquires one
        # The first of this controller's tokens after the last one acquired by another controller.
        self._first_consecutive_token = 0
        self.agents: dict[str, AgentSession] = {}  # by machine

    def adopt_fencing_token(self, token: int) -> None:
        """Adopt a later fencing token; after a gap, another controller acquired one in between."""
        if token != self.fencing_token + 1:
            self._first_consecutive_token = token
        self.fencing_token = token
        for agent in self.agents.values():
            if agent.heartbeat.fencing_token < self._first_consecutive_token:
                agent.revoke_token()

    def receive_heartbeat(
        self, heartbeat: AgentHeartbeat, now: float, *, direct: bool
    ) -> HeartbeatResult:
        """Process a heartbeat; `direct` marks the response to a direct command.

        A heartbeat that is not newer than the latest known one is ignored, because its task list
        may be outdated.
        """
        agent = self.agents.get(heartbeat.machine)
        if agent is None:
            agent = self.agents[heartbeat.machine] = AgentSession(heartbeat)
        elif not agent.is_newer(heartbeat):
            return HeartbeatResult(agent, False)
        agent.apply_heartbeat(heartbeat, now, direct=direct)
        if self._first_consecutive_token <= heartbeat.fencing_token <= self.fencing_token:
            agent.accept_token()
        else:
            agent.revoke_token()
        if (
            agent.unanswered_start_token is not None
            and heartbeat.fencing_token > agent.unanswered_start_token
        ):
            agent.rule_out_late_start()
        return HeartbeatResult(agent, True)

    def revoke_token(self, machine: str) -> None:
        """Record that an agent may reject this controller's fencing token."""
        agent = self.agents.get(machine)
        if agent is not None:
            agent.revoke_token()

    def remove_silent_agents(self, now: float, after_s: float) -> None:
        """Remove the agents without a heartbeat for more than `after_s` seconds."""
        silent = [
            machine for machine, agent in self.agents.items() if now - agent.last_seen_at > after_s
        ]
        for machine in silent:
            del self.agents[machine]

    def response_commands(self, agent: AgentSession, cache: StateCache) -> list[Command]:
        """Return the commands for the response to the latest heartbeat.

        The response renews the agent's lease, so it also stops the tasks of cancelled jobs.  That
        is safe even if the agent has not accepted this controller's token.
        """
        if not (agent.accepts_token and agent.synced):
            return [
                Command(STOP, *key)
                for key, task in agent.reported_tasks.items()
                if task.state != TASK_EXITED and cache.is_cancelled(task.job)
            ]
        commands = self.commands(agent, cache)
        if agent.command_in_flight:
            # The command in flight may carry the same starts, and forgetting an exited attempt
            # before a late start is delivered would run the attempt again.
            return [command for command in commands if command.operation == STOP]
        return commands

    def commands(self, agent: AgentSession, cache: StateCache) -> list[Command]:
        """Return the commands for an agent that has no other command in flight.

        Empty until the agent accepts this controller's token and the cache was read after that.
        """
        if not (agent.accepts_token and agent.synced):
            return []
        stops: list[Command] = []
        starts: list[Command] = []
        committed: set[AttemptKey] = set()
        for job, task, attempt in cache.attempts_on(agent.heartbeat.machine):
            if attempt.agent_epoch != agent.agent_epoch:
                continue
            key = (job.id, task, attempt.attempt)
            committed.add(key)
            if JOB_PREFIX + job.id in cache.unreadable:
                continue  # the desired state of the job is unknown
            command = _command_for(key, agent, stop_grace_s(job, attempt, cache))
            if command is not None:
                (starts if command.operation == START else stops).append(command)
        agent.seen_attempts &= committed | agent.reported_tasks.keys()
        forgets, uncommitted_stops = self._commands_for_uncommitted(agent, cache, committed)
        return forgets + stops + uncommitted_stops + starts

    @staticmethod
    def _commands_for_uncommitted(
        agent: AgentSession, cache: StateCache, committed: set[AttemptKey]
    ) -> tuple[list[Command], list[Command]]:
        """Return the forget and stop commands for reported tasks without a committed start."""
        forgets: list[Command] = []
        stops: list[Command] = []
        for key, task in agent.reported_tasks.items():
            if key in committed or JOB_PREFIX + task.job in cache.unreadable:
                continue
            if task.state != TASK_EXITED:
                stops.append(Command(STOP, *key))
            elif not agent.late_start_possible:
                # Forgetting the attempt before a late start is delivered would run it again.
                forgets.append(Command(FORGET, *key))
        return forgets, stops


def _command_for(key: AttemptKey, agent: AgentSession, grace_s: float | None) -> Command | None:
    """Return the command for a committed attempt, or None.

    `grace_s` is the grace period of a requested stop, or None if the attempt should run.
    """
    reported = agent.reported_tasks.get(key)
    if reported is None:
        if grace_s is not None:
            return Command(STOP, *key, grace_s=grace_s)
        # If the agent reported the attempt before, it has forgotten it on command of a controller
        # that had committed the end; another start would run the attempt twice.
        return None if key in agent.seen_attempts else Command(START, *key)
    if grace_s is None or reported.state == TASK_EXITED:
        return None
    if reported.state == TASK_SAVING and grace_s > 0:
        return None  # already stopping, within its grace period
    return Command(STOP, *key, grace_s=grace_s)


def stop_grace_s(job: Job, attempt: Attempt, cache: StateCache) -> float | None:
    """Return the grace period for stopping an attempt, in seconds, or None if it should run."""
    # Tasks of a cancelled job need no checkpoint.
    return 0.0 if cache.is_cancelled(job.id) else attempt.stop_grace_s
