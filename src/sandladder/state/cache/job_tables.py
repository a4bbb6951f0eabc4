"""The records of jobs, with the indexes derived from them."""

from collections import OrderedDict
from collections.abc import Iterable, Iterator
from typing import Any

from sandladder.model import (
    CANCELLED,
    Attempt,
    DependencyIndex,
    FinishedJob,
    Job,
    TeamUsage,
)
from sandladder.state.cache.attempt_index import AttemptIndex
from sandladder.state.codecs.jobs import read_finished_job, read_job

FINISHED_JOBS_KEPT = 4096  # in memory; older ones are read from the store


class JobTables:
    """Live and finished jobs, with indexes by machine, team and dependency.

    The controller's change handler reads `changed_machines` and `started_tasks` and replaces them
    by empty dictionaries; no other attribute may be changed by callers.

    Attributes:
        jobs: the live jobs by id.
        dependency_index: the dependencies between jobs.
        usage: by team, the usage of its live attempts.
        attempts_by_machine: by machine, the (job, task) of each live attempt.
        agent_epochs: by machine, the number of live attempts of each agent epoch.
        finished_jobs: the latest finished jobs by id.
        unarchived: by id, the finished jobs that are still stored under the live job's key.
        cancelled: the live jobs that are cancelled.
        changed_machines: the machines whose live attempts changed since the last replacement.
        started_tasks: the (job, task) of each new attempt since the last replacement.
    """

    def __init__(self) -> None:
        self.jobs: dict[str, Job] = {}
        self.dependency_index = DependencyIndex(self.jobs)
        self.usage: dict[str, TeamUsage] = {}
        self._attempts = AttemptIndex()
        # The index's dictionaries are shared to avoid a call on each access.
        self.attempts_by_machine = self._attempts.by_machine
        self.agent_epochs = self._attempts.epochs
        self.finished_jobs: OrderedDict[str, FinishedJob] = OrderedDict()
        self.unarchived: dict[str, FinishedJob] = {}
        self.cancelled: dict[str, None] = {}
        # Jobs that peers reported as cancelled since the last read of the store, with the time on
        # the steady clock.  Used only to stop tasks: only the store's records are authoritative.
        self._cancelled_by_peers: dict[str, float] = {}
        self.changed_machines: dict[str, None] = {}
        self.started_tasks: dict[tuple[str, int], None] = {}

    # Queries

    def finished_job(self, job_id: str) -> FinishedJob | None:
        """Return a job's outcome, or None if it is not finished or not in memory."""
        return self.unarchived.get(job_id) or self.finished_jobs.get(job_id)

    def is_cancelled(self, job_id: str) -> bool:
        """Return whether a job is known to be cancelled, so that its tasks must be stopped."""
        if job_id in self.cancelled or job_id in self._cancelled_by_peers:
            return True
        finished = self.finished_job(job_id)
        return finished is not None and finished.state == CANCELLED

    def attempts_on(self, machine: str) -> Iterator[tuple[Job, int, Attempt]]:
        """Yield the (job, task, attempt) of each live attempt on a machine."""
        for job_id, task in self.attempts_by_machine.get(machine, ()):
            job = self.jobs[job_id]
            yield job, task, job.live[task]

    # Updates

    def add_finished_job(self, job_id: str, finished: FinishedJob) -> bool:
        """Add a finished job; the oldest is evicted from memory if there are too many.

        Returns:
            Whether a live job depends on it.
        """
        self.finished_jobs[job_id] = finished
        if len(self.finished_jobs) > FINISHED_JOBS_KEPT:
            self.finished_jobs.popitem(last=False)
        return self.dependency_index.note_finished(job_id, finished)

    def add_peer_cancellations(self, job_ids: Iterable[str], now: float) -> list[str]:
        """Add jobs that a peer has read or committed as cancelled.

        Args:
            job_ids: the cancelled jobs.
            now: the time on the steady clock, in seconds.

        Returns:
            The jobs that were not known to be cancelled.
        """
        new = [job_id for job_id in job_ids if not self.is_cancelled(job_id)]
        self._cancelled_by_peers |= dict.fromkeys(new, now)
        return new

    def expire_peer_cancellations(self, synced_until: float) -> None:
        """Remove the cancellations that peers reported before the last read of the store.

        The cache now holds their records.

        Args:
            synced_until: the cache holds all commits before this time on the steady clock.
        """
        if self._cancelled_by_peers:
            self._cancelled_by_peers = {
                job_id: at for job_id, at in self._cancelled_by_peers.items() if at >= synced_until
            }

    def set_job_record(self, job_id: str, value: Any, version: int) -> None:
        """Replace a job's record by its value at a version; None is a deleted record.

        A malformed record raises its decoding error.
        """
        # A list under a live job's key is the outcome of a job that is not archived yet.
        is_finished = isinstance(value, list)
        finished = read_finished_job(value, version, archived=False) if is_finished else None
        self._set_live(job_id, None if is_finished else value)
        replaced = self.unarchived.pop(job_id, None)
        if finished is not None:
            self.unarchived[job_id] = finished
            self.add_finished_job(job_id, finished)
        elif replaced is not None:
            self._forget_outcome(job_id, replaced)

    def _forget_outcome(self, job_id: str, replaced: FinishedJob) -> None:
        """Drop an outcome whose record was archived; the archived record replaces it when read.

        A full read does not include the archive.  A start that is bound to the version of the
        former record would conflict forever.
        """
        if self.finished_jobs.get(job_id) == replaced:
            del self.finished_jobs[job_id]
        self.dependency_index.forget_finished(job_id, replaced)

    def _set_live(self, job_id: str, value: Any) -> None:
        """Replace a live job by its new record, or remove it if the value is None."""
        old = self.jobs.get(job_id)
        if value is None:
            new = None
            self.jobs.pop(job_id, None)
        else:
            new = read_job(value, old.spec if old is not None else None)
            self.jobs[job_id] = new
            if old is not None and new.cancelled != old.cancelled:
                self.changed_machines |= {attempt.machine: None for attempt in new.live.values()}
        self.cancelled.pop(job_id, None)
        if new is not None and new.cancelled:
            self.cancelled[job_id] = None
        self._update_usage(old, new)
        self._update_dependencies(job_id, old, new)
        self._update_attempts(
            job_id, old.live if old is not None else {}, new.live if new is not None else {}
        )

    def _update_usage(self, old: Job | None, new: Job | None) -> None:
        """Adjust the usage of the job's team by the change in the number of live attempts."""
        tasks = (len(new.live) if new is not None else 0) - (
            len(old.live) if old is not None else 0
        )
        job = new or old
        if job is not None and tasks:
            usage = self.usage.get(job.spec.team, TeamUsage())
            self.usage[job.spec.team] = usage.plus(job.spec, tasks)

    def _update_dependencies(self, job_id: str, old: Job | None, new: Job | None) -> None:
        self.dependency_index.update(job_id, old, new)
        if new is None:
            return
        for name in new.dependencies:
            finished = self.finished_job(name)
            if finished is not None:
                self.dependency_index.note_finished(name, finished)

    def _update_attempts(
        self, job_id: str, before: dict[int, Attempt], after: dict[int, Attempt]
    ) -> None:
        """Add new attempts to the index, and remove those that have ended."""
        for task, attempt in before.items():
            if after.get(task) != attempt:
                self.changed_machines[attempt.machine] = None
                self._attempts.remove(job_id, task, attempt)
        for task, attempt in after.items():
            if before.get(task) != attempt:
                self.changed_machines[attempt.machine] = None
                self.started_tasks[job_id, task] = None
                self._attempts.add(job_id, task, attempt)
