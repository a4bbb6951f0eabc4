"""The gate: it keeps the pending starts and lets one through only while its premises hold.

Selective revalidation, as in the paper (see `premises`): a reverse index leads from a changed
machine, task, job or team to the pending starts that rest on it, and only the premises that the
change can reach are checked again.  Pure: no I/O, no clock.
"""

from collections import Counter
from collections.abc import Callable, Iterable
from typing import NamedTuple

from sandladder.scheduling.premises import (
    Evidence,
    Outcome,
    PendingStart,
    PremiseKind,
    Resource,
    UnverifiablePremiseError,
    holds,
)


class ReverseIndex:
    """From a resource to the pending starts whose premises rest on it."""

    def __init__(self) -> None:
        self._by_resource: dict[Resource, dict[tuple[str, int], PendingStart]] = {}

    def add(self, pending_start: PendingStart) -> None:
        """Index a pending start by all that its premises rest on."""
        for premise in pending_start.premises:
            self._by_resource.setdefault(premise.resource, {})[pending_start.key] = pending_start

    def remove(self, pending_start: PendingStart) -> None:
        """Take a pending start out of the index."""
        for premise in pending_start.premises:
            resting = self._by_resource.get(premise.resource)
            if resting is not None:
                resting.pop(pending_start.key, None)
                if not resting:
                    del self._by_resource[premise.resource]

    def resting_on(self, resource: Resource) -> Iterable[PendingStart]:
        """The pending starts with a premise about this resource."""
        return self._by_resource.get(resource, {}).values()

    def reach(self, changed: Iterable[Resource]) -> dict[tuple[str, int], set[Resource]]:
        """The pending starts that these changes can reach, each with what reaches it."""
        reached: dict[tuple[str, int], set[Resource]] = {}
        for resource in changed:
            for key in self._by_resource.get(resource, ()):
                reached.setdefault(key, set()).add(resource)
        return reached


class Verdict(NamedTuple):
    """The outcome for one pending start, and the premise that decided it (None: all hold)."""

    pending_start: PendingStart
    outcome: Outcome
    failed_premise: PremiseKind | None


class Gate:
    """Keeps the pending starts, by job and task, and revalidates them."""

    def __init__(self) -> None:
        self.pending: dict[tuple[str, int], PendingStart] = {}
        self._index = ReverseIndex()
        self.verdicts: Counter[str] = Counter()  # by outcome
        self.checked = 0  # premises
        self.full_scan_checks = 0  # premises that would have been checked without the index
        # Called with each machine on which the pending starts changed.
        self.on_pending_changed: Callable[[str], object] = lambda machine: None

    def admit(self, pending_start: PendingStart, evidence: Evidence) -> None:
        """Keep a decision with the versions of what it was decided on."""
        pending_start.read_versions = {
            premise.resource: evidence.version(premise.resource)
            for premise in pending_start.premises
        }
        self.pending[pending_start.key] = pending_start
        self._index.add(pending_start)
        self.on_pending_changed(pending_start.placement.machine)

    def withdraw(self, pending_start: PendingStart) -> None:
        """Drop a pending start, if it is still kept."""
        if self.pending.pop(pending_start.key, None) is not None:
            self._index.remove(pending_start)
            self.on_pending_changed(pending_start.placement.machine)

    def on_machine(self, machine: str) -> Iterable[PendingStart]:
        """The pending starts on a machine."""
        return self._index.resting_on(("machine", machine))

    def revalidate(self, resources: Iterable[Resource], evidence: Evidence) -> list[Verdict]:
        """Check again what these changes reach; a replanned or blocked start is withdrawn."""
        # What its own commit changed must not count against a start: the watch may bring that
        # before the answer comes.  Should the commit fail, it is checked again before the next.
        reached = {
            key: through
            for key, through in self._index.reach(resources).items()
            if not self.pending[key].commit_in_flight
        }
        verdicts = [
            self._judge(self.pending[key], through, evidence) for key, through in reached.items()
        ]
        if reached:
            self.full_scan_checks += sum(len(pending.premises) for pending in self.pending.values())
        for verdict in verdicts:
            self._withdraw_if_rejected(verdict)
        return verdicts

    def release(self, pending_start: PendingStart, evidence: Evidence) -> Verdict:
        """Check right before the effect whatever has another version than the one read.

        A replanned or blocked start is withdrawn.
        """
        differing = {
            resource
            for resource, version in pending_start.read_versions.items()
            if evidence.version(resource) != version
        }
        self.full_scan_checks += len(pending_start.premises)
        verdict = self._judge(pending_start, differing, evidence)
        self._withdraw_if_rejected(verdict)
        return verdict

    def _withdraw_if_rejected(self, verdict: Verdict) -> None:
        if verdict.outcome >= Outcome.REPLAN:
            self.withdraw(verdict.pending_start)

    def _judge(
        self, pending_start: PendingStart, through: set[Resource], evidence: Evidence
    ) -> Verdict:
        """Check the premises that rest on these resources, and note their versions as read."""
        worst, reason = Outcome.KEEP, None
        for premise in pending_start.premises:
            if premise.resource not in through:
                continue
            self.checked += 1
            try:
                kept = holds(premise, pending_start, evidence)
                outcome = Outcome.KEEP if kept else premise.severity
            except UnverifiablePremiseError:
                outcome = Outcome.BLOCK  # what cannot be checked is not let through
            if outcome > worst:
                worst, reason = outcome, premise.kind
        for resource in through:
            pending_start.read_versions[resource] = evidence.version(resource)
        self.verdicts[worst.name.lower()] += 1
        return Verdict(pending_start, worst, reason)
