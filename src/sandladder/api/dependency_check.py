"""Check of a submission's dependencies."""

from sandladder.api.answers import NeverRunnable
from sandladder.api.job_lookup import JobLookup
from sandladder.jobs import SubmittedDependencies
from sandladder.model import CANCELLED, SERVICE, Job
from sandladder.protocol.job_messages import DEPENDENCIES_FIELD


class DependencyCheck:
    """Reads the current state of the jobs that a submission depends on."""

    def __init__(self, lookup: JobLookup) -> None:
        self._lookup = lookup

    async def check(
        self, job_id: str, dependency_ids: tuple[str, ...]
    ) -> SubmittedDependencies | NeverRunnable:
        """Return the state of a new job's dependencies, or why it cannot depend on them.

        Waits for a store read that is sent after the call, and for the outcomes of direct and
        indirect dependencies that are not in memory.  Cancellation ends the wait and has no other
        effect.

        Args:
            job_id: the submitted job.
            dependency_ids: the jobs that must be done before it starts.

        Raises:
            StoreRequestError: the store cannot be read, or a record has an unknown format.
            TimeoutError: the reads timed out.
        """
        if job_id in dependency_ids:
            return _never_runnable("a job cannot wait for itself")
        live_ids: list[str] = []
        any_cancelled = False
        for dependency_id, job in (await self._lookup.find_all(dependency_ids)).items():
            if job is None:
                return _never_runnable(f"{dependency_id} was never accepted")
            if isinstance(job, Job):
                if job.spec.kind == SERVICE:
                    return _never_runnable(f"{dependency_id} is a service and never done")
                live_ids.append(dependency_id)
            any_cancelled |= self._lookup.state(job) == CANCELLED
        return SubmittedDependencies(tuple(live_ids), any_cancelled)


def _never_runnable(problem: str) -> NeverRunnable:
    return NeverRunnable(f"{DEPENDENCIES_FIELD}: {problem}")
