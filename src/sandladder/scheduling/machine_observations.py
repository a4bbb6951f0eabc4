"""The latest observation of each machine: what it is, who says so, and how old that is.  Pure."""

import enum
from collections.abc import KeysView
from typing import NamedTuple

from sandladder.agents import AgentSession
from sandladder.config import Settings
from sandladder.model import MachineStatus
from sandladder.scheduling.view_time import ViewTime
from sandladder.state import StateCache


class MachineObservation(NamedTuple):
    """What is known of a machine, from which controller, and as of when."""

    status: MachineStatus
    reporting_controller: str
    at: float  # on the steady clock


class MachineDeparture(enum.StrEnum):
    """Why a machine is about to leave."""

    DRAINING = "a draining machine"  # the autoscaler is returning it
    NOTICE = "a preemption notice"  # the cloud takes it back


class MachineObservations:
    """The latest observation of each machine, from heartbeats, inventories and peer messages."""

    def __init__(self, settings: Settings, cache: StateCache, time: ViewTime) -> None:
        self._node = settings.node
        self._cache = cache
        self._time = time
        workers = settings.platform.deployment.workers
        # A heartbeat may be a quarter late; past two of them the machine is in doubt.
        self.fresh_s = 2.5 * workers.report_s
        self.inventory_interval_s = inventory_interval_s(settings)
        self.late_s = self.fresh_s + self.inventory_interval_s
        self._forget_after_s = 4 * workers.lease_s
        self._latest: dict[str, MachineObservation] = {}

    def of_heartbeat(self, agent: AgentSession) -> MachineObservation:
        """What an agent's last heartbeat to this controller says of its machine."""
        heartbeat, notice = agent.heartbeat, agent.termination_at
        status = MachineStatus(
            type=heartbeat.type,
            zone=heartbeat.zone,
            spot=heartbeat.spot,
            agent_epoch=heartbeat.agent_epoch,
            age_s=0.0,
            notice_s=None if notice is None else notice - self._time.now,
            errors=len(agent.failed_jobs),
        )
        return MachineObservation(status, self._node, agent.last_seen_at)

    def record(self, machine: str, new: MachineObservation) -> MachineObservation | None:
        """Keep an observation unless a later one is known; what is kept, or None."""
        old = self._latest.get(machine)
        if old is not None:
            if (new.status.agent_epoch, new.at) < (old.status.agent_epoch, old.at):
                return None
            if not new.status.images and new.status.agent_epoch == old.status.agent_epoch:
                new = new._replace(status=new.status._replace(images=old.status.images))
        self._latest[machine] = new
        return new

    def get(self, machine: str) -> MachineObservation | None:
        """The latest observation of a machine."""
        return self._latest.get(machine)

    def machines(self) -> KeysView[str]:
        """All machines that were observed lately, in the order in which they came."""
        return self._latest.keys()

    def reported_to(self, controllers: frozenset[str]) -> list[str]:
        """The machines whose agents report to any of these controllers."""
        return [
            machine
            for machine, observation in self._latest.items()
            if observation.reporting_controller in controllers
        ]

    def age_s(self, observation: MachineObservation) -> float:
        """How old an observation is, in seconds."""
        return self._time.now - observation.at

    def stale_at(self, observation: MachineObservation) -> float:
        """Up to when an observation can be relied on; other controllers' come with delay."""
        own = observation.reporting_controller == self._node
        return observation.at + (self.fresh_s if own else self.late_s)

    def leaving_machines(self) -> list[str]:
        """The machines that are about to leave, as far as they were observed."""
        instances = self._cache.instances
        draining = {name for name, record in instances.items() if record.state == "draining"}
        return [
            machine
            for machine, observation in self._latest.items()
            if observation.status.notice_s is not None or machine in draining
        ]

    def departure(self, machine: str) -> MachineDeparture | None:
        """Why a machine is about to leave, or None if it stays."""
        listed = self._cache.instances.get(machine)
        if listed is not None and listed.state == "draining":
            return MachineDeparture.DRAINING
        observation = self._latest.get(machine)
        if observation is not None and observation.status.notice_s is not None:
            return MachineDeparture.NOTICE
        return None

    def forget_missing(self) -> list[str]:
        """Drop the machines that have not been observed for long; which ones."""
        now = self._time.now
        missing = [
            machine
            for machine, observation in self._latest.items()
            if now - observation.at > self._forget_after_s
        ]
        for machine in missing:
            del self._latest[machine]
        return missing


def inventory_interval_s(settings: Settings) -> float:
    """How often a controller publishes its machine inventory, in seconds.

    All inventories together may take a twentieth of the writes that the store accepts.
    """
    deployment = settings.platform.deployment
    least = len(settings.node_names) / (deployment.state.write_rps / 20)
    return max(settings.operator.summary_reports * deployment.workers.report_s, least)
