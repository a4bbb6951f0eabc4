"""Resolution of job dependencies: reads their outcomes and triggers what depends on them."""

import logging

import anyio

from sandladder import clock
from sandladder.concurrency import Signal
from sandladder.config import AgentSettings
from sandladder.jobs.dependent_canceller import DependentCanceller
from sandladder.membership import ControllerLease
from sandladder.model import FinishedJob
from sandladder.state import (
    FINISHED_JOB_PREFIX,
    StateCache,
    StoreClient,
    StoreRequestError,
    StoreWatch,
    read_finished_job,
)

log = logging.getLogger(__name__)

_MAX_CONCURRENT_READS = 8  # of records of finished jobs


class DependencyResolver:
    """Reads the outcomes of dependencies and cancels the dependents of cancelled jobs.

    All state is derived from the records, so any live controller can continue after a crash.
    """

    def __init__(
        self,
        workers: AgentSettings,
        store: StoreClient,
        cache: StateCache,
        watch: StoreWatch,
        controller_lease: ControllerLease,
        canceller: DependentCanceller,
        plan_due: Signal,
    ) -> None:
        """Create the resolver; `plan_due` is set when a finished dependency is found."""
        self._lease_s = workers.lease_s
        self._interval_s = workers.report_s / 4
        self._store = store
        self._cache = cache
        self._watch = watch
        self._controller_lease = controller_lease
        self._canceller = canceller
        self._plan_due = plan_due
        self.due = Signal()  # set by the caller when the records have changed
        # By ID of a dependency without a record, the time of the next read, on the steady clock.
        self._missing_retry_at: dict[str, float] = {}

    async def run(self) -> None:
        """Resolve unresolved dependencies until cancelled."""
        while True:
            await self.due.wait(self._interval_s)
            if not self._watch.loaded:
                continue
            try:
                await self._resolve_all()
            except StoreRequestError as error:
                log.debug("cannot read the outcomes of dependencies: %s", error)
                await anyio.sleep(self._interval_s)
            if self._controller_lease.alive():
                self._canceller.cancel_dependents()

    async def _resolve_all(self) -> None:
        """Read the outcomes of the dependencies of live jobs that are unknown.

        Raises:
            StoreRequestError: a record could not be read; the records read before it are cached.
        """
        now = clock.now()
        unresolved = self._cache.dependency_index.unresolved()
        due = [job_id for job_id in unresolved if self._missing_retry_at.get(job_id, now) <= now]
        for job_id, finished_job in (await self.read_finished_jobs(due)).items():
            if finished_job is not None:
                self._missing_retry_at.pop(job_id, None)
            elif job_id not in self._cache.jobs:
                # Only accepted jobs are dependencies, so its record is lost and its dependents
                # cannot start.
                if job_id not in self._missing_retry_at:
                    log.error("no record of job %s; its dependents cannot start", job_id)
                self._missing_retry_at[job_id] = clock.now() + self._lease_s

    async def read_finished_jobs(self, job_ids: list[str]) -> dict[str, FinishedJob | None]:
        """Return the records of finished jobs, read from the store where they are not cached.

        A job without a record of a finished job maps to None.  Records that were read before a
        cancellation stay in the cache, and planning is triggered if live jobs depend on them.

        Raises:
            StoreRequestError: a record could not be read.
        """
        finished_jobs: dict[str, FinishedJob | None] = {
            job_id: self._cache.finished_job(job_id) for job_id in job_ids
        }
        unread = [job_id for job_id, finished_job in finished_jobs.items() if finished_job is None]
        # Collected instead of raised, as the task group would wrap them in an exception group.
        failures: list[StoreRequestError] = []

        async def read_next() -> None:
            while unread and not failures:
                job_id = unread.pop()
                try:
                    stored = await self._store.get(FINISHED_JOB_PREFIX + job_id)
                except StoreRequestError as error:
                    failures.append(error)
                    return
                if stored is not None:
                    finished_job = finished_jobs[job_id] = read_finished_job(*stored)
                    if self._cache.add_finished_job(job_id, finished_job):
                        self._plan_due.set()

        async with anyio.create_task_group() as tasks:
            for _ in range(min(_MAX_CONCURRENT_READS, len(unread))):
                tasks.start_soon(read_next)
        if failures:
            raise failures[0]
        return finished_jobs
