"""Checks the jobs that a submission names as its dependencies."""

import anyio

from sandladder.api.answers import NeverRunnable
from sandladder.api.job_lookup import JobLookup
from sandladder.jobs import DependencyResolver, SubmittedDependencies
from sandladder.model import CANCELLED, SERVICE, Job
from sandladder.protocol.job_messages import DEPENDENCIES_FIELD
from sandladder.state import StoreWatch


class DependencyCheck:
    """Reads, as of now, what became of the jobs that a submission names."""

    def __init__(
        self,
        lookup: JobLookup,
        watch: StoreWatch,
        dependency_resolver: DependencyResolver,
        timeout_s: float,
    ) -> None:
        """`timeout_s`: for how long the reads of one submission may take, in seconds."""
        self._lookup = lookup
        self._watch = watch
        self._dependency_resolver = dependency_resolver
        self._timeout_s = timeout_s

    async def check(
        self, job_id: str, names: tuple[str, ...]
    ) -> SubmittedDependencies | NeverRunnable:
        """What the named jobs mean for a new job, or why it cannot depend on them.

        Waits for a read of the store that is sent after the call, and for the records of finished
        jobs that are not in memory.  Cancellation ends the wait and leaves nothing behind.

        Args:
            job_id: the job that is submitted.
            names: the jobs that must be done before it starts.

        Raises:
            StoreRequestError: the store cannot be read, or a record is of unknown shape.
            TimeoutError: it took too long.
        """
        if job_id in names:
            return _impossible("a job cannot wait for itself")
        live: list[Job] = []
        not_live: list[str] = []
        with anyio.fail_after(self._timeout_s):
            await self._watch.barrier()
            for name in names:
                job = self._lookup.live_job(name)
                if job is None:
                    not_live.append(name)
                elif job.spec.kind == SERVICE:
                    return _impossible(f"{name} is a service and never done")
                else:
                    live.append(job)
            finished_jobs = await self._dependency_resolver.read_finished_jobs(not_live)
        for name, final in finished_jobs.items():
            if final is None:
                return _impossible(f"{name} was never accepted")
        states = [final.state for final in finished_jobs.values() if final is not None]
        states += [self._lookup.state(job) for job in live]
        return SubmittedDependencies(tuple(job.id for job in live), CANCELLED in states)


def _impossible(problem: str) -> NeverRunnable:
    return NeverRunnable(f"{DEPENDENCIES_FIELD}: {problem}")
