"""Which committed attempts are on which machine, and of which agent epochs."""

from sandladder.model import Attempt


class AttemptIndex:
    """An index by machine over the live attempts of all jobs."""

    def __init__(self) -> None:
        # By machine, the job and task of each live attempt.
        self.by_machine: dict[str, dict[tuple[str, int], None]] = {}
        # By machine, the number of live attempts of each agent epoch.
        self.epochs: dict[str, dict[int, int]] = {}

    def remove(self, job_id: str, task: int, attempt: Attempt) -> None:
        """An attempt is not live any more."""
        tasks = self.by_machine[attempt.machine]
        tasks.pop((job_id, task), None)
        if not tasks:
            del self.by_machine[attempt.machine]
        self._count(attempt, -1)

    def add(self, job_id: str, task: int, attempt: Attempt) -> None:
        """An attempt is live now."""
        self.by_machine.setdefault(attempt.machine, {})[job_id, task] = None
        self._count(attempt, 1)

    def _count(self, attempt: Attempt, number: int) -> None:
        epochs = self.epochs.setdefault(attempt.machine, {})
        epochs[attempt.agent_epoch] = epochs.get(attempt.agent_epoch, 0) + number
        if not epochs[attempt.agent_epoch]:
            del epochs[attempt.agent_epoch]
            if not epochs:
                del self.epochs[attempt.machine]
