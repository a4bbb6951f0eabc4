"""Queue of pending starts that wait for their commit."""

import logging
from collections.abc import Iterable

from sandladder.scheduling import ClusterView, Outcome, PendingStart

log = logging.getLogger(__name__)


class StartQueue:
    """The pending starts of each job, revalidated by the gate before their commit.

    The gate holds the set of pending starts; a queued start that was withdrawn from it is skipped.
    Performs no I/O and reads no clock.
    """

    def __init__(self, cluster_view: ClusterView) -> None:
        self._cluster_view = cluster_view
        self._gate = cluster_view.gate
        self._starts: dict[str, list[PendingStart]] = {}

    def __contains__(self, job_id: str) -> bool:
        return job_id in self._starts

    def add(self, pending_starts: Iterable[PendingStart]) -> list[str]:
        """Add pending starts and return the IDs of their jobs without duplicates."""
        job_ids: dict[str, None] = {}
        for pending_start in pending_starts:
            self._starts.setdefault(pending_start.spec.id, []).append(pending_start)
            job_ids[pending_start.spec.id] = None
        return list(job_ids)

    def release(self, job_id: str) -> list[PendingStart]:
        """Revalidate the starts of a job at the gate and return those whose premises hold.

        These stay in the queue, as their commit may fail; the others are dropped.
        """
        passed = []
        for pending_start in self._starts.get(job_id, ()):
            if not self._is_pending(pending_start):
                continue
            pending_start.commit_in_flight = False
            verdict = self._gate.release(pending_start, self._cluster_view)
            if verdict.outcome < Outcome.REPLAN:
                passed.append(pending_start)
            else:
                log.debug(
                    "gate verdict %s for start %s: %s",
                    verdict.outcome.name,
                    pending_start.key,
                    verdict.failed_premise,
                )
        self._starts[job_id] = passed
        return list(passed)

    def pop(self, job_id: str, committed: Iterable[PendingStart]) -> list[PendingStart]:
        """Remove the starts of a job and return those still pending and not in `committed`."""
        committed_ids = {id(pending_start) for pending_start in committed}
        return [
            pending_start
            for pending_start in self._starts.pop(job_id, [])
            if id(pending_start) not in committed_ids and self._is_pending(pending_start)
        ]

    def withdraw(self, pending_starts: Iterable[PendingStart]) -> None:
        """Withdraw these starts from the gate, except those that are no longer pending."""
        for pending_start in pending_starts:
            if self._is_pending(pending_start):
                self._gate.withdraw(pending_start)

    def _is_pending(self, pending_start: PendingStart) -> bool:
        """Return whether this start is pending at the gate, and not a later one of its task."""
        return self._gate.pending.get(pending_start.key) is pending_start
