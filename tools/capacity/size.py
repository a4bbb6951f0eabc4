"""The size that the design is for, in two years, and the limits beside it."""

from typing import NamedTuple


class Size(NamedTuple):
    """What the users expect at the peak, and what control may use."""

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
        """Workers that report to each controller while all are well."""
        return self.workers / self.controllers

    @property
    def tasks_per_worker(self) -> float:
        """Running tasks on each worker."""
        return self.running_tasks / self.workers

    @property
    def task_s(self) -> float:
        """How long a task runs at the peak, in seconds, by Little's law."""
        return self.running_tasks / self.starts_per_s


SIZE = Size()
# How often a worker reports at least, in seconds, and how close together it may report a change
# (the larger deployment of today, and the protocol).
REPORT_S, CHANGE_S = 2.5, 0.5


class StateLimits(NamedTuple):
    """What a deployment's state service takes today."""

    name: str
    requests_per_s: float
    changes_per_s: float
    value_kb: float
    changes_per_transaction: int


STATE = (
    StateLimits("small values", 300.0, 20.0, 8.0, 12),
    StateLimits("large values", 250.0, 70.0, 16.0, 32),
)
# The processor time and memory of a controller there: share of a core, MB.
CORE_SHARE, MEMORY_MB = 0.72, 251.0
