"""What may happen to jobs, and who commits it."""

from sandladder.jobs.dependency_resolver import DependencyResolver
from sandladder.jobs.job_committer import JobCommitter
from sandladder.jobs.transitions import (
    SubmittedDependencies,
    archive_job,
    cancel,
    end,
    rejection,
    start,
    stop,
    submit,
)

__all__ = [
    "DependencyResolver",
    "JobCommitter",
    "SubmittedDependencies",
    "archive_job",
    "cancel",
    "end",
    "rejection",
    "start",
    "stop",
    "submit",
]
