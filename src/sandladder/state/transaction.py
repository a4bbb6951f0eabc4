"""A transaction being built: the records as it would leave them, and the versions it expects.

Pure: no I/O, no clock.
"""

import math
from collections.abc import Mapping
from typing import Any

from sandladder.model import SCHEMA_V1, FinishedJob, Job, Machine, TeamUsage
from sandladder.state.cache import StateCache
from sandladder.state.records import (
    FINAL,
    JOB,
    TEAM,
    assignment_value,
    extra_key,
    finished_job_value,
    job_value,
    split_value,
)


class Transaction:
    """The records as one transaction would leave them, and the versions it relies on."""

    def __init__(
        self,
        cache: StateCache,
        value_bytes: float = math.inf,
        unsure: Mapping[str, int] | None = None,
    ) -> None:
        self.cache = cache
        self.value_bytes = value_bytes
        # Keys that a transaction without an answer relied on, at the version that it relied on:
        # nothing relies on them again before they have moved past it.
        self.unsure = unsure or {}
        self.jobs: dict[str, Job | None] = {}
        self.teams: dict[str, TeamUsage] = {}
        self.used: dict[str, TeamUsage] = {}
        self.finished_jobs: dict[str, FinishedJob] = {}
        self.others: dict[str, tuple[Any, int | None]] = {}
        self.instances: dict[str, Machine] | None = None
        self.expected_versions: dict[str, int] = {}
        self._changed: dict[str, list[tuple[str, Any, int | None]]] = {}

    def fork(self) -> "Transaction":
        """A view to try one more change on."""
        twin = Transaction(self.cache, self.value_bytes, self.unsure)
        twin.jobs = {job_id: job.copy() if job else None for job_id, job in self.jobs.items()}
        twin.teams, twin.used = dict(self.teams), dict(self.used)
        twin.finished_jobs, twin.others = dict(self.finished_jobs), dict(self.others)
        twin.instances, twin.expected_versions = self.instances, dict(self.expected_versions)
        twin._changed = dict(self._changed)
        return twin

    @property
    def is_schema_v1(self) -> bool:
        """Whether controllers of the version before may read what is written."""
        return self.cache.schema_version == SCHEMA_V1

    def job(self, job_id: str) -> Job | None:
        """A job for changing, or None when it is not live."""
        self._changed.pop(JOB + job_id, None)
        if job_id not in self.jobs:
            found = self.cache.jobs.get(job_id)
            if found is None or JOB + job_id in self.cache.unreadable:
                return None
            self.jobs[job_id] = found.copy()
            self.expected_versions[JOB + job_id] = self.cache.version(JOB + job_id)
        return self.jobs[job_id]

    def create(self, job: Job) -> None:
        """Add a job that must exist neither live nor finished."""
        self._changed.pop(JOB + job.id, None)
        self.jobs[job.id] = job
        self.expected_versions[JOB + job.id] = 0
        self.expected_versions[FINAL + job.id] = 0

    def team(self, name: str) -> TeamUsage:
        """A team's record in the first form, for changing."""
        if name not in self.teams:
            self.teams[name] = self.cache.teams.get(name, TeamUsage())
            self.expected_versions[TEAM + name] = self.cache.version(TEAM + name)
        return self.teams[name]

    def held(self, name: str) -> TeamUsage:
        """What the live attempts of a team hold, with the changes made here."""
        if self.is_schema_v1:
            return self.team(name)
        return self.used.get(name, self.cache.used.get(name, TeamUsage()))

    def change_usage(self, job: Job, tasks: int) -> None:
        """Change what the job's team holds by so many tasks of it."""
        name = job.spec.team
        if self.is_schema_v1:
            self.teams[name] = self.team(name).plus(job.spec, tasks)
        else:
            # Its jobs tell what it holds; nothing is written of it.
            self.used[name] = self.held(name).plus(job.spec, tasks)

    def finish(self, job: Job, state: str, now: float) -> None:
        """End a job without live attempts.

        Where no older version reads it, what it came to takes the job's place: one change
        instead of two, and it is filed among the finished ones when there is time.
        """
        self._changed.pop(JOB + job.id, None)
        self.jobs[job.id] = None
        self.finished_jobs[job.id] = FinishedJob(state, job.done.count, now)
        self.expected_versions[FINAL + job.id] = 0

    def put(self, key: str, value: Any, version: int, lease: int | None = None) -> None:
        self._changed.pop(key, None)
        self.others[key] = (value, lease)
        self.expected_versions[key] = version

    def write(self, key: str, value: Any, lease: int | None = None) -> None:
        """Change one key as it stands."""
        self.others[key] = (value, lease)
        self.expected_versions[key] = self.cache.version(key)
        self._changed[key] = [(key, value, lease)]

    @property
    def size(self) -> int:
        """How many puts and deletes this is."""
        return len(self.changes())

    def _written(
        self, key: str, value: Any, lease: int | None = None
    ) -> list[tuple[str, Any, int | None]]:
        """How a record is written: as it is, or folded over several keys."""
        if key not in self._changed:
            folds = not self.is_schema_v1 and value is not None
            values = split_value(value, self.value_bytes) if folds else [value]
            self._changed[key] = spread(self.cache, key, values, lease)
        return self._changed[key]

    def changes(self) -> list[tuple[str, Any, int | None]]:
        """(key, value or None for a delete, lease) of everything changed."""
        found: list[tuple[str, Any, int | None]] = []
        schema_version = self.cache.schema_version
        for job_id, job in self.jobs.items():
            key = JOB + job_id
            known = self._changed.get(key)
            if known is None:
                value: Any = job_value(job) if job else None
                if job is None and not self.is_schema_v1:
                    value = finished_job_value(self.finished_jobs[job_id], schema_version)
                known = self._written(key, value)
            found += known
        found += [(TEAM + name, list(team), None) for name, team in self.teams.items()]
        if self.is_schema_v1:
            found += [
                (FINAL + job_id, finished_job_value(final, schema_version), None)
                for job_id, final in self.finished_jobs.items()
            ]
        for key, (value, lease) in self.others.items():
            found += self._written(key, value, lease)
        return found


def spread(
    cache: StateCache, key: str, values: list[Any], lease: int | None = None
) -> list[tuple[str, Any, int | None]]:
    """A record's values under its keys, and the deletion of parts that it no longer has."""
    keys = [key, *(extra_key(key, index) for index in range(1, len(values)))]
    found: list[tuple[str, Any, int | None]] = [
        (name, value, lease if value is not None else None)
        for name, value in zip(keys, values, strict=True)
    ]
    return found + [(name, None, None) for name in cache.extras(key) if name not in keys]


def fence_assignment(transaction: Transaction, key: str) -> bool:
    """Move a team's record as it stands, so that a start bound to it cannot arrive any more."""
    version = transaction.cache.version(key)
    assignment = transaction.cache.assignments.get(key[len(TEAM) :])
    if transaction.unsure.get(key) != version or assignment is None:
        return False
    transaction.put(key, assignment_value(assignment), version)
    return True
