"""Lookup of jobs and of their current state."""

import anyio

from sandladder.api.answers import KnownJob, UnknownJob
from sandladder.jobs import DependencyResolver
from sandladder.model import CANCELLED, DependencyOutcome, FinishedJob, Job
from sandladder.protocol.job_messages import is_job_id
from sandladder.state import JOB_PREFIX, StateCache, StoreRequestError, StoreWatch


class JobLookup:
    """Finds jobs in the records.

    Every result is based on a read of the key-value store sent after the request arrived, so no
    controller returns an older state than another one returned before (see docs/safety.md).
    """

    def __init__(
        self,
        cache: StateCache,
        watch: StoreWatch,
        dependency_resolver: DependencyResolver,
        timeout_s: float,
    ) -> None:
        """Create the lookup; `timeout_s` limits the reads of one request, in seconds."""
        self._cache = cache
        self._watch = watch
        self._dependency_resolver = dependency_resolver
        self._timeout_s = timeout_s

    async def status(self, job_id: str) -> KnownJob | UnknownJob:
        """Answer a status query for one job.

        Exceptions and cancellation are those of `find`.
        """
        if not is_job_id(job_id):
            return UnknownJob()
        return self.answer(job_id, await self.find(job_id))

    async def find(self, job_id: str) -> Job | FinishedJob | None:
        """Return the current record of a job, or None if it was never accepted.

        Waits until the cache holds everything committed before the call, unless the job is known to
        be finished, which is final.  Cancellation ends the wait and has no other effect.

        Raises:
            StoreRequestError: the store cannot be read, or the job's record has an unknown format.
            TimeoutError: the reads timed out.
        """
        finished_job = self._cache.finished_job(job_id)
        if finished_job is not None:
            return finished_job
        with anyio.fail_after(self._timeout_s):
            await self._watch.barrier()
            job = self.live_job(job_id)
            if job is None:
                return (await self._dependency_resolver.read_finished_jobs([job_id]))[job_id]
            # Another controller may have read these dependencies and already answered that the
            # job is cancelled because of them; the answer here must not be older.
            unresolved = self._cache.dependency_index.unresolved_dependencies(job)
            if unresolved:
                await self._dependency_resolver.resolve(unresolved)
            return job

    def live_job(self, job_id: str) -> Job | None:
        """Return a live job as of the last read, or None if there is none.

        Raises:
            StoreRequestError: the record has an unknown format, so the state is unknown.
        """
        if JOB_PREFIX + job_id in self._cache.unreadable:
            raise StoreRequestError(f"the record of {job_id} cannot be read")
        return self._cache.jobs.get(job_id)

    def state(self, job: Job) -> str:
        """Return a live job's state; it is cancelled if a dependency can never be done."""
        outcome = self._cache.dependency_index.outcome(job)
        return CANCELLED if outcome is DependencyOutcome.CANCELLED else job.state

    def answer(self, job_id: str, job_record: Job | FinishedJob | None) -> KnownJob | UnknownJob:
        """Return the answer for the result of a lookup."""
        if job_record is None:
            return UnknownJob()
        if isinstance(job_record, FinishedJob):
            return KnownJob(job_id, job_record.state, job_record.done)
        return KnownJob(job_id, self.state(job_record), job_record.done.count, len(job_record.live))
