"""An index of the live attempts by machine and agent epoch."""

from sandladder.model import Attempt


class AttemptIndex:
    """An index of the live attempts of all jobs.

    Attributes:
        by_machine: by machine, the (job, task) of each live attempt.
        epochs: by machine, the number of live attempts of each agent epoch.
    """

    def __init__(self) -> None:
        self.by_machine: dict[str, dict[tuple[str, int], None]] = {}
        self.epochs: dict[str, dict[int, int]] = {}

    def remove(self, job_id: str, task: int, attempt: Attempt) -> None:
        """Remove an attempt that has ended."""
        tasks = self.by_machine[attempt.machine]
        tasks.pop((job_id, task), None)
        if not tasks:
            del self.by_machine[attempt.machine]
        self._adjust_epoch_count(attempt, -1)

    def add(self, job_id: str, task: int, attempt: Attempt) -> None:
        """Add a live attempt."""
        self.by_machine.setdefault(attempt.machine, {})[job_id, task] = None
        self._adjust_epoch_count(attempt, 1)

    def _adjust_epoch_count(self, attempt: Attempt, delta: int) -> None:
        epochs = self.epochs.setdefault(attempt.machine, {})
        epochs[attempt.agent_epoch] = epochs.get(attempt.agent_epoch, 0) + delta
        if not epochs[attempt.agent_epoch]:
            del epochs[attempt.agent_epoch]
            if not epochs:
                del self.epochs[attempt.machine]
