"""Deterministic simulation of a cluster in virtual time: real controllers, all else simulated.

The package contains the event loop with its virtual clock, the network, the key-value store, the
cloud, the workers, the users, fault injection for each of these, and the rules of the protocol.
The rules are checked after every step of a worker and every response to a user; violations are
collected in `SimulatedCluster.violations`.  All random values are drawn from one seeded generator
in the order of the events: the same seed gives the same run, regardless of the hash seed.

`workloads` generates jobs, `faults` injects faults into a whole cluster, `fault_scenarios` runs
users and faults concurrently and checks the recovery.  The package imports no test and never reads
the state of a controller to decide whether a rule is violated.
"""

from simulation.cluster import SimulatedCluster, run
from simulation.deployment import (
    CANCEL_S,
    LEASE_S,
    MACHINE_TYPES,
    NEXT_LIMITS,
    REPORT_S,
    TEAMS,
    THIS_VERSION,
    ZONES,
    job,
    settings,
)
from simulation.event_loop import VirtualTimeEventLoop, now
from simulation.tracing import TRACE
from simulation.workers import Worker

__all__ = [
    "CANCEL_S",
    "LEASE_S",
    "MACHINE_TYPES",
    "NEXT_LIMITS",
    "REPORT_S",
    "TEAMS",
    "THIS_VERSION",
    "TRACE",
    "ZONES",
    "SimulatedCluster",
    "VirtualTimeEventLoop",
    "Worker",
    "job",
    "now",
    "run",
    "settings",
]
