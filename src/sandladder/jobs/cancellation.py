"""The change that cancels a job."""

from collections.abc import Callable

from sandladder.jobs.transitions import cancel
from sandladder.state import PRIORITY_REQUEST, PendingChange, Transaction

# Maximum number of puts and deletes of a cancellation.
_MAX_OPERATIONS = 2


def cancellation(job_id: str, wall_clock_s: Callable[[], float]) -> PendingChange:
    """Return a change that cancels a job; it fails if the job is not live or is cancelled already.

    Args:
        job_id: the job.
        wall_clock_s: returns the time of day in seconds.
    """

    def apply(transaction: Transaction) -> bool:
        cancel(transaction, job_id, wall_clock_s())
        return True

    return PendingChange(f"cancel {job_id}", PRIORITY_REQUEST, _MAX_OPERATIONS, apply)
