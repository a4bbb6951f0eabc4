"""Pending starts that wait for the gate."""

import logging
from collections.abc import Iterable

from sandladder.scheduling import ClusterView, Outcome, PendingStart

log = logging.getLogger(__name__)


class StartQueue:
    """The pending starts of each job that are to be committed if they pass the gate by then.

    The gate owns which starts are pending; one that it withdrew in the meantime is passed over.
    Pure: no I/O, no clock.
    """

    def __init__(self, cluster_view: ClusterView) -> None:
        self._cluster_view = cluster_view
        self._gate = cluster_view.gate
        self._starts: dict[str, list[PendingStart]] = {}

    def __contains__(self, job_id: str) -> bool:
        return job_id in self._starts

    def add(self, pending_starts: Iterable[PendingStart]) -> list[str]:
        """Add pending starts; their jobs, each once."""
        jobs: dict[str, None] = {}
        for pending_start in pending_starts:
            self._starts.setdefault(pending_start.spec.id, []).append(pending_start)
            jobs[pending_start.spec.id] = None
        return list(jobs)

    def release(self, job_id: str) -> list[PendingStart]:
        """Check the starts of a job at the gate; those whose premises still hold.

        They stay in the queue, as their commit may yet fail; the others are dropped.
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
                    "%s %s: %s", verdict.outcome.name, pending_start.key, verdict.failed_premise
                )
        self._starts[job_id] = passed
        return list(passed)

    def pop(self, job_id: str, committed: Iterable[PendingStart]) -> list[PendingStart]:
        """Take out the starts of a job; those that are still pending and were not committed."""
        done = {id(pending_start) for pending_start in committed}
        return [
            pending_start
            for pending_start in self._starts.pop(job_id, [])
            if id(pending_start) not in done and self._is_pending(pending_start)
        ]

    def withdraw(self, pending_starts: Iterable[PendingStart]) -> None:
        """Withdraw from the gate those of these starts that are still pending."""
        for pending_start in pending_starts:
            if self._is_pending(pending_start):
                self._gate.withdraw(pending_start)

    def _is_pending(self, pending_start: PendingStart) -> bool:
        """Whether the gate has just this start pending, and not a later one of the same task."""
        return self._gate.pending.get(pending_start.key) is pending_start
