"""The records of jobs, and what is derived from all of them together."""

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

FINISHED_JOBS_KEPT = 4096


class JobTables:
    """Live and finished jobs, with indexes by machine, team and dependency.

    Whoever handles changes takes over `changed_machines` and `started_tasks` and replaces them by
    empty ones; nothing else here is changed from outside.
    """

    def __init__(self) -> None:
        self.jobs: dict[str, Job] = {}
        self.dependency_index = DependencyIndex(self.jobs)
        self.usage: dict[str, TeamUsage] = {}  # by team, of its live attempts
        self._attempts = AttemptIndex()
        # Its dictionaries are shared, so that reading them costs no call.
        self.attempts_by_machine = self._attempts.by_machine
        self.agent_epochs = self._attempts.epochs
        # The outcomes of the latest finished jobs; and of all whose record stands in the live
        # job's place still.
        self.finished_jobs: OrderedDict[str, FinishedJob] = OrderedDict()
        self.unarchived: dict[str, FinishedJob] = {}
        # Live jobs that are cancelled; and those that a peer has named as cancelled since the last
        # read of the store, with the time: good enough for stopping, and for nothing else.
        self.cancelled: dict[str, None] = {}
        self._cancelled_by_peers: dict[str, float] = {}
        # Machines whose committed starts changed, and tasks that were started or done, since they
        # were last taken over.
        self.changed_machines: dict[str, None] = {}
        self.started_tasks: dict[tuple[str, int], None] = {}

    # Questions

    def finished_job(self, job_id: str) -> FinishedJob | None:
        """The outcome of a job, or None if it is not finished or no longer in memory."""
        return self.unarchived.get(job_id) or self.finished_jobs.get(job_id)

    def is_cancelled(self, job_id: str) -> bool:
        """Whether a job is certainly cancelled, so that its running tasks are to be stopped."""
        if job_id in self.cancelled or job_id in self._cancelled_by_peers:
            return True
        finished = self.finished_job(job_id)
        return finished is not None and finished.state == CANCELLED

    def attempts_on(self, machine: str) -> Iterator[tuple[Job, int, Attempt]]:
        """The committed starts on a machine whose end is not proved."""
        for job_id, task in self.attempts_by_machine.get(machine, ()):
            job = self.jobs[job_id]
            yield job, task, job.live[task]

    # Changes

    def add_finished_job(self, job_id: str, final: FinishedJob) -> None:
        """Keep the outcome of a finished job, among the latest such."""
        self.dependency_index.note_finished(job_id, final)
        self.finished_jobs[job_id] = final
        if len(self.finished_jobs) > FINISHED_JOBS_KEPT:
            self.finished_jobs.popitem(last=False)

    def add_peer_cancellations(self, job_ids: Iterable[str], now: float) -> list[str]:
        """A peer has read or committed that these jobs are cancelled.

        Args:
            job_ids: the jobs that it names.
            now: the time on the steady clock, in seconds.

        Returns:
            Those of which this was not known.
        """
        new = [job_id for job_id in job_ids if not self.is_cancelled(job_id)]
        self._cancelled_by_peers |= dict.fromkeys(new, now)
        return new

    def expire_peer_cancellations(self, sent: float) -> None:
        """The cache holds everything committed before `sent`, on the steady clock.

        What peers said before then is among it, or was not so.
        """
        if self._cancelled_by_peers:
            self._cancelled_by_peers = {
                job_id: at for job_id, at in self._cancelled_by_peers.items() if at >= sent
            }

    def set_job_record(self, job_id: str, value: Any, version: int) -> None:
        """A job's record was written at a version of the store; None: deleted.

        A malformed record raises whatever its decoding raises.
        """
        # A list in a job's place is its outcome, until there is time to archive it.
        is_finished = isinstance(value, list)
        finished = read_finished_job(value, version, filed=False) if is_finished else None
        self._set_live(job_id, None if is_finished else value)
        self.unarchived.pop(job_id, None)
        if finished is not None:
            self.unarchived[job_id] = finished
            self.add_finished_job(job_id, finished)

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
        """Adjust what the job's team uses by the change in the number of live attempts."""
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
        """Index the attempts that are new, and drop those that are not live any more."""
        for task, attempt in before.items():
            if after.get(task) != attempt:
                self.changed_machines[attempt.machine] = None
                self._attempts.remove(job_id, task, attempt)
        for task, attempt in after.items():
            if before.get(task) != attempt:
                self.changed_machines[attempt.machine] = None
                self.started_tasks[job_id, task] = None
                self._attempts.add(job_id, task, attempt)
