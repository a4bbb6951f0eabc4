"""Reconciliation of the agents with the records: what a heartbeat proves, which commands follow.

Committed starts say what should be on a machine, its agent's heartbeat says what is, and the
difference is the commands.  Pure: no I/O, no clock.
"""

from typing import NamedTuple

from sandladder.agents.agent_session import AgentSession, AttemptKey
from sandladder.agents.constants import (
    FORGET,
    OUTCOME_CHECKPOINTED,
    OUTCOME_LOST,
    OUTCOME_NEVER_STARTED,
    START,
    STOP,
    TASK_EXITED,
    TASK_SAVING,
)
from sandladder.model import AgentHeartbeat, Attempt, Command, EndedAttempt, Job
from sandladder.state import JOB_PREFIX, StateCache


class HeartbeatResult(NamedTuple):
    """What became of a heartbeat; `is_new`: none made later was known."""

    agent: AgentSession
    is_new: bool


class Reconciler:
    """Heartbeats in, commands and proved ends out, under the controller's current fencing token."""

    def __init__(self) -> None:
        self.fencing_token = 0  # this controller's fencing token; 0: it has none yet
        # The first of our tokens since another controller last took one.
        self._first_consecutive_token = 0
        self.agents: dict[str, AgentSession] = {}  # the agents, by machine

    def adopt_fencing_token(self, token: int) -> None:
        """Adopt a later fencing token; a gap in the numbers: another controller took one."""
        if token != self.fencing_token + 1:
            self._first_consecutive_token = token
        self.fencing_token = token
        for agent in self.agents.values():
            if agent.heartbeat.fencing_token < self._first_consecutive_token:
                agent.revoke_token()

    def receive_heartbeat(
        self, heartbeat: AgentHeartbeat, now: float, *, direct: bool
    ) -> HeartbeatResult:
        """Take in a heartbeat; `direct`: it came as the response to a command of ours.

        One that the network held back changes nothing: its task list is as old as it is.
        """
        agent = self.agents.get(heartbeat.machine)
        if agent is None:
            agent = self.agents[heartbeat.machine] = AgentSession(heartbeat)
        elif not agent.is_newer(heartbeat):
            return HeartbeatResult(agent, False)
        agent.take_in(heartbeat, now, direct=direct)
        if self._first_consecutive_token <= heartbeat.fencing_token <= self.fencing_token:
            agent.accept_token()
        else:
            agent.revoke_token()
        if (
            agent.stale_start_token is not None
            and heartbeat.fencing_token > agent.stale_start_token
        ):
            agent.rule_out_late_start()
        return HeartbeatResult(agent, True)

    def revoke_token(self, machine: str) -> None:
        """The agent refused our fencing token or reports to another controller."""
        agent = self.agents.get(machine)
        if agent is not None:
            agent.revoke_token()

    def forget_silent_agents(self, now: float, after_s: float) -> None:
        """Drop the agents without any heartbeat for so many seconds."""
        silent = [m for m, agent in self.agents.items() if now - agent.last_seen_at > after_s]
        for machine in silent:
            del self.agents[machine]

    def response_commands(self, agent: AgentSession, cache: StateCache) -> list[Command]:
        """The commands in the response to the latest heartbeat.

        The agent's lease is renewed with that, so whatever runs there of a cancelled job is stopped
        with it, whether or not the agent accepts our token: stopping that can never be wrong.
        """
        if not (agent.accepts_token and agent.synced):
            return [
                Command(STOP, *key)
                for key, task in agent.reported_tasks.items()
                if task.state != TASK_EXITED and cache.is_cancelled(task.job)
            ]
        commands = self.commands(agent, cache)
        if agent.command_in_flight:
            # It may carry the same starts; and with a start of it still to arrive, forgetting an
            # exited attempt would run it again.
            return [command for command in commands if command.operation == STOP]
        return commands

    def commands(self, agent: AgentSession, cache: StateCache) -> list[Command]:
        """What the agent should be commanded, while no other command is in flight.

        Nothing until it surely accepts our token and our records are newer than that.
        """
        if not (agent.accepts_token and agent.synced):
            return []
        stops: list[Command] = []
        starts: list[Command] = []
        committed: set[AttemptKey] = set()
        for job, task, attempt in cache.attempts_on(agent.heartbeat.machine):
            if attempt.agent_epoch != agent.session:
                continue
            key = (job.id, task, attempt.attempt)
            committed.add(key)
            if JOB_PREFIX + job.id in cache.unreadable:
                continue  # what is to become of it is not known
            command = _command_for(key, agent, _stop_grace_s(job, attempt, cache))
            if command is not None:
                (starts if command.operation == START else stops).append(command)
        agent.seen_attempts &= committed | agent.reported_tasks.keys()
        forgets, uncommitted_stops = self._commands_for_uncommitted(agent, cache, committed)
        return forgets + stops + uncommitted_stops + starts

    @staticmethod
    def _commands_for_uncommitted(
        agent: AgentSession, cache: StateCache, committed: set[AttemptKey]
    ) -> tuple[list[Command], list[Command]]:
        """What to forget and what to stop of the reported tasks without a committed start."""
        forgets: list[Command] = []
        stops: list[Command] = []
        for key, task in agent.reported_tasks.items():
            if key in committed or JOB_PREFIX + task.job in cache.unreadable:
                continue
            if task.state != TASK_EXITED:
                stops.append(Command(STOP, *key))
            elif not agent.start_may_be_late:
                # With a start of it still to arrive, forgetting would run it again.
                forgets.append(Command(FORGET, *key))
        return forgets, stops

    def proved_ends(self, agent: AgentSession, cache: StateCache) -> list[EndedAttempt]:
        """The attempts whose end this agent's latest heartbeat proves."""
        found = []
        for job, task, attempt in cache.attempts_on(agent.heartbeat.machine):
            if attempt.agent_epoch < agent.session:
                found.append(EndedAttempt(job.id, task, attempt, OUTCOME_LOST))
            elif attempt.agent_epoch == agent.session:
                reported = agent.reported_tasks.get((job.id, task, attempt.attempt))
                if reported is not None and reported.state == TASK_EXITED:
                    outcome = OUTCOME_CHECKPOINTED if reported.saved else reported.cause
                    found.append(EndedAttempt(job.id, task, attempt, outcome))
        return found

    def proved_never_started(
        self, agent: AgentSession, cache: StateCache, sent: list[Command], token: int
    ) -> list[EndedAttempt]:
        """Stopped attempts that the response to the commands sent under a token shows absent.

        The response shows that the agent accepted our token after the stop was committed.
        Whoever commands it later will see the stop; whoever did before is refused; and no
        start of our own is still to arrive.
        """
        if agent.start_may_be_late or agent.heartbeat.fencing_token != token:
            return []
        stopped = {(c.job, c.task, c.attempt) for c in sent if c.operation == STOP}
        found = []
        for job, task, attempt in cache.attempts_on(agent.heartbeat.machine):
            key = (job.id, task, attempt.attempt)
            if (
                key in stopped
                and key not in agent.reported_tasks
                and attempt.agent_epoch == agent.session
                and _stop_grace_s(job, attempt, cache) is not None
            ):
                found.append(EndedAttempt(job.id, task, attempt, OUTCOME_NEVER_STARTED))
        return found


def _command_for(key: AttemptKey, agent: AgentSession, grace_s: float | None) -> Command | None:
    """The command for an attempt with a committed start; `grace_s`: None lets it run."""
    reported = agent.reported_tasks.get(key)
    if reported is None:
        if grace_s is not None:
            return Command(STOP, *key, grace_s=grace_s)
        # An attempt seen before and gone now was forgotten by command of a controller that had
        # its end committed: starting it again would run it twice.
        return None if key in agent.seen_attempts else Command(START, *key)
    if grace_s is None or reported.state == TASK_EXITED:
        return None
    if reported.state == TASK_SAVING and grace_s > 0:
        return None  # it is stopping already, with its grace
    return Command(STOP, *key, grace_s=grace_s)


def _stop_grace_s(job: Job, attempt: Attempt, cache: StateCache) -> float | None:
    """With how many seconds of grace this attempt is to be stopped, or None to let it run."""
    # What a cancelled job's tasks do is of no use to anyone.
    return 0.0 if cache.is_cancelled(job.id) else attempt.stop
