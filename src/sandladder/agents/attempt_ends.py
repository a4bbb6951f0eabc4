"""The decision that an attempt has ended, with its evidence.

All ends are decided here, except those that a peer has decided in the same way.  Performs no I/O
and reads no clock.
"""

import logging
from collections.abc import Iterable, Mapping

from sandladder.agents.agent_session import AgentSession
from sandladder.agents.collaborators import ClusterObservations
from sandladder.agents.constants import (
    OUTCOME_CHECKPOINTED,
    OUTCOME_LOST,
    OUTCOME_NEVER_STARTED,
    STOP,
    TASK_EXITED,
)
from sandladder.agents.lease_expiry import LeaseExpiryProof
from sandladder.agents.reconciler import stop_grace_s
from sandladder.model import GONE, Command, EndedAttempt, EndEvidence
from sandladder.state import StateCache

log = logging.getLogger(__name__)


def reported_ends(agent: AgentSession, cache: StateCache) -> list[EndedAttempt]:
    """Return the attempts whose end is proved by an agent's latest heartbeat."""
    ended = []
    for job, task, attempt in cache.attempts_on(agent.heartbeat.machine):
        if attempt.agent_epoch < agent.agent_epoch:
            evidence = EndEvidence.LATER_EPOCH
            ended.append(EndedAttempt(job.id, task, attempt, OUTCOME_LOST, evidence))
        elif attempt.agent_epoch == agent.agent_epoch:
            reported = agent.reported_tasks.get((job.id, task, attempt.attempt))
            if reported is not None and reported.state == TASK_EXITED:
                outcome = OUTCOME_CHECKPOINTED if reported.saved else reported.cause
                evidence = EndEvidence.EXIT_REPORTED
                ended.append(EndedAttempt(job.id, task, attempt, outcome, evidence))
    return ended


def never_started(
    agent: AgentSession, cache: StateCache, sent: Iterable[Command], token: int
) -> list[EndedAttempt]:
    """Return the stopped attempts that are absent from the response to sent commands.

    The response proves that the agent accepted `token` after the stop was committed.  Later
    controllers read the stop, commands of earlier controllers are rejected, and no start of this
    controller can still be delivered.
    """
    if agent.heartbeat.fencing_token != token:
        return []
    stopped = {
        (command.job, command.task, command.attempt)
        for command in sent
        if command.operation == STOP
    }
    ended = []
    for job, task, attempt in cache.attempts_on(agent.heartbeat.machine):
        key = (job.id, task, attempt.attempt)
        if (
            key in stopped
            and key not in agent.reported_tasks
            and not agent.sent_starts.latest_token(key)
            and attempt.agent_epoch == agent.agent_epoch
            and stop_grace_s(job, attempt, cache) is not None
        ):
            evidence = EndEvidence.NEVER_STARTED
            ended.append(EndedAttempt(job.id, task, attempt, OUTCOME_NEVER_STARTED, evidence))
    return ended


class LostAttempts:
    """Finds the attempts whose machine was terminated or whose agent's epoch has ended."""

    def __init__(
        self,
        cache: StateCache,
        cluster: ClusterObservations,
        lease_expiry: LeaseExpiryProof,
        lease_s: float,
    ) -> None:
        """Set the sources of the evidence; `lease_s` is the duration of an agent's lease."""
        self._cache = cache
        self._cluster = cluster
        self._lease_expiry = lease_expiry
        self._lease_s = lease_s
        # The expired (machine, epoch) that were logged and still have committed starts.
        self._logged: set[tuple[str, int]] = set()

    def find(self, now: float) -> list[EndedAttempt]:
        """Return the lost attempts; must be called regularly (see `observe_agent_epochs`).

        `now` is the time of the call on the steady clock, in seconds.
        """
        self._lease_expiry.observe_agent_epochs(self._cache.agent_epochs, now)
        lost = []
        for machine in self._cache.agent_epochs:
            ended_epochs = self._ended_epochs(machine, now)
            if not ended_epochs:
                continue
            lost += [
                EndedAttempt(job.id, task, attempt, OUTCOME_LOST, ended_epochs[attempt.agent_epoch])
                for job, task, attempt in self._cache.attempts_on(machine)
                if attempt.agent_epoch in ended_epochs
            ]
        self._logged = {
            (machine, epoch)
            for machine, epoch in self._logged
            if epoch in self._cache.agent_epochs.get(machine, ())
        }
        return lost

    def _log_expired(self, machine: str, ended: Mapping[int, EndEvidence], now: float) -> None:
        """Log the evidence for each lease expiry, once."""
        for epoch, evidence in ended.items():
            if evidence is EndEvidence.LEASE_EXPIRED and (machine, epoch) not in self._logged:
                self._logged.add((machine, epoch))
                log.info(
                    "lease of the agent on machine %s has expired in epoch %d: %s",
                    machine,
                    epoch,
                    self._lease_expiry.explain(machine, epoch, now),
                )

    def _ended_epochs(self, machine: str, now: float) -> dict[int, EndEvidence]:
        """Return the agent epochs with committed starts on a machine that have certainly ended."""
        epochs = self._cache.agent_epochs[machine]
        instance = self._cache.instances.get(machine)
        if instance is not None and instance.state == GONE:
            return dict.fromkeys(epochs, EndEvidence.INSTANCE_GONE)
        observation = self._cluster.observation(machine)
        if observation is not None and self._cluster.now - observation.at < self._lease_s:
            # An agent that starts a new epoch has ended all tasks of earlier epochs.
            current = observation.status.agent_epoch
            return {epoch: EndEvidence.LATER_EPOCH for epoch in epochs if epoch < current}
        return {
            epoch: EndEvidence.LEASE_EXPIRED
            for epoch in epochs
            if self._lease_expiry.has_expired(machine, epoch, now)
        }
