"""Selection of the offers that cover the shortages at the lowest price."""

from collections import Counter
from collections.abc import Iterator, Sequence
from typing import NamedTuple

from sandladder.autoscaling.offers import Offer, RefusedOffers, ScaleOutRequest, hourly_price
from sandladder.model import EPSILON, SERVICE, MachineType
from sandladder.scheduling import MAX_TASKS_PER_MACHINE, Bin, ClusterView, Shortage, pack

# The instances for a long backlog are chosen in about this number of chunks.  Choosing hundreds of
# them one by one took a sixth of the autoscaler's processor time.
_BACKLOG_CHUNKS = 12
_MAX_INSTANCES_PER_REQUEST = 50
# Relative surcharge per existing instance of an offer in price comparisons, which spreads
# instances over zones with equal prices.
_SPREAD_SURCHARGE = 0.01


class PricedOffer(NamedTuple):
    """An offer and its hourly cost per used core, including the spread surcharge."""

    cost: float
    type: MachineType
    zone: str
    spot: bool

    @property
    def offer(self) -> Offer:
        """The priced offer."""
        return Offer(self.type.name, self.zone, self.spot)


def choose_instances(
    cluster_view: ClusterView, refused: RefusedOffers, shortages: Sequence[Shortage]
) -> list[ScaleOutRequest]:
    """Return the requests that cover the shortages, the most urgent first.

    There is one request per offer, because its response shows whether more capacity is available.

    Args:
        cluster_view: provides the machine types and existing instances.
        refused: the offers not to request.
        shortages: the tasks that lack capacity, the most urgent first.
    """
    wanted: Counter[Offer] = Counter()
    new_bins: list[Bin] = []  # the remaining capacity of the instances chosen so far
    existing = Counter(
        Offer(record.type, record.zone, record.spot)
        for record in cluster_view.cache.instances.values()
    )
    min_task_cpus = min((shortage.spec.cpus for shortage in shortages), default=0.0)
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
            new_bin = Bin(best.type, best.zone, best.spot)
            # Most of a long backlog is covered in chunks, the rest instance by instance.
            allowed = missing if zones is None else min(missing, zones.left(best.zone))
            tasks_per_instance = max(1, new_bin.tasks_that_fit(spec, allowed))
            full_instances = allowed // tasks_per_instance // _BACKLOG_CHUNKS
            covered = full_instances * tasks_per_instance
            if zones is not None:
                zones.take(best.zone, covered)
            wanted[best.offer] += full_instances
            missing -= covered
            wanted[best.offer] += 1
            missing -= pack(spec, missing, [new_bin], zones=zones)
            if new_bin.cpus + EPSILON >= min_task_cpus:
                new_bins.append(new_bin)
    return [
        ScaleOutRequest(*offer, min(_MAX_INSTANCES_PER_REQUEST, number))
        for offer, number in wanted.items()
    ]


def cheapest_offer(
    cluster_view: ClusterView,
    refused: RefusedOffers,
    count: int,
    shortages: Sequence[Shortage],
    instances: Counter[Offer],
) -> PricedOffer | None:
    """Return the offer with the lowest cost per used core, or None if no offer is suitable.

    Args:
        cluster_view: provides the machine types.
        refused: the offers not to request.
        count: the number of tasks of the first shortage to cover.
        shortages: the shortage to cover, then those that may use the remaining capacity.
        instances: the number of existing and requested instances of each offer.
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
    """Iterate over the offers of a type that may cover a shortage, with their hourly prices."""
    spec, zones = shortage.spec, shortage.zones
    markets = [True] * spec.spot + [False] * (shortage.on_demand_allowed or not spec.spot)
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
    """Return the number of cores of a new machine that would be used.

    The machine is filled with `count` tasks of the first shortage, then with those of the others.
    """
    # Services run indefinitely and other work ends, so a machine takes only one of the two.
    for_services = shortages[0].spec.kind == SERVICE
    cpus, memory_gb, used = machine_type.cpus, machine_type.memory_gb, 0.0
    tasks = MAX_TASKS_PER_MACHINE
    for position, shortage in enumerate(shortages):
        spec = shortage.spec
        if (spec.kind == SERVICE) != for_services:
            continue
        max_tasks = count if position == 0 else shortage.tasks
        number = min(max_tasks, tasks, int((cpus + EPSILON) / spec.cpus))
        if spec.memory_gb > 0:
            number = min(number, int((memory_gb + EPSILON) / spec.memory_gb))
        cpus -= number * spec.cpus
        memory_gb -= number * spec.memory_gb
        tasks -= number
        used += number * spec.cpus
        if cpus < EPSILON:
            break
    return used
