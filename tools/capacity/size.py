"""The cluster size that the design targets, and the limits of a deployment."""

from typing import NamedTuple


class Size(NamedTuple):
    """The expected peak load in two years, and the resources that the control plane may use."""

    workers: int = 1300
    running_tasks: int = 8600
    starts_per_s: float = 1100.0
    jobs_per_day: int = 7900
    teams: int = 170
    controllers: int = 9
    regions: int = 2
    zones: int = 4
    urgent_start_s: float = 5.0
    configurations_per_day: int = 790
    configuration_s: float = 7.0
    worker_core_share: float = 0.049
    worker_memory_mb: float = 128.0
    worker_bytes_per_s: float = 5000.0
    failures_per_day: int = 19
    restarts_per_day: int = 80

    @property
    def workers_per_controller(self) -> float:
        """The average number of workers that send heartbeats to a controller."""
        return self.workers / self.controllers

    @property
    def tasks_per_worker(self) -> float:
        """The average number of running tasks on a worker."""
        return self.running_tasks / self.workers

    @property
    def task_s(self) -> float:
        """The average duration of a task at the peak, in seconds, by Little's law."""
        return self.running_tasks / self.starts_per_s


SIZE = Size()
# Maximum and minimum interval between the heartbeats of a worker, in seconds: the setting of the
# larger deployment, and the limit of the protocol for heartbeats on change.
HEARTBEAT_INTERVAL_S, MIN_HEARTBEAT_INTERVAL_S = 2.5, 0.5


class StoreLimits(NamedTuple):
    """The limits of a deployment's key-value store."""

    name: str
    requests_per_s: float
    writes_per_s: float
    value_kb: float
    writes_per_transaction: int


STORE_LIMITS = (
    StoreLimits("small values", 300.0, 20.0, 8.0, 12),
    StoreLimits("large values", 250.0, 70.0, 16.0, 32),
)
# Processor time, as a share of a core, and memory in MB that a controller may use.
CORE_SHARE, MEMORY_MB = 0.72, 251.0
