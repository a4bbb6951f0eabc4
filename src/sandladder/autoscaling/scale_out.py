"""Which offers meet the shortages at the lowest price."""

from collections import Counter
from collections.abc import Iterator, Sequence
from typing import NamedTuple

from sandladder.autoscaling.offers import Offer, RefusedOffers, ScaleOutRequest, hourly_price
from sandladder.model import EPSILON, SERVICE, MachineType
from sandladder.scheduling import Bin, ClusterView, Shortage, pack

# Into about so many pieces the instances for a long backlog are cut, each asked for where it is
# cheapest then.  Seen in a measured day: a sixth of the autoscaler's processor time went into
# choosing hundreds of machines one by one in each round.
_PIECES = 12
# How many instances one request to the cloud may ask for.
_MOST_INSTANCES_PER_REQUEST = 50
# By how much each instance of an offer raises its price in comparisons, so that zones alike in
# price take turns.
_SPREAD_SURCHARGE = 0.01


class PricedOffer(NamedTuple):
    """An offer, and its price for each core that would be used."""

    cost: float
    type: MachineType
    zone: str
    spot: bool

    @property
    def offer(self) -> Offer:
        """The offer that is priced."""
        return Offer(self.type.name, self.zone, self.spot)


def choose_instances(
    cluster_view: ClusterView, refused: RefusedOffers, shortages: Sequence[Shortage]
) -> list[ScaleOutRequest]:
    """The requests that meet the shortages, for the most urgent first.

    One request an offer: whether there is more of it is known once that is answered.

    Args:
        cluster_view: says which types there are, and which instances already.
        refused: the offers that are not asked for.
        shortages: the tasks that lack capacity, the most urgent first.
    """
    wanted: Counter[Offer] = Counter()
    new_bins: list[Bin] = []  # what is left of the instances asked for so far
    existing = Counter(
        Offer(record.type, record.zone, record.spot)
        for record in cluster_view.cache.instances.values()
    )
    least_cpus = min((shortage.spec.cpus for shortage in shortages), default=0.0)
    for index, shortage in enumerate(shortages):
        spec, zones = shortage.spec, shortage.zones
        keep_gpus = cluster_view.avoids_gpus(spec)
        missing = shortage.tasks
        missing -= pack(spec, missing, new_bins, zones=zones, keep_gpus=keep_gpus)
        while missing > 0:
            best = cheapest_offer(
                cluster_view, refused, missing, shortages[index:], existing + wanted
            )
            if best is None:
                break
            new = Bin(best.type, best.zone, best.spot)
            if zones is None:
                # Most of a long backlog goes in pieces, the rest machine by machine.
                each = max(1, new.tasks_that_fit(spec, missing))
                full_instances = missing // each // _PIECES
                wanted[best.offer] += full_instances
                missing -= full_instances * each
            wanted[best.offer] += 1
            missing -= pack(spec, missing, [new], zones=zones)
            if new.cpus + EPSILON >= least_cpus:
                new_bins.append(new)
    return [
        ScaleOutRequest(*offer, min(_MOST_INSTANCES_PER_REQUEST, number))
        for offer, number in wanted.items()
    ]


def cheapest_offer(
    cluster_view: ClusterView,
    refused: RefusedOffers,
    count: int,
    shortages: Sequence[Shortage],
    instances: Counter[Offer],
) -> PricedOffer | None:
    """The offer with the lowest price for each core that would be used.

    Args:
        cluster_view: says which types there are.
        refused: the offers that are not asked for.
        count: how many tasks of the first shortage the instance is for.
        shortages: the first is the one to be met; the others may use what it leaves.
        instances: how many there are of each offer, with those asked for.
    """
    first = shortages[0]
    avoids_gpus = cluster_view.avoids_gpus(first.spec)
    best: PricedOffer | None = None
    for machine_type in cluster_view.cache.machine_types.values():
        if not machine_type.fits(first.spec) or (avoids_gpus and machine_type.gpus > 0):
            continue
        used = used_cores(machine_type, count, shortages)
        for offer, price in _offers(machine_type, first):
            if refused.is_refused(offer, cluster_view.now):
                continue
            cost = price / max(used, EPSILON)
            cost *= 1 + _SPREAD_SURCHARGE * instances[offer]
            if best is None or cost < best.cost:
                best = PricedOffer(cost, machine_type, offer.zone, offer.spot)
    return best


def _offers(machine_type: MachineType, shortage: Shortage) -> Iterator[tuple[Offer, float]]:
    """The offers of a type that may meet a shortage, each with its price an hour."""
    spec, zones = shortage.spec, shortage.zones
    markets = [True] * spec.spot + [False] * (shortage.ordinary_allowed or not spec.spot)
    for spot in markets:
        price = hourly_price(machine_type, spot)
        if price <= 0:
            continue
        for zone in machine_type.zones:
            if spec.zone not in (None, zone):
                continue
            if zones is not None and not zones.left(zone):
                continue
            yield Offer(machine_type.name, zone, spot), price


def used_cores(machine_type: MachineType, count: int, shortages: Sequence[Shortage]) -> float:
    """How many cores of a new machine would be used.

    By `count` tasks of the first shortage, and then by those of the others.
    """
    # Services stay for long and the rest goes: a machine is filled with one of the two.
    for_services = shortages[0].spec.kind == SERVICE
    cpus, memory_gb, used = machine_type.cpus, machine_type.memory_gb, 0.0
    for position, shortage in enumerate(shortages):
        spec = shortage.spec
        if (spec.kind == SERVICE) != for_services:
            continue
        most = count if position == 0 else shortage.tasks
        number = min(most, int((cpus + EPSILON) / spec.cpus))
        if spec.memory_gb > 0:
            number = min(number, int((memory_gb + EPSILON) / spec.memory_gb))
        cpus -= number * spec.cpus
        memory_gb -= number * spec.memory_gb
        used += number * spec.cpus
        if cpus < EPSILON:
            break
    return used
