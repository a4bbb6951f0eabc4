"""The gate, which holds the pending starts and releases one only while its premises hold.

Selective revalidation, as in the paper (see `premises`): a reverse index maps a changed machine,
task, job or team to the pending starts that depend on it, and only the affected premises are
checked again.  Pure: no I/O, no clock.
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
    """A map from each resource to the pending starts whose premises depend on it."""

    def __init__(self) -> None:
        self._by_resource: dict[Resource, dict[tuple[str, int], PendingStart]] = {}

    def add(self, pending_start: PendingStart) -> None:
        """Index a pending start by the resources of its premises."""
        for premise in pending_start.premises:
            self._by_resource.setdefault(premise.resource, {})[pending_start.key] = pending_start

    def remove(self, pending_start: PendingStart) -> None:
        """Remove a pending start from the index."""
        for premise in pending_start.premises:
            dependents = self._by_resource.get(premise.resource)
            if dependents is not None:
                dependents.pop(pending_start.key, None)
                if not dependents:
                    del self._by_resource[premise.resource]

    def dependents(self, resource: Resource) -> Iterable[PendingStart]:
        """Return the pending starts with a premise on a resource."""
        return self._by_resource.get(resource, {}).values()

    def affected_by(self, changed: Iterable[Resource]) -> dict[tuple[str, int], set[Resource]]:
        """Return, by key of each affected pending start, the changed resources it depends on."""
        affected: dict[tuple[str, int], set[Resource]] = {}
        for resource in changed:
            for key in self._by_resource.get(resource, ()):
                affected.setdefault(key, set()).add(resource)
        return affected


class Verdict(NamedTuple):
    """The outcome for one pending start, and the failed premise behind it (None if all hold)."""

    pending_start: PendingStart
    outcome: Outcome
    failed_premise: PremiseKind | None


class Gate:
    """The pending starts, by job and task, and their revalidation."""

    def __init__(self) -> None:
        self.pending: dict[tuple[str, int], PendingStart] = {}
        self._index = ReverseIndex()
        self.verdicts: Counter[str] = Counter()  # by outcome
        self.premise_checks = 0
        self.full_scan_checks = 0  # premises that would have been checked without the index
        # Called with the machine whenever its pending starts change.
        self.on_pending_changed: Callable[[str], object] = lambda machine: None

    def admit(self, pending_start: PendingStart, evidence: Evidence) -> None:
        """Add a pending start, with the current versions of the resources it depends on."""
        pending_start.read_versions = {
            premise.resource: evidence.version(premise.resource)
            for premise in pending_start.premises
        }
        self.pending[pending_start.key] = pending_start
        self._index.add(pending_start)
        self.on_pending_changed(pending_start.placement.machine)

    def withdraw(self, pending_start: PendingStart) -> None:
        """Remove a pending start unless it was removed before."""
        if self.pending.pop(pending_start.key, None) is not None:
            self._index.remove(pending_start)
            self.on_pending_changed(pending_start.placement.machine)

    def on_machine(self, machine: str) -> Iterable[PendingStart]:
        """Return the pending starts on a machine."""
        return self._index.dependents(("machine", machine))

    def revalidate(self, resources: Iterable[Resource], evidence: Evidence) -> list[Verdict]:
        """Check again the premises on changed resources; withdraw replanned and blocked starts."""
        # A start whose commit is in flight is skipped: the watch may deliver the commit's own
        # changes before its response.  If the commit fails, `release` checks the start again.
        affected = {
            key: changed
            for key, changed in self._index.affected_by(resources).items()
            if not self.pending[key].commit_in_flight
        }
        verdicts = [
            self._check(self.pending[key], changed, evidence) for key, changed in affected.items()
        ]
        if affected:
            self.full_scan_checks += sum(len(pending.premises) for pending in self.pending.values())
        for verdict in verdicts:
            self._withdraw_if_rejected(verdict)
        return verdicts

    def release(self, pending_start: PendingStart, evidence: Evidence) -> Verdict:
        """Revalidate a pending start right before its commit.

        Only premises whose resources changed since they were read are checked.  A replanned or
        blocked start is withdrawn.
        """
        differing = {
            resource
            for resource, version in pending_start.read_versions.items()
            if evidence.version(resource) != version
        }
        self.full_scan_checks += len(pending_start.premises)
        verdict = self._check(pending_start, differing, evidence)
        self._withdraw_if_rejected(verdict)
        return verdict

    def _withdraw_if_rejected(self, verdict: Verdict) -> None:
        if verdict.outcome >= Outcome.REPLAN:
            self.withdraw(verdict.pending_start)

    def _check(
        self, pending_start: PendingStart, resources: set[Resource], evidence: Evidence
    ) -> Verdict:
        """Check the premises on these resources, and record the resources' versions."""
        worst_outcome, failed_premise = Outcome.KEEP, None
        for premise in pending_start.premises:
            if premise.resource not in resources:
                continue
            self.premise_checks += 1
            try:
                is_valid = holds(premise, pending_start, evidence)
                outcome = Outcome.KEEP if is_valid else premise.severity
            except UnverifiablePremiseError:
                outcome = Outcome.BLOCK  # a premise that cannot be checked never passes
            if outcome > worst_outcome:
                worst_outcome, failed_premise = outcome, premise.kind
        for resource in resources:
            pending_start.read_versions[resource] = evidence.version(resource)
        self.verdicts[worst_outcome.name.lower()] += 1
        return Verdict(pending_start, worst_outcome, failed_premise)
