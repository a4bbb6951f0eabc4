"""Backoff of jobs whose tasks fail or are refused."""

import logging

from sandladder.config import AgentSettings
from sandladder.model import FAILURES, REFUSALS, EndedAttempt
from sandladder.scheduling import Planner

log = logging.getLogger(__name__)

# The delay doubles with each machine that a job failed on, up to so many.
_MAX_DOUBLINGS = 9
# The longest delay, in agent leases.
_MAX_DELAY_LEASES = 2


class JobBackoff:
    """Until when the jobs whose tasks failed of late are not planned again.

    Pure: no I/O, no clock.
    """

    def __init__(self, planner: Planner, workers: AgentSettings) -> None:
        self._planner = planner
        self._cluster_view = planner.cluster_view
        self._workers = workers
        self._until: dict[str, float] = {}

    @property
    def until(self) -> dict[str, float]:
        """By job, until when it is not planned, on the steady clock in seconds."""
        return self._until

    def note(self, ended: EndedAttempt) -> None:
        """Delay a job whose attempt failed or was refused; other ends delay nothing."""
        job = self._cluster_view.cache.jobs.get(ended.job)
        if job is None or ended.outcome not in FAILURES | REFUSALS:
            return
        delay_s = self._workers.report_s / 3
        if ended.outcome in REFUSALS:
            self._cluster_view.avoid_machine(ended.attempt.machine, self._workers.report_s)
        else:
            delay_s = self._after_failure(ended, delay_s)
        self._until[ended.job] = max(
            self._until.get(ended.job, 0), self._cluster_view.now + delay_s
        )
        log.debug("%s/%d ended with %s", ended.job, ended.task, ended.outcome)

    def _after_failure(self, ended: EndedAttempt, delay_s: float) -> float:
        """Have a job avoid the machine on which it failed; how long it is delayed, in seconds.

        The more machines it failed on, the longer.
        """
        failed_on = self._planner.failed_machines.setdefault(ended.job, set())
        failed_on.add(ended.attempt.machine)
        doublings = min(len(failed_on) - 1, _MAX_DOUBLINGS)
        return min(_MAX_DELAY_LEASES * self._workers.lease_s, delay_s * 2.0**doublings)

    def forget_expired(self, now: float) -> None:
        """Drop the jobs that may be planned again."""
        self._until = {job_id: until for job_id, until in self._until.items() if until > now}
