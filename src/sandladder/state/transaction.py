"""A transaction being built: the records as it would leave them, and the versions it expects.

Pure: no I/O, no clock.
"""

import math
from collections.abc import Mapping
from typing import Any

from sandladder.model import SCHEMA_V1, FinishedJob, Job, Machine, TeamUsage
from sandladder.state.cache import StateCache
from sandladder.state.codecs.jobs import finished_job_value, job_value
from sandladder.state.codecs.split_values import split_value
from sandladder.state.codecs.teams import assignment_value, usage_value
from sandladder.state.entries import KeyChange, LeasedValue
from sandladder.state.keys import FINISHED_JOB_PREFIX, JOB_PREFIX, TEAM_PREFIX, continuation_key


class Transaction:
    """The records as one transaction would leave them, and the versions that it relies on.

    Attributes:
        cache: the records as they are.
        value_bytes: how long a value may be, in bytes; longer records are split.
        in_doubt: keys that a transaction without an answer relied on, at the version that it relied
            on: nothing relies on them again before they have moved past it.
        expected_versions: by key, the version at which it must be for the transaction to apply.
        jobs: by id, the jobs that it changes; None for those that it ends.
        finished_jobs: by id, the outcomes of these.
        teams: by name, the team records that it changes, in schema version 1.
        usage: by team, what the live attempts use, in version 2, where it differs from the cache.
        instances: all instances, if it changes any.
        other_records: by key, all other records.
    """

    def __init__(
        self,
        cache: StateCache,
        value_bytes: float = math.inf,
        in_doubt: Mapping[str, int] | None = None,
    ) -> None:
        self.cache = cache
        self.value_bytes = value_bytes
        self.in_doubt = in_doubt or {}
        self.jobs: dict[str, Job | None] = {}
        self.teams: dict[str, TeamUsage] = {}
        self.usage: dict[str, TeamUsage] = {}
        self.finished_jobs: dict[str, FinishedJob] = {}
        self.other_records: dict[str, LeasedValue] = {}
        self.instances: dict[str, Machine] | None = None
        self.expected_versions: dict[str, int] = {}
        # By the record's key, how it is written; records that changed since are not among these.
        self._encoded: dict[str, list[KeyChange]] = {}

    def copy(self) -> "Transaction":
        """A copy to try one more change on; the original stays as it is."""
        twin = Transaction(self.cache, self.value_bytes, self.in_doubt)
        twin.jobs = {job_id: job.copy() if job else None for job_id, job in self.jobs.items()}
        twin.teams, twin.usage = dict(self.teams), dict(self.usage)
        twin.finished_jobs, twin.other_records = dict(self.finished_jobs), dict(self.other_records)
        twin.instances, twin.expected_versions = self.instances, dict(self.expected_versions)
        twin._encoded = dict(self._encoded)
        return twin

    @property
    def is_schema_v1(self) -> bool:
        """Whether controllers of the version before may read what is written."""
        return self.cache.schema_version == SCHEMA_V1

    # Jobs and teams

    def job(self, job_id: str) -> Job | None:
        """A job for changing, or None if it is not live or cannot be read."""
        self._encoded.pop(JOB_PREFIX + job_id, None)
        if job_id not in self.jobs:
            found = self.cache.jobs.get(job_id)
            if found is None or JOB_PREFIX + job_id in self.cache.unreadable:
                return None
            self.jobs[job_id] = found.copy()
            self.expected_versions[JOB_PREFIX + job_id] = self.cache.version(JOB_PREFIX + job_id)
        return self.jobs[job_id]

    def create(self, job: Job) -> None:
        """Add a job that must exist neither live nor finished."""
        self._encoded.pop(JOB_PREFIX + job.id, None)
        self.jobs[job.id] = job
        self.expected_versions[JOB_PREFIX + job.id] = 0
        self.expected_versions[FINISHED_JOB_PREFIX + job.id] = 0

    def finish(self, job: Job, state: str, now: float) -> None:
        """End a job without live attempts.

        Where no older version reads it, the outcome takes the live job's place: one change instead
        of two, and it is archived when there is time.

        Args:
            job: the job, as this transaction leaves it.
            state: its outcome.
            now: the time of day.
        """
        self._encoded.pop(JOB_PREFIX + job.id, None)
        self.jobs[job.id] = None
        self.finished_jobs[job.id] = FinishedJob(state, job.done.count, now)
        self.expected_versions[FINISHED_JOB_PREFIX + job.id] = 0

    def team(self, name: str) -> TeamUsage:
        """A team's record in schema version 1, for changing."""
        if name not in self.teams:
            self.teams[name] = self.cache.teams.get(name, TeamUsage())
            self.expected_versions[TEAM_PREFIX + name] = self.cache.version(TEAM_PREFIX + name)
        return self.teams[name]

    def usage_of(self, name: str) -> TeamUsage:
        """What the live attempts of a team use, with the changes made here."""
        if self.is_schema_v1:
            return self.team(name)
        return self.usage.get(name, self.cache.usage.get(name, TeamUsage()))

    def change_usage(self, job: Job, tasks: int) -> None:
        """Change what the job's team uses by so many tasks of the job; fewer if negative."""
        name = job.spec.team
        if self.is_schema_v1:
            self.teams[name] = self.team(name).plus(job.spec, tasks)
        else:
            # It follows from the records of the team's jobs; nothing is written of it.
            self.usage[name] = self.usage_of(name).plus(job.spec, tasks)

    # Other records

    def put(self, key: str, value: Any, version: int, lease: int | None = None) -> None:
        """Write a record, split if it is long; None: delete it.

        Args:
            key: the record's key.
            value: the record.
            version: at which it must be; 0: it must not exist.
            lease: the lease that it is attached to.
        """
        self._encoded.pop(key, None)
        self.other_records[key] = LeasedValue(value, lease)
        self.expected_versions[key] = version

    def put_unsplit(self, key: str, value: Any, lease: int | None = None) -> None:
        """Write one key as it stands in the cache, without splitting the value."""
        self.other_records[key] = LeasedValue(value, lease)
        self.expected_versions[key] = self.cache.version(key)
        self._encoded[key] = [KeyChange(key, value, lease)]

    # What it comes to

    @property
    def size(self) -> int:
        """How many puts and deletes this is."""
        return len(self.changes())

    def changes(self) -> list[KeyChange]:
        """The puts and deletes of everything changed."""
        found: list[KeyChange] = []
        for job_id in self.jobs:
            found += self._job_changes(job_id)
        found += [
            KeyChange(TEAM_PREFIX + name, usage_value(team)) for name, team in self.teams.items()
        ]
        if self.is_schema_v1:
            found += [
                KeyChange(
                    FINISHED_JOB_PREFIX + job_id,
                    finished_job_value(finished, self.cache.schema_version),
                )
                for job_id, finished in self.finished_jobs.items()
            ]
        for key, (value, lease) in self.other_records.items():
            found += self._record_changes(key, value, lease)
        return found

    def _job_changes(self, job_id: str) -> list[KeyChange]:
        key = JOB_PREFIX + job_id
        encoded = self._encoded.get(key)
        if encoded is not None:
            return encoded
        job = self.jobs[job_id]
        value: Any = job_value(job) if job else None
        if job is None and not self.is_schema_v1:
            value = finished_job_value(self.finished_jobs[job_id], self.cache.schema_version)
        return self._record_changes(key, value)

    def _record_changes(self, key: str, value: Any, lease: int | None = None) -> list[KeyChange]:
        """How a record is written: as it is, or split over several keys."""
        if key not in self._encoded:
            may_split = not self.is_schema_v1 and value is not None
            values = split_value(value, self.value_bytes) if may_split else [value]
            self._encoded[key] = part_changes(self.cache, key, values, lease)
        return self._encoded[key]


def part_changes(
    cache: StateCache, key: str, values: list[Any], lease: int | None = None
) -> list[KeyChange]:
    """The puts of a record's values, and the deletion of parts that it no longer has."""
    keys = [key, *(continuation_key(key, index) for index in range(1, len(values)))]
    puts = [
        KeyChange(name, value, lease if value is not None else None)
        for name, value in zip(keys, values, strict=True)
    ]
    return puts + [
        KeyChange(name, None) for name in cache.continuation_keys(key) if name not in keys
    ]


def fence_assignment(transaction: Transaction, key: str) -> bool:
    """Write a team's assignment as it is, so that a start bound to its version cannot arrive.

    False if nothing is in doubt about it any more.
    """
    version = transaction.cache.version(key)
    assignment = transaction.cache.assignments.get(key[len(TEAM_PREFIX) :])
    if transaction.in_doubt.get(key) != version or assignment is None:
        return False
    transaction.put(key, assignment_value(assignment), version)
    return True
