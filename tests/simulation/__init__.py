"""A simulated cluster in virtual time: real controllers, everything around them simulated.

The package has the event loop with its virtual clock, the network, the state service, the cloud,
the workers, the users, the faults that can strike each of these, and the rules of the protocol.
After every step of a worker and every answer to a user the rules are checked; a broken rule is
collected in `SimulatedCluster.violations`.  Everything random is drawn from one seed, in the order of
the events: the same seed gives the same run, event by event, whatever the hash seed of the process.

`workloads` has jobs, `faults` has faults that strike a whole cluster, `fault_scenarios` runs users
and faults together and checks how all ends.  The package imports no test and never reads the state
of a controller to decide whether a rule is kept.
"""

from simulation.cluster import SimulatedCluster, run
from simulation.deployment import (
    CANCEL_S,
    LEASE_S,
    MACHINE_TYPES,
    NEXT,
    REPORT_S,
    TEAMS,
    TODAY,
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
    "NEXT",
    "REPORT_S",
    "TEAMS",
    "TODAY",
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
