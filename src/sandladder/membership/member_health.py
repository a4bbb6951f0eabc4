"""The members' health over time: the latest assessments, and how long all have been healthy."""

import logging
import math

from sandladder.membership.failure_detector import NO_LEASE, FailureDetector
from sandladder.membership.health import HealthAssessment, HealthLevel
from sandladder.model import IN, SUSPECT
from sandladder.state import StateCache

log = logging.getLogger(__name__)


class MemberHealth:
    """What this process makes of the other controllers, by its failure detector and the roster.

    Pure but for the log: times are given, in seconds on the steady clock.
    """

    def __init__(self, detector: FailureDetector, cache: StateCache) -> None:
        """Judge by `detector`; `cache` has the roster and the leases."""
        self.assessments: dict[str, HealthAssessment] = {}  # of all peers, by name
        self._detector = detector
        self._cache = cache
        self._unhealthy_at = math.inf  # when some member was last not healthy; inf: never judged

    def update(self, now: float) -> None:
        """Judge the others; a change of level is one line in the log, with the evidence."""
        self._detector.record_leases(self._cache.inventories.keys() | self._cache.unreadable_nodes)
        for node in self._detector.peers():
            assessment = self._detector.assess(node, now)
            before = self.assessments.get(node)
            self.assessments[node] = assessment
            if before is None or before.level != assessment.level:
                _log_assessment(node, before, assessment)
        unhealthy = self._detector.is_late or any(
            member.state == SUSPECT or (member.state == IN and self._is_failing_peer(node))
            for node, member in self._cache.roster.items()
        )
        if unhealthy or self._unhealthy_at == math.inf:
            self._unhealthy_at = now

    def all_healthy_s(self, now: float) -> float:
        """For how long all members, this process among them, have been healthy."""
        return now - self._unhealthy_at

    def of_member(self, node: str) -> HealthAssessment | None:
        """The health of another member; None if nothing may be concluded.

        For one that the settings of this process do not name, its lease alone says whether it
        lives.
        """
        known = self.assessments.get(node)
        if known is not None or node in self._cache.inventories:
            return known
        return HealthAssessment(HealthLevel.EXPIRED, NO_LEASE)

    def serving_members(self) -> list[str]:
        """The members that are in and can do their part, this process among them if it is in."""
        return [
            node
            for node, member in self._cache.roster.items()
            if member.state == IN and self._can_serve(node)
        ]

    def _can_serve(self, node: str) -> bool:
        assessment = self.assessments.get(node)
        return node == self._detector.node or (assessment is not None and assessment.can_serve)

    def _is_failing_peer(self, node: str) -> bool:
        assessment = self.assessments.get(node)
        return assessment is not None and not assessment.can_serve


def _log_assessment(
    node: str, before: HealthAssessment | None, assessment: HealthAssessment
) -> None:
    evidence = f": {assessment.evidence}" if assessment.evidence else ""
    former = f", was {before.level.name.lower()}" if before is not None else ""
    log.info("controller %s is %s%s%s", node, assessment.level.name.lower(), former, evidence)
