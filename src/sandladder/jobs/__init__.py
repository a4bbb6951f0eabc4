"""The job life cycle: state transitions, and the services that commit them.

`transitions` and `starts` validate changes to jobs and apply them to a transaction, without I/O.
`JobCommitter` commits ended attempts and released starts, as `JobChanges` evaluates them;
`DependencyResolver` and `DependentCanceller` handle jobs with dependencies; `JobArchiver` moves the
records of finished jobs.

The package holds the uncommitted and in-flight changes of jobs.  This state is in memory only and
is rebuilt from the records after a crash.  The package never chooses machines (`scheduling`), never
sends messages to agents (`agents`), and writes only through `state.GroupCommitter`.
"""

from sandladder.jobs.archiver import JobArchiver
from sandladder.jobs.cancellation import cancellation
from sandladder.jobs.dependency_resolver import DependencyResolver
from sandladder.jobs.dependent_canceller import DependentCanceller
from sandladder.jobs.job_committer import JobCommitter
from sandladder.jobs.starts import start
from sandladder.jobs.transitions import (
    SubmittedDependencies,
    archive_job,
    cancel,
    end,
    rejection_reason,
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
    "cancellation",
    "end",
    "rejection_reason",
    "start",
    "stop",
    "submit",
]
