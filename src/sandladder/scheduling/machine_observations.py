"""The latest observation of each machine, with its source and time.  Pure: no I/O, no clock."""

import enum
from collections.abc import KeysView
from typing import NamedTuple

from sandladder.agents import AgentSession
from sandladder.config import Settings
from sandladder.model import DRAINING, MachineStatus
from sandladder.scheduling.view_time import ViewTime
from sandladder.state import StateCache


class MachineObservation(NamedTuple):
    """The status of a machine, the controller that it reports to, and the time of the status."""

    status: MachineStatus
    reporting_controller: str
    at: float  # on the steady clock


class MachineDeparture(enum.StrEnum):
    """The reason why a machine is about to leave."""

    DRAINING = "a draining machine"  # the autoscaler scales it in
    NOTICE = "a preemption notice"  # the cloud reclaims it


class MachineObservations:
    """The latest observation of each machine, from heartbeats, inventories and peer messages."""

    def __init__(self, settings: Settings, cache: StateCache, time: ViewTime) -> None:
        self._node = settings.node
        self._cache = cache
        self._time = time
        workers = settings.platform.deployment.workers
        # Two heartbeat intervals, with a quarter of an interval of delay for each.
        self.fresh_s = 2.5 * workers.report_s
        self.inventory_interval_s = inventory_interval_s(settings)
        self.peer_fresh_s = self.fresh_s + self.inventory_interval_s
        self._forget_after_s = 4 * workers.lease_s
        self._latest: dict[str, MachineObservation] = {}

    def from_heartbeat(self, agent: AgentSession) -> MachineObservation:
        """Return the observation in an agent's last heartbeat to this controller."""
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
        """Store an observation and return it as stored, or None if a later one is stored.

        An observation without images keeps those of the previous one of the same agent epoch.
        """
        old = self._latest.get(machine)
        if old is not None:
            if (new.status.agent_epoch, new.at) < (old.status.agent_epoch, old.at):
                return None
            if not new.status.images and new.status.agent_epoch == old.status.agent_epoch:
                new = new._replace(status=new.status._replace(images=old.status.images))
        self._latest[machine] = new
        return new

    def get(self, machine: str) -> MachineObservation | None:
        """Return the latest observation of a machine, or None."""
        return self._latest.get(machine)

    def machines(self) -> KeysView[str]:
        """Return all recently observed machines, in the order of their first observation."""
        return self._latest.keys()

    def reported_to(self, controllers: frozenset[str]) -> list[str]:
        """Return the machines whose agents report to any of these controllers."""
        return [
            machine
            for machine, observation in self._latest.items()
            if observation.reporting_controller in controllers
        ]

    def age_s(self, observation: MachineObservation) -> float:
        """Return the age of an observation, in seconds."""
        return self._time.now - observation.at

    def stale_at(self, observation: MachineObservation) -> float:
        """Return the time on the steady clock at which an observation becomes stale.

        Observations of other controllers arrive later and are valid for longer.
        """
        is_own = observation.reporting_controller == self._node
        return observation.at + (self.fresh_s if is_own else self.peer_fresh_s)

    def leaving_machines(self) -> list[str]:
        """Return the observed machines that are about to leave."""
        instances = self._cache.instances
        draining = {name for name, record in instances.items() if record.state == DRAINING}
        return [
            machine
            for machine, observation in self._latest.items()
            if observation.status.notice_s is not None or machine in draining
        ]

    def departure(self, machine: str) -> MachineDeparture | None:
        """Return why a machine is about to leave, or None if it stays."""
        instance = self._cache.instances.get(machine)
        if instance is not None and instance.state == DRAINING:
            return MachineDeparture.DRAINING
        observation = self._latest.get(machine)
        if observation is not None and observation.status.notice_s is not None:
            return MachineDeparture.NOTICE
        return None

    def forget_missing(self) -> list[str]:
        """Drop and return the machines that have not been observed for long."""
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
    """Return the interval at which a controller publishes its machine inventory, in seconds.

    All inventories together may use a twentieth of the store's write rate.
    """
    deployment = settings.platform.deployment
    min_interval_s = len(settings.node_names) / (deployment.state.write_rps / 20)
    return max(settings.operator.summary_reports * deployment.workers.report_s, min_interval_s)
