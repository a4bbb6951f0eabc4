"""What the cloud can be asked for, at which price, and what it has refused of late."""

from collections.abc import Iterable
from typing import NamedTuple

from sandladder.model import JobSpec, MachineType


class Offer(NamedTuple):
    """A machine type in a zone, as a spot or an on-demand instance."""

    type: str
    zone: str
    spot: bool


class ScaleOutRequest(NamedTuple):
    """So many instances of one offer to ask the cloud for."""

    type: str
    zone: str
    spot: bool
    number: int

    @property
    def offer(self) -> Offer:
        """The offer that is asked for."""
        return Offer(self.type, self.zone, self.spot)


class RefusedOffers:
    """The offers for which the cloud had no capacity, each for a while after its refusal."""

    def __init__(self, retry_after_s: float) -> None:
        """
        Args:
            retry_after_s: how long an offer counts as refused, in seconds.
        """
        self._retry_after_s = retry_after_s
        self._refused_until: dict[Offer, float] = {}

    def note(self, offer: Offer, now: float) -> None:
        """The cloud refused this offer, at `now` on the steady clock."""
        self._refused_until[offer] = now + self._retry_after_s

    def is_refused(self, offer: Offer, now: float) -> bool:
        """Whether the offer is not to be asked for yet, at `now` on the steady clock."""
        return self._refused_until.get(offer, 0.0) > now


def hourly_price(machine_type: MachineType, spot: bool) -> float:
    """What an instance costs an hour; 0 where the type is not offered so."""
    return machine_type.spot_price if spot else machine_type.price


def types_for(spec: JobSpec, types: Iterable[MachineType]) -> list[MachineType]:
    """The types of which an empty machine takes a task of the job."""
    return [machine_type for machine_type in types if machine_type.fits(spec)]


def lowest_task_price(spec: JobSpec, types: Iterable[MachineType]) -> float:
    """What a task costs an hour on the on-demand machine that suits it best; 0 if none does."""
    prices = []
    for machine_type in types_for(spec, types):
        if machine_type.price <= 0:
            continue
        by_cpus = machine_type.cpus / spec.cpus
        by_memory = machine_type.memory_gb / spec.memory_gb if spec.memory_gb else machine_type.cpus
        prices.append(machine_type.price / max(1, int(min(by_cpus, by_memory))))
    return min(prices, default=0.0)
