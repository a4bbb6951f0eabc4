"""The cloud's offers, their prices, and recent refusals."""

from collections.abc import Iterable
from typing import NamedTuple

from sandladder.model import JobSpec, MachineType


class Offer(NamedTuple):
    """A machine type in a zone, as a spot or an on-demand instance."""

    type: str
    zone: str
    spot: bool


class ScaleOutRequest(NamedTuple):
    """A request to the cloud for a number of instances of one offer."""

    type: str
    zone: str
    spot: bool
    number: int

    @property
    def offer(self) -> Offer:
        """The requested offer."""
        return Offer(self.type, self.zone, self.spot)


class RefusedOffers:
    """The offers that the cloud refused recently for lack of capacity."""

    def __init__(self, retry_after_s: float) -> None:
        """Initialize an empty set of refusals.

        Args:
            retry_after_s: the time for which an offer counts as refused, in seconds.
        """
        self._retry_after_s = retry_after_s
        self._refused_until: dict[Offer, float] = {}

    def add(self, offer: Offer, now: float) -> None:
        """Record that the cloud refused the offer at `now` on the steady clock."""
        self._refused_until[offer] = now + self._retry_after_s

    def is_refused(self, offer: Offer, now: float) -> bool:
        """Return whether the offer still counts as refused at `now` on the steady clock."""
        return self._refused_until.get(offer, 0.0) > now


def hourly_price(machine_type: MachineType, spot: bool) -> float:
    """Return the hourly price of an instance, or 0 if the type is not offered in that market."""
    return machine_type.spot_price if spot else machine_type.price


def fitting_types(spec: JobSpec, types: Iterable[MachineType]) -> list[MachineType]:
    """Return the types whose empty machines fit a task of the job."""
    return [machine_type for machine_type in types if machine_type.fits(spec)]


def lowest_task_price(spec: JobSpec, types: Iterable[MachineType]) -> float:
    """Return a task's lowest hourly price on on-demand machines, or 0 if it fits none."""
    prices = []
    for machine_type in fitting_types(spec, types):
        if machine_type.price <= 0:
            continue
        by_cpus = machine_type.cpus / spec.cpus
        by_memory = machine_type.memory_gb / spec.memory_gb if spec.memory_gb else machine_type.cpus
        prices.append(machine_type.price / max(1, int(min(by_cpus, by_memory))))
    return min(prices, default=0.0)
