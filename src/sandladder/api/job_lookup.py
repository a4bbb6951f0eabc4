"""What is known of a job as of now, and what may be answered about it."""

import anyio

from sandladder.api.answers import KnownJob, UnknownJob
from sandladder.jobs import DependencyResolver
from sandladder.model import CANCELLED, DependencyOutcome, FinishedJob, Job
from sandladder.protocol.job_messages import is_job_id
from sandladder.state import JOB_PREFIX, StateCache, StoreRequestError, StoreWatch


class JobLookup:
    """Finds jobs in the records.

    Every result rests on a read of the key-value store that was sent after the request came, so no
    controller gives an older answer than another gave before (see docs/safety.md).
    """

    def __init__(
        self,
        cache: StateCache,
        watch: StoreWatch,
        dependency_resolver: DependencyResolver,
        timeout_s: float,
    ) -> None:
        """`timeout_s`: for how long the reads of one request may take, in seconds."""
        self._cache = cache
        self._watch = watch
        self._dependency_resolver = dependency_resolver
        self._timeout_s = timeout_s

    async def status(self, job_id: str) -> KnownJob | UnknownJob:
        """Answer the question about one job.

        Raises and is cancelled as `find`.
        """
        if not is_job_id(job_id):
            return UnknownJob()
        return self.answer(job_id, await self.find(job_id))

    async def find(self, job_id: str) -> Job | FinishedJob | None:
        """A job as of now; None if it was never accepted.

        Waits until the cache holds what was committed before the call, unless the job is known to
        be over, which never changes.  Cancellation ends the wait and leaves nothing behind.

        Raises:
            StoreRequestError: the store cannot be read, or the job's record is of unknown shape.
            TimeoutError: it took too long.
        """
        final = self._cache.finished_job(job_id)
        if final is not None:
            return final
        with anyio.fail_after(self._timeout_s):
            await self._watch.barrier()
            job = self.live_job(job_id)
            if job is None:
                return (await self._dependency_resolver.read_finished_jobs([job_id]))[job_id]
            # A job that one of these cancels may have been called cancelled by a controller that
            # knew of it: no later answer may be older.
            unresolved = self._cache.dependency_index.unresolved_dependencies(job)
            if unresolved:
                await self._dependency_resolver.resolve(unresolved)
            return job

    def live_job(self, job_id: str) -> Job | None:
        """A job that is not over, as of the last read; None if there is none.

        Raises:
            StoreRequestError: its record is of unknown shape, so nothing can be said of it.
        """
        if JOB_PREFIX + job_id in self._cache.unreadable:
            raise StoreRequestError(f"the record of {job_id} cannot be read")
        return self._cache.jobs.get(job_id)

    def state(self, job: Job) -> str:
        """A live job's state; one that can never start is cancelled, as the records imply."""
        outcome = self._cache.dependency_index.outcome(job)
        return CANCELLED if outcome is DependencyOutcome.CANCELLED else job.state

    def answer(self, job_id: str, found: Job | FinishedJob | None) -> KnownJob | UnknownJob:
        """What to answer about a job that was looked up."""
        if found is None:
            return UnknownJob()
        if isinstance(found, FinishedJob):
            return KnownJob(job_id, found.state, found.done)
        return KnownJob(job_id, self.state(found), found.done.count, len(found.live))
