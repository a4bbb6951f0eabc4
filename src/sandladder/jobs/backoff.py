"""Exponential backoff of jobs whose attempts fail or are refused."""

import logging

from sandladder.config import AgentSettings
from sandladder.model import FAILURES, REFUSALS, EndedAttempt
from sandladder.scheduling import Planner

log = logging.getLogger(__name__)

_MAX_DOUBLINGS = 9  # the delay doubles with each further machine that a job failed on
_MAX_DELAY_LEASES = 2  # in agent leases


class JobBackoff:
    """The jobs that are not planned for a while after a failed or refused attempt.

    Performs no I/O and reads no clock.
    """

    def __init__(self, planner: Planner, workers: AgentSettings) -> None:
        self._cluster_view = planner.cluster_view
        self._workers = workers
        self._not_before: dict[str, float] = {}

    @property
    def not_before(self) -> dict[str, float]:
        """By job ID, the earliest time of its next planning, on the steady clock in seconds."""
        return self._not_before

    def record_end(self, ended: EndedAttempt) -> None:
        """Delay the job if its attempt failed or was refused; ignore other outcomes."""
        job = self._cluster_view.cache.jobs.get(ended.job)
        if job is None or ended.outcome not in FAILURES | REFUSALS:
            return
        delay_s = self._workers.report_s / 3
        if ended.outcome in REFUSALS:
            self._cluster_view.avoid_machine(ended.attempt.machine, self._workers.report_s)
        else:
            delay_s = self._record_failure(ended, delay_s)
        self._not_before[ended.job] = max(
            self._not_before.get(ended.job, 0), self._cluster_view.now + delay_s
        )
        log.debug("task %s/%d ended with outcome %s", ended.job, ended.task, ended.outcome)

    def _record_failure(self, ended: EndedAttempt, delay_s: float) -> float:
        """Make the job avoid the machine and return the job's delay in seconds.

        `delay_s`, the delay after the first failure, doubles with each further machine.
        """
        failures = self._cluster_view.job_failures
        failures.add(ended.job, ended.attempt.machine)
        doublings = min(len(failures.machines[ended.job]) - 1, _MAX_DOUBLINGS)
        return min(_MAX_DELAY_LEASES * self._workers.lease_s, delay_s * 2.0**doublings)

    def forget_expired(self, now: float) -> None:
        """Drop the jobs whose backoff has ended."""
        self._not_before = {
            job_id: not_before
            for job_id, not_before in self._not_before.items()
            if not_before > now
        }
