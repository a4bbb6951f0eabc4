"""Check of a submission's dependencies."""

import anyio

from sandladder.api.answers import NeverRunnable
from sandladder.api.job_lookup import JobLookup
from sandladder.jobs import DependencyResolver, SubmittedDependencies
from sandladder.model import CANCELLED, SERVICE, Job
from sandladder.protocol.job_messages import DEPENDENCIES_FIELD
from sandladder.state import StoreWatch


class DependencyCheck:
    """Reads the current state of the jobs that a submission depends on."""

    def __init__(
        self,
        lookup: JobLookup,
        watch: StoreWatch,
        dependency_resolver: DependencyResolver,
        timeout_s: float,
    ) -> None:
        """Create the check; `timeout_s` limits the reads of one submission, in seconds."""
        self._lookup = lookup
        self._watch = watch
        self._dependency_resolver = dependency_resolver
        self._timeout_s = timeout_s

    async def check(
        self, job_id: str, dependency_ids: tuple[str, ...]
    ) -> SubmittedDependencies | NeverRunnable:
        """Return the state of a new job's dependencies, or why it cannot depend on them.

        Waits for a store read that is sent after the call, and for the records of finished jobs
        that are not in memory.  Cancellation ends the wait and has no other effect.

        Args:
            job_id: the submitted job.
            dependency_ids: the jobs that must be done before it starts.

        Raises:
            StoreRequestError: the store cannot be read, or a record has an unknown format.
            TimeoutError: the reads timed out.
        """
        if job_id in dependency_ids:
            return _never_runnable("a job cannot wait for itself")
        live: list[Job] = []
        not_live_ids: list[str] = []
        with anyio.fail_after(self._timeout_s):
            await self._watch.barrier()
            for dependency_id in dependency_ids:
                job = self._lookup.live_job(dependency_id)
                if job is None:
                    not_live_ids.append(dependency_id)
                elif job.spec.kind == SERVICE:
                    return _never_runnable(f"{dependency_id} is a service and never done")
                else:
                    live.append(job)
            finished_jobs = await self._dependency_resolver.read_finished_jobs(not_live_ids)
        for dependency_id, finished_job in finished_jobs.items():
            if finished_job is None:
                return _never_runnable(f"{dependency_id} was never accepted")
        states = [
            finished_job.state
            for finished_job in finished_jobs.values()
            if finished_job is not None
        ]
        states += [self._lookup.state(job) for job in live]
        return SubmittedDependencies(tuple(job.id for job in live), CANCELLED in states)


def _never_runnable(problem: str) -> NeverRunnable:
    return NeverRunnable(f"{DEPENDENCIES_FIELD}: {problem}")
