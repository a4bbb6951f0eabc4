"""The inputs of one round of scaling decisions."""

from dataclasses import dataclass
from typing import NamedTuple

from sandladder.autoscaling.offers import RefusedOffers
from sandladder.autoscaling.provisioned_capacity import ProvisionedCapacity
from sandladder.config import Settings
from sandladder.scheduling import Bin, ClusterView

# Allowed delay of work without an objective, in agent leases.
_DEFAULT_ALLOWED_DELAY_LEASES = 10


class StartObjectives(NamedTuple):
    """The objectives that determine how late tasks may start, by job class; times in seconds."""

    start_within_s: dict[str, float]  # limits on the start of the tasks
    finish_within_s: dict[str, list[float]]  # limits on the completion of the jobs
    default_delay_s: float  # allowed delay of work without an objective

    @staticmethod
    def from_settings(settings: Settings) -> "StartObjectives":
        """Return the objectives in the platform's settings."""
        lease_s = settings.platform.deployment.workers.lease_s
        return StartObjectives(
            settings.start_objectives_s,
            settings.completion_objectives_s,
            _DEFAULT_ALLOWED_DELAY_LEASES * lease_s,
        )


@dataclass(frozen=True)
class ScalingInputs:
    """The inputs of one round of scaling decisions."""

    cluster_view: ClusterView
    provisioned: ProvisionedCapacity  # its bins are filled as capacity is assigned
    refused: RefusedOffers
    objectives: StartObjectives
    wall_clock_s: float  # the time of day, in seconds

    @property
    def lease_s(self) -> float:
        """The agent lease, in seconds."""
        return self.cluster_view.settings.platform.deployment.workers.lease_s

    @property
    def bins(self) -> list[Bin]:
        """The machines' unassigned capacity."""
        return self.provisioned.bins
