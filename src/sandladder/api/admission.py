"""Admission of submitted jobs."""

from collections.abc import Callable

import msgspec

from sandladder.api.answers import NeverRunnable, RetryLater
from sandladder.api.dependency_check import DependencyCheck
from sandladder.api.job_lookup import JobLookup
from sandladder.config import TeamLimits
from sandladder.jobs import SubmittedDependencies, rejection_reason
from sandladder.model import GANG, SCHEMA_V1, Job, JobSpec
from sandladder.protocol.job_messages import Submission
from sandladder.state import StateCache, StoreLimits, job_value, split_value


class AdmissionCheck:
    """Checks that a job can ever run and that its record fits the key-value store."""

    def __init__(
        self,
        lookup: JobLookup,
        dependency_check: DependencyCheck,
        cache: StateCache,
        store_limits: StoreLimits,
        team_limits: dict[str, TeamLimits],
        wall_clock: Callable[[], float],
    ) -> None:
        """Create the check.

        Args:
            team_limits: the limits of each team, by team name.
            wall_clock: returns the time of day, in seconds.
        """
        self._lookup = lookup
        self._dependency_check = dependency_check
        self._cache = cache
        self._store_limits = store_limits
        self._team_limits = team_limits
        self._wall_clock = wall_clock

    async def check(
        self, submission: Submission
    ) -> SubmittedDependencies | NeverRunnable | RetryLater:
        """Return the state of a submission's dependencies, or why it is not accepted.

        Exceptions and cancellation are those of `DependencyCheck.check`.
        """
        if not self._cache.machine_types:
            return RetryLater("the machine types are not known yet")
        spec, dependency_ids = submission
        reason = rejection_reason(spec, self._cache.machine_types, self._team_limits)
        if reason is not None:
            return NeverRunnable(reason)
        dependencies = SubmittedDependencies()
        if dependency_ids:
            if self._cache.schema_version == SCHEMA_V1 and await self._lookup.find(spec.id) is None:
                # A controller of the previous version would start the job at once.
                return RetryLater("not all controllers know of jobs that wait for others yet")
            checked = await self._dependency_check.check(spec.id, dependency_ids)
            if isinstance(checked, NeverRunnable):
                return checked
            dependencies = checked
        reason = self._size_problem(spec, dependencies)
        return dependencies if reason is None else NeverRunnable(reason)

    def _size_problem(self, spec: JobSpec, dependencies: SubmittedDependencies) -> str | None:
        """Return why the job's record does not fit the store, or None if it does."""
        record = job_value(Job(spec, self._wall_clock(), dependencies.live))
        if self._cache.schema_version == SCHEMA_V1:
            size = len(msgspec.json.encode(record))
        else:
            parts = split_value(record, self._store_limits.value_bytes)
            size = sum(len(msgspec.json.encode(part)) for part in parts)
            if spec.kind == GANG and spec.tasks > self._store_limits.max_live_tasks(size):
                return "so many tasks at a time are more than can be kept"
        if size > self._store_limits.max_spec_bytes():
            return "its description is too large to be kept"
        return None
