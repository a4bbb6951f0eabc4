"""A compare-and-swap transaction under construction: new records and expected versions.

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
    """The records that one transaction writes, and the versions that it expects.

    Attributes:
        cache: the current records.
        value_bytes: the maximum length of a value, in bytes; longer records are split.
        in_doubt: by key, the version that a transaction of unknown outcome expected; no other
            transaction may expect the same version.
        expected_versions: by key, the version required for the transaction to be applied.
        jobs: by id, the jobs that it changes; None for those that it ends.
        finished_jobs: by id, the outcomes of the jobs that it ends.
        teams: by name, the team records that it changes, in schema version 1.
        usage: by team, the usage of live attempts where it differs from the cache, in version 2.
        instances: all instances, or None if it changes none.
        other_records: by key, the records of all other kinds.
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
        # Encoded changes by record key; removed when the record changes again.
        self._encoded: dict[str, list[KeyChange]] = {}

    def copy(self) -> "Transaction":
        """Return an independent copy on which another change can be evaluated."""
        copy = Transaction(self.cache, self.value_bytes, self.in_doubt)
        copy.jobs = {job_id: job.copy() if job else None for job_id, job in self.jobs.items()}
        copy.teams, copy.usage = dict(self.teams), dict(self.usage)
        copy.finished_jobs, copy.other_records = dict(self.finished_jobs), dict(self.other_records)
        copy.instances, copy.expected_versions = self.instances, dict(self.expected_versions)
        copy._encoded = dict(self._encoded)
        return copy

    @property
    def is_schema_v1(self) -> bool:
        """Whether the records must stay readable for controllers of the previous version."""
        return self.cache.schema_version == SCHEMA_V1

    # Jobs and teams

    def job(self, job_id: str) -> Job | None:
        """Return a job to be changed, or None if it is not live or its record is unreadable."""
        self._encoded.pop(JOB_PREFIX + job_id, None)
        if job_id not in self.jobs:
            cached_job = self.cache.jobs.get(job_id)
            if cached_job is None or JOB_PREFIX + job_id in self.cache.unreadable:
                return None
            self.jobs[job_id] = cached_job.copy()
            self.expected_versions[JOB_PREFIX + job_id] = self.cache.version(JOB_PREFIX + job_id)
        return self.jobs[job_id]

    def create(self, job: Job) -> None:
        """Add a new job; neither a live nor a finished job may have its id."""
        self._encoded.pop(JOB_PREFIX + job.id, None)
        self.jobs[job.id] = job
        self.expected_versions[JOB_PREFIX + job.id] = 0
        self.expected_versions[FINISHED_JOB_PREFIX + job.id] = 0

    def finish(self, job: Job, state: str, now: float) -> None:
        """End a job without live attempts.

        In schema version 2 the outcome replaces the live job's record, which takes one write
        instead of two; the archiver moves it later.

        Args:
            job: the job with the changes of this transaction.
            state: the outcome.
            now: the wall-clock time, in seconds.
        """
        self._encoded.pop(JOB_PREFIX + job.id, None)
        self.jobs[job.id] = None
        self.finished_jobs[job.id] = FinishedJob(state, job.done.count, now)
        self.expected_versions[FINISHED_JOB_PREFIX + job.id] = 0

    def team(self, name: str) -> TeamUsage:
        """Return a team's record in schema version 1, to be changed."""
        if name not in self.teams:
            self.teams[name] = self.cache.teams.get(name, TeamUsage())
            self.expected_versions[TEAM_PREFIX + name] = self.cache.version(TEAM_PREFIX + name)
        return self.teams[name]

    def usage_of(self, name: str) -> TeamUsage:
        """Return the usage of a team's live attempts, including this transaction's changes."""
        if self.is_schema_v1:
            return self.team(name)
        return self.usage.get(name, self.cache.usage.get(name, TeamUsage()))

    def change_usage(self, job: Job, tasks: int) -> None:
        """Add a number of the job's tasks to its team's usage; a negative number removes tasks."""
        name = job.spec.team
        if self.is_schema_v1:
            self.teams[name] = self.team(name).plus(job.spec, tasks)
        else:
            # Usage is derived from the records of the team's jobs and is not written.
            self.usage[name] = self.usage_of(name).plus(job.spec, tasks)

    # Other records

    def put(self, key: str, value: Any, version: int, lease: int | None = None) -> None:
        """Write a record, split if it is too long, or delete it.

        Args:
            key: the record's key.
            value: the record; None deletes it.
            version: the expected version; 0 if the key must not exist.
            lease: the lease to which the key is attached, if any.
        """
        self._encoded.pop(key, None)
        self.other_records[key] = LeasedValue(value, lease)
        self.expected_versions[key] = version

    def put_unsplit(self, key: str, value: Any, lease: int | None = None) -> None:
        """Write one key at the version in the cache, without splitting the value."""
        self.other_records[key] = LeasedValue(value, lease)
        self.expected_versions[key] = self.cache.version(key)
        self._encoded[key] = [KeyChange(key, value, lease)]

    # Encoding

    @property
    def size(self) -> int:
        """The number of puts and deletes."""
        return len(self.changes())

    def changes(self) -> list[KeyChange]:
        """Return the puts and deletes of all changed records."""
        changes: list[KeyChange] = []
        for job_id in self.jobs:
            changes += self._job_changes(job_id)
        changes += [
            KeyChange(TEAM_PREFIX + name, usage_value(team)) for name, team in self.teams.items()
        ]
        if self.is_schema_v1:
            changes += [
                KeyChange(
                    FINISHED_JOB_PREFIX + job_id,
                    finished_job_value(finished, self.cache.schema_version),
                )
                for job_id, finished in self.finished_jobs.items()
            ]
        for key, (value, lease) in self.other_records.items():
            changes += self._record_changes(key, value, lease)
        return changes

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
        """Return the changes that write a record, split over several keys if it is too long."""
        if key not in self._encoded:
            may_split = not self.is_schema_v1 and value is not None
            values = split_value(value, self.value_bytes) if may_split else [value]
            self._encoded[key] = part_changes(self.cache, key, values, lease)
        return self._encoded[key]


def part_changes(
    cache: StateCache, key: str, values: list[Any], lease: int | None = None
) -> list[KeyChange]:
    """Return the puts of a record's values, and the deletes of parts that it no longer has."""
    keys = [key, *(continuation_key(key, index) for index in range(1, len(values)))]
    puts = [
        KeyChange(part_key, value, lease if value is not None else None)
        for part_key, value in zip(keys, values, strict=True)
    ]
    return puts + [
        KeyChange(part_key, None)
        for part_key in cache.continuation_keys(key)
        if part_key not in keys
    ]


def fence_assignment(transaction: Transaction, key: str) -> bool:
    """Rewrite a team's assignment unchanged, so that a late start expecting its version conflicts.

    Returns:
        False if no transaction of unknown outcome expects the current version.
    """
    version = transaction.cache.version(key)
    assignment = transaction.cache.assignments.get(key[len(TEAM_PREFIX) :])
    if transaction.in_doubt.get(key) != version or assignment is None:
        return False
    transaction.put(key, assignment_value(assignment), version)
    return True
