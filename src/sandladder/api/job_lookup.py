"""Lookup of jobs and of their current state."""

from collections.abc import Iterable

import anyio

from sandladder.api.answers import KnownJob, UnknownJob
from sandladder.jobs import DependencyResolver
from sandladder.model import CANCELLED, DependencyOutcome, FinishedJob, Job
from sandladder.protocol.job_messages import is_job_id
from sandladder.state import JOB_PREFIX, StateCache, StoreRequestError, StoreWatch

# The record of an accepted job, and the records of several jobs by ID; None if never accepted.
JobRecord = Job | FinishedJob
JobRecords = dict[str, JobRecord | None]


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

    async def find(self, job_id: str) -> JobRecord | None:
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
        return (await self.find_all([job_id]))[job_id]

    async def find_all(self, job_ids: Iterable[str]) -> JobRecords:
        """Return the current records of jobs, all as of one moment.

        Waits until the cache holds everything committed before the call.  Exceptions and
        cancellation are those of `find`.
        """
        with anyio.fail_after(self._timeout_s):
            await self._watch.barrier()
            return await self._read_current(list(job_ids))

    async def find_committed(self, job_id: str) -> JobRecord | None:
        """Return the current record of a job that this controller has just committed.

        The cache holds the commit, so no newer read of the log is needed.  Exceptions and
        cancellation are those of `find`.
        """
        with anyio.fail_after(self._timeout_s):
            return (await self._read_current([job_id]))[job_id]

    async def _read_current(self, job_ids: list[str]) -> JobRecords:
        """Return the records in the cache after the outcomes that their states need are read.

        During each read any record may change, end or be archived, so everything is looked up again
        afterwards: the records returned and the outcomes known are of the same moment.  Each
        outcome is read at most once, and a job never gains dependencies, so this ends however often
        records change.
        """
        outcomes: dict[str, FinishedJob | None] = {}
        while True:
            records = {
                job_id: self._cache.finished_job(job_id) or self.live_job(job_id)
                for job_id in job_ids
            }
            unread = [name for name in self._unknown_outcomes(records) if name not in outcomes]
            if not unread:
                return {job_id: job or outcomes.get(job_id) for job_id, job in records.items()}
            outcomes |= await self._dependency_resolver.read_finished_jobs(unread)

    def _unknown_outcomes(self, records: JobRecords) -> list[str]:
        """Return the jobs whose outcomes decide the states of jobs and are not in memory.

        Another controller may have read them and already answered that a job is cancelled because
        of them; an answer here must not be older.
        """
        not_live = [job_id for job_id, job in records.items() if job is None]
        undecided = [
            job for job in records.values() if isinstance(job, Job) and self.state(job) != CANCELLED
        ]
        unresolved = self._cache.dependency_index.unresolved_dependencies(*undecided)
        return list(dict.fromkeys(not_live + unresolved))

    def live_job(self, job_id: str) -> Job | None:
        """Return a live job as of the last read, or None if there is none.

        Raises:
            StoreRequestError: the record has an unknown format, so the state is unknown.
        """
        if JOB_PREFIX + job_id in self._cache.unreadable:
            raise StoreRequestError(f"the record of {job_id} cannot be read")
        return self._cache.jobs.get(job_id)

    def state(self, job: JobRecord) -> str:
        """Return a job's state; a live job is cancelled if a dependency can never be done.

        The record must be that of the cache, with no wait since it was looked up.
        """
        if isinstance(job, FinishedJob):
            return job.state
        outcome = self._cache.dependency_index.outcome(job)
        return CANCELLED if outcome is DependencyOutcome.CANCELLED else job.state

    def answer(self, job_id: str, job_record: JobRecord | None) -> KnownJob | UnknownJob:
        """Return the answer for the result of a lookup."""
        if job_record is None:
            return UnknownJob()
        state = self.state(job_record)
        if isinstance(job_record, FinishedJob):
            return KnownJob(job_id, state, job_record.done)
        return KnownJob(job_id, state, job_record.done.count, len(job_record.live))
