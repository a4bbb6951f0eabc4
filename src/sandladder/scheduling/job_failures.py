"""The machines on which jobs failed, and whether a job or its machines are at fault.

Pure: no I/O, no clock.
"""

from sandladder.model import Job

# A job that failed on fewer machines may have met faulty ones.
_MIN_MACHINES = 3


class JobFailures:
    """The machines on which each live job failed.

    Attributes:
        machines: by job, the machines on which a task of it failed.  The owner removes the entries
            of finished jobs.
    """

    def __init__(self) -> None:
        self.machines: dict[str, set[str]] = {}

    def add(self, job_id: str, machine: str) -> None:
        """Record that a task of a job failed on a machine."""
        self.machines.setdefault(job_id, set()).add(machine)

    def fails_everywhere(self, job: Job) -> bool:
        """Return whether a job's failures are its own fault rather than that of its machines.

        True if no task of it was ever done, and it failed on several machines, on more than those
        on which its tasks are now without having failed there.
        """
        failed_on = self.machines.get(job.id, set())
        if len(failed_on) < _MIN_MACHINES or job.done.count:
            return False
        elsewhere = {attempt.machine for attempt in job.live.values()} - failed_on
        return len(failed_on) > len(elsewhere)
