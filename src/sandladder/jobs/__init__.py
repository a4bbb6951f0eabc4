"""The life of jobs: the transitions that they may undergo, and the services that commit these.

`transitions` and `starts` decide, on a transaction and without I/O, what may happen to a job.
`JobCommitter` commits proved ends and released starts; `DependencyResolver` and
`DependentCanceller` see to jobs that depend on others; `JobArchiver` moves the records of
finished jobs.

The package owns what waits to be committed of jobs and what is under way of it, all in memory and
found again from the records after a crash.  It never chooses machines (`scheduling`), never sends
an agent anything itself (`agents`), and writes nothing but through `state.GroupCommitter`.
"""

from sandladder.jobs.archiver import JobArchiver
from sandladder.jobs.dependency_resolver import DependencyResolver
from sandladder.jobs.dependent_canceller import DependentCanceller
from sandladder.jobs.job_committer import JobCommitter
from sandladder.jobs.starts import start
from sandladder.jobs.transitions import (
    SubmittedDependencies,
    archive_job,
    cancel,
    end,
    rejection,
    stop,
    submit,
)

__all__ = [
    "DependencyResolver",
    "DependentCanceller",
    "JobArchiver",
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
