"""Delivery of commands to agents directly, before their next heartbeat."""

import logging
import math
from collections.abc import Iterable
from typing import NamedTuple

import anyio

from sandladder import clock
from sandladder.agents.agent_clients import AgentClients
from sandladder.agents.agent_session import AgentSession
from sandladder.agents.attempt_ends import never_started
from sandladder.agents.collaborators import AgentRecords, SchedulerCallbacks
from sandladder.agents.constants import FORGET
from sandladder.agents.end_contradictions import (
    EndContradictions,
    UncommittedStops,
    uncommitted_stops,
)
from sandladder.agents.heartbeat_intake import HeartbeatIntake
from sandladder.agents.reconciler import CommandBatch
from sandladder.agents.sent_starts import AttemptKey
from sandladder.concurrency import BackgroundTasks
from sandladder.membership import ControllerLease
from sandladder.model import AgentHeartbeat, Command
from sandladder.protocol import MalformedMessageError, agent_messages, loads
from sandladder.state import StateCache
from sandladder.transport import HttpError

log = logging.getLogger(__name__)

_OK = 200


class _CommandResponse(NamedTuple):
    """An agent's response: a status, and a heartbeat made after it processed the commands."""

    status: int
    heartbeat: AgentHeartbeat


class CommandSender:
    """Sends each agent its commands, one batch at a time."""

    def __init__(
        self,
        report_interval_s: float,
        background: BackgroundTasks,
        clients: AgentClients,
        agents: AgentRecords,
        cache: StateCache,
        controller_lease: ControllerLease,
        scheduler: SchedulerCallbacks,
        intake: HeartbeatIntake,
    ) -> None:
        self._timeout_s = report_interval_s
        # Delay after an unanswered request.
        self._retry_delay_s = report_interval_s / 2
        self._background = background
        self._clients = clients
        self._reconciler = agents.reconciler
        self._renewal_guard = agents.renewal_guard
        self._cache = cache
        self._controller_lease = controller_lease
        self._scheduler = scheduler
        self._intake = intake
        self.contradictions = EndContradictions(cache)

    def send_commands(self, agent: AgentSession) -> None:
        """Send an agent its pending commands, if any, in the background."""
        if (
            agent.command_in_flight
            or not self._controller_lease.alive()
            or not self._background.running
        ):
            return
        commands = self._reconciler.direct_batch(agent, self._cache).commands
        if any(command.operation != FORGET for command in commands):
            agent.command_in_flight = True
            self._background.start_soon(self._send_and_continue, agent)

    def stop_cancelled(self, job_ids: list[str]) -> None:
        """Stop the running tasks of jobs whose committed cancellation a peer announced."""
        for job_id in self._cache.add_peer_cancellations(job_ids, clock.now()):
            job = self._cache.jobs.get(job_id)
            attempts = job.live.values() if job is not None else ()
            for machine in dict.fromkeys(attempt.machine for attempt in attempts):
                agent = self._reconciler.agents.get(machine)
                if agent is not None:
                    self.send_commands(agent)

    async def _send_and_continue(self, agent: AgentSession) -> None:
        """Send one batch, and another one if more commands are pending afterwards.

        If cancelled at shutdown, the agent may or may not have processed the batch.
        """
        machine = agent.heartbeat.machine
        try:
            more_to_send = await self._send_batch(agent)
        finally:
            agent.command_in_flight = False
        if more_to_send and self._reconciler.agents.get(machine) is agent:
            self.send_commands(agent)

    async def _send_batch(self, agent: AgentSession) -> bool:
        """Send the commands that the records call for; return whether more are pending."""
        batch = self._reconciler.direct_batch(agent, self._cache)
        if not batch.commands or not self._controller_lease.alive():
            return False
        stops = uncommitted_stops(agent, self._cache, batch.commands)
        if batch.has_start:
            known_until = self._renewal_guard.cancellations_known_until()
            agent.late_start_cancellations_known_until = min(
                agent.late_start_cancellations_known_until, known_until
            )
        self._reconciler.record_sent(agent, batch, direct=True)
        response = await self._request(agent, batch)
        if response is None:
            if batch.has_start:
                agent.unanswered_start_token = batch.token
            await anyio.sleep(self._retry_delay_s)
            return False
        return self._process_response(agent, batch, stops, response)

    async def _request(self, agent: AgentSession, batch: CommandBatch) -> _CommandResponse | None:
        """Send a batch and return the response.

        Returns None without a usable response; the agent may have processed the batch regardless.
        """
        machine, addr = agent.heartbeat.machine, agent.heartbeat.addr
        body = agent_messages.direct_commands_body(agent.agent_epoch, batch.token, batch.commands)
        try:
            response = await self._clients.get(machine, addr).request(
                "POST", agent_messages.COMMANDS_PATH, body, timeout=self._timeout_s
            )
            # An agent that has executed the commands has seen their token.
            min_token = batch.token if response.status == _OK else 0
            heartbeat = agent_messages.parse_heartbeat(loads(response.body), min_token)
            return _CommandResponse(response.status, heartbeat)
        except (HttpError, MalformedMessageError) as error:
            log.info("no valid response from machine %s to a command: %s", machine, error)
            return None

    def _process_response(
        self,
        agent: AgentSession,
        batch: CommandBatch,
        stops: UncommittedStops,
        response: _CommandResponse,
    ) -> bool:
        """Process the response to a batch; return whether more commands are pending."""
        machine, heartbeat = agent.heartbeat.machine, response.heartbeat
        if heartbeat.machine != machine:
            log.warning(
                "machine %s answered a request to the address of machine %s",
                heartbeat.machine,
                machine,
            )
            return False
        self._intake.receive(heartbeat, direct=True)
        if agent.unanswered_start_token is None:
            agent.late_start_cancellations_known_until = math.inf
        if response.status != _OK:
            return self._process_rejection(agent, batch, heartbeat)
        self.contradictions.check(stops, heartbeat)
        self._scheduler.record_ended_attempts(
            never_started(agent, self._cache, batch.commands, batch.token)
        )
        # Commands of this batch are not repeated before the next heartbeat.
        remaining = self._reconciler.direct_batch(agent, self._cache).commands
        return not _attempt_keys(remaining) <= _attempt_keys(batch.commands)

    def _process_rejection(
        self, agent: AgentSession, batch: CommandBatch, heartbeat: AgentHeartbeat
    ) -> bool:
        """Process the rejection of a batch; return whether to send it again at once."""
        if agent.accepts_token and agent.heartbeat.fencing_token > batch.token:
            # A response to a heartbeat has overtaken the batch with a later token.
            return True
        if heartbeat.fencing_token > batch.token:
            self._reconciler.revoke_token(agent.heartbeat.machine)
        return False


def _attempt_keys(commands: Iterable[Command]) -> set[AttemptKey]:
    """Return the attempts that the commands start or stop."""
    return {
        (command.job, command.task, command.attempt)
        for command in commands
        if command.operation != FORGET
    }
