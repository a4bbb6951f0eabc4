"""What one round of decisions on scaling rests on."""

from dataclasses import dataclass
from typing import NamedTuple

from sandladder.autoscaling.offers import RefusedOffers
from sandladder.autoscaling.provisioned_capacity import ProvisionedCapacity
from sandladder.config import Settings
from sandladder.scheduling import Bin, ClusterView

# Work without any objective may wait for so many worker leases.
_DEFAULT_ALLOWANCE_LEASES = 10


class StartObjectives(NamedTuple):
    """The objectives that say how late the tasks of a class may start; all times in seconds."""

    waits: dict[str, float]  # by class, within how long its tasks should start
    finishes: dict[str, list[float]]  # by class, within how long its jobs should be done
    default_s: float  # for work without an objective

    @staticmethod
    def of(settings: Settings) -> "StartObjectives":
        """The objectives of the platform's settings."""
        lease_s = settings.platform.deployment.workers.lease_s
        return StartObjectives(
            settings.start_objectives_s,
            settings.completion_objectives_s,
            _DEFAULT_ALLOWANCE_LEASES * lease_s,
        )


@dataclass(frozen=True)
class ScalingInputs:
    """What one round of decisions rests on."""

    cluster_view: ClusterView
    provisioned: ProvisionedCapacity  # its bins are filled as capacity is given out
    refused: RefusedOffers
    objectives: StartObjectives
    wall: float  # the time of day, in seconds

    @property
    def lease_s(self) -> float:
        """The worker lease, in seconds."""
        return self.cluster_view.settings.platform.deployment.workers.lease_s

    @property
    def bins(self) -> list[Bin]:
        """The machines, with what is not given out yet."""
        return self.provisioned.bins
