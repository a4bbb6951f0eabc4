"""Summary of the instances' utilization for the log."""

from collections import Counter

from sandladder.autoscaling.provisioned_capacity import BootedMachines
from sandladder.model import ACTIVE
from sandladder.scheduling import ClusterView


def describe_utilization(cluster_view: ClusterView, booted: BootedMachines) -> str:
    """Return a summary of the cores by market and use."""
    types = cluster_view.cache.machine_types
    cores: Counter[str] = Counter()
    for machine in cluster_view.machines():
        capacity = cluster_view.free_capacity(machine)
        if capacity is None:
            continue
        machine_type = types[capacity.type]
        market = _market(capacity.spot)
        cores[market] += round(machine_type.cpus)
        cores[f"{market} {'free' if capacity.usable else 'unusable'}"] += round(capacity.cpus)
        if capacity.cpus >= machine_type.cpus:
            cores[f"{market} idle"] += round(machine_type.cpus)
        for job, _, _ in cluster_view.cache.attempts_on(machine):
            cores[f"{market} for {job.spec.job_class}"] += round(job.spec.cpus)
    for machine, record in cluster_view.cache.instances.items():
        if record.state == ACTIVE and machine not in booted:
            cores[f"{_market(record.spot)} booting"] += round(types[record.type].cpus)
    return ", ".join(f"{name} {number}" for name, number in sorted(cores.items()))


def _market(spot: bool) -> str:
    return "spot" if spot else "on-demand"
