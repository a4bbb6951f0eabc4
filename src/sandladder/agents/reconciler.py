"""Reconciliation of agents with the records.

Committed starts define the desired tasks on a machine, and its agent's heartbeat reports the actual
ones.  The difference yields commands.  Performs no I/O and reads no clock.
"""

import logging
from collections import deque
from typing import NamedTuple

from sandladder.agents.agent_session import AgentSession
from sandladder.agents.command_limits import limited_commands
from sandladder.agents.constants import (
    FORGET,
    START,
    STOP,
    TASK_EXITED,
    TASK_SAVING,
)
from sandladder.agents.sent_starts import AttemptKey
from sandladder.agents.token_range import TokenRange
from sandladder.model import AgentHeartbeat, Attempt, Command, Job
from sandladder.state import JOB_PREFIX, StateCache

log = logging.getLogger(__name__)

# An agent that shows a token of an earlier range has to accept the newest one first, unless it
# has shown a token of that range all the time.
_MAX_TOKEN_RANGES = 8


class HeartbeatResult(NamedTuple):
    """The agent of a heartbeat, and whether the heartbeat is newer than the latest known one."""

    agent: AgentSession
    is_new: bool


class CommandBatch(NamedTuple):
    """Commands for one message to an agent, and the fencing token under which they are sent."""

    token: int
    commands: list[Command]

    @property
    def has_start(self) -> bool:
        """Whether the batch starts an attempt."""
        return any(command.operation == START for command in self.commands)


class Reconciler:
    """Derives commands from heartbeats, under the fencing tokens of this controller."""

    def __init__(self) -> None:
        # The ranges of this controller's tokens, the newest ones.
        self._token_ranges: deque[TokenRange] = deque(maxlen=_MAX_TOKEN_RANGES)
        self.agents: dict[str, AgentSession] = {}  # by machine
        self.repeated_attempts = 0  # number of attempts seen running again after their exit

    @property
    def fencing_token(self) -> int:
        """The newest fencing token of this controller; 0 before it acquires one."""
        return self._token_ranges[-1].last if self._token_ranges else 0

    def adopt_fencing_token(self, token: int) -> None:
        """Adopt a later fencing token; after a gap, another controller acquired one in between.

        An agent that accepted a token before the gap is commanded under that one until a response
        to its heartbeat has given it the later token.
        """
        if token <= self.fencing_token:
            return
        if token > self.fencing_token + 1:
            self._token_ranges.append(TokenRange(token, token))
            return
        # If this is the first token of all, an agent without one has been commanded by nobody.
        before = self._token_ranges.pop() if self._token_ranges else TokenRange(0, 0)
        extended = TokenRange(before.first, token)
        self._token_ranges.append(extended)
        for agent in self.agents.values():
            if agent.accepted_tokens == before:
                agent.accept_tokens(extended)

    def receive_heartbeat(
        self, heartbeat: AgentHeartbeat, now: float, *, direct: bool
    ) -> HeartbeatResult:
        """Process a heartbeat; `direct` marks the response to a direct command.

        A heartbeat that is not newer than the latest known one is ignored, because its task list
        may be outdated.  So is one with an earlier token, which no agent shows by the protocol.
        """
        agent = self.agents.get(heartbeat.machine)
        if agent is None:
            agent = self.agents[heartbeat.machine] = AgentSession(heartbeat)
        elif not agent.is_newer(heartbeat) or _token_goes_back(agent, heartbeat):
            return HeartbeatResult(agent, False)
        agent.apply_heartbeat(heartbeat, now, direct=direct)
        self.repeated_attempts += agent.reported_exits.log_repeated(heartbeat)
        tokens = self._range_of(heartbeat.fencing_token, agent)
        if tokens is None:
            agent.revoke_token()
        else:
            agent.accept_tokens(tokens)
        return HeartbeatResult(agent, True)

    def _range_of(self, token: int, agent: AgentSession) -> TokenRange | None:
        """Return the range of this controller's tokens that has the one that an agent shows."""
        for tokens in (*reversed(self._token_ranges), agent.accepted_tokens):
            if tokens is not None and tokens.covers(token):
                return tokens
        return None

    def revoke_token(self, machine: str) -> None:
        """Record that an agent may reject this controller's fencing tokens."""
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

    def record_sent(self, agent: AgentSession, batch: CommandBatch, *, direct: bool) -> None:
        """Record commands that are about to be sent, directly or in the response to a heartbeat."""
        if not batch.commands:
            return
        sent_starts = agent.sent_starts
        record_starts = sent_starts.record_direct if direct else sent_starts.record_in_response
        record_starts(batch.commands, batch.token)
        agent.reported_exits.record_forgets(batch.commands, batch.token)
        log.debug(
            "commands to machine %s (epoch %d) under token %d, last seen token %d: %s",
            agent.heartbeat.machine,
            agent.agent_epoch,
            batch.token,
            agent.heartbeat.fencing_token,
            batch.commands,
        )

    def response_batch(self, agent: AgentSession, cache: StateCache) -> CommandBatch:
        """Return the commands for the response to the latest heartbeat.

        The response renews the agent's lease, so it also stops the tasks of cancelled jobs.  That
        is safe even if the agent has not accepted this controller's token.
        """
        token = self._response_token(agent)
        if not (agent.accepts_token and agent.synced):
            return CommandBatch(token, _stops_of_cancelled_jobs(agent, cache))
        commands = _commands_under(token, agent, cache)
        if agent.command_in_flight:
            # The command in flight may carry the same starts.
            commands = [command for command in commands if command.operation == STOP]
        return CommandBatch(token, commands)

    def _response_token(self, agent: AgentSession) -> int:
        """Return the token for a response: a later one than the agent shows only if it needs one.

        Only a response may carry a token after a gap.  The agent has no other request in flight, so
        the controller that acquired a token in the gap has not commanded it since.
        """
        # A later token would make the agent reject a command in flight, and delay its starts.
        may_wait = agent.command_in_flight and agent.unanswered_start_token is None
        if agent.accepted_tokens is None or (_needs_later_token(agent) and not may_wait):
            return self.fencing_token
        return agent.heartbeat.fencing_token

    def direct_batch(self, agent: AgentSession, cache: StateCache) -> CommandBatch:
        """Return the direct commands for an agent that has no other command in flight.

        Empty until the agent accepts this controller's token and the cache was read after that.
        """
        tokens = agent.accepted_tokens
        if tokens is None or not agent.synced:
            return CommandBatch(self.fencing_token, [])
        token = tokens.last if _needs_later_token(agent) else agent.heartbeat.fencing_token
        return CommandBatch(token, _commands_under(token, agent, cache))


def _token_goes_back(agent: AgentSession, heartbeat: AgentHeartbeat) -> bool:
    """Return whether a newer heartbeat of the same epoch shows an earlier token, and log it."""
    latest = agent.heartbeat
    if heartbeat.agent_epoch > latest.agent_epoch:
        return False
    if heartbeat.fencing_token >= latest.fencing_token:
        return False
    log.warning(
        "ignoring a heartbeat of machine %s: it shows token %d after token %d in epoch %d",
        heartbeat.machine,
        heartbeat.fencing_token,
        latest.fencing_token,
        latest.agent_epoch,
    )
    return True


def _needs_later_token(agent: AgentSession) -> bool:
    """Return whether an agent needs a later token than the one that it shows, if there is one.

    A later token is a change that the agent reports at once, so it gets one only to rule out starts
    that it may still carry out.
    """
    return (
        agent.heartbeat.fencing_token == 0
        or agent.unanswered_start_token is not None
        or agent.exited_start_token > 0
    )


def _stops_of_cancelled_jobs(agent: AgentSession, cache: StateCache) -> list[Command]:
    """Return the stops of the reported tasks whose jobs are cancelled."""
    stops = [
        Command(STOP, *key)
        for key, task in agent.reported_tasks.items()
        if task.state != TASK_EXITED and cache.is_cancelled(task.job)
    ]
    return limited_commands(agent, [], stops, [])


def _commands_under(token: int, agent: AgentSession, cache: StateCache) -> list[Command]:
    """Return the commands for an agent that carries them out under a token or not at all."""
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
    forgets, uncommitted_stops = _commands_for_uncommitted(token, agent, cache, committed)
    return limited_commands(agent, forgets, stops + uncommitted_stops, starts)


def _commands_for_uncommitted(
    token: int, agent: AgentSession, cache: StateCache, committed: set[AttemptKey]
) -> tuple[list[Command], list[Command]]:
    """Return the forget and stop commands for reported tasks without a committed start."""
    forgets: list[Command] = []
    stops: list[Command] = []
    for key, task in agent.reported_tasks.items():
        if key in committed or JOB_PREFIX + task.job in cache.unreadable:
            continue
        if task.state != TASK_EXITED:
            stops.append(Command(STOP, *key))
        elif agent.sent_starts.latest_token(key) < token:
            # Under the start's own token, a copy of the start would run the attempt again.
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
