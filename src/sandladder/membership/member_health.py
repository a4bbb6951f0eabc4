"""The latest assessments of the members, and the time for which all have been healthy."""

import logging
import math

from sandladder.membership.failure_detector import NO_LEASE_EVIDENCE, FailureDetector
from sandladder.membership.health import HealthAssessment, HealthLevel
from sandladder.model import IN, SUSPECT
from sandladder.state import StateCache

log = logging.getLogger(__name__)


class MemberHealth:
    """Tracks the other controllers' health, from the failure detector and the roster.

    Pure except for logging: times are passed in, in seconds on the steady clock.
    """

    def __init__(self, detector: FailureDetector, cache: StateCache) -> None:
        """Assess members with `detector`; `cache` holds the roster and the inventories."""
        self.assessments: dict[str, HealthAssessment] = {}  # of all peers, by name
        self._detector = detector
        self._cache = cache
        # When a member was last observed to be unhealthy; inf before the first assessment.
        self._unhealthy_at = math.inf

    def update(self, now: float) -> None:
        """Assess the other controllers, and log each change of level with its evidence."""
        self._detector.record_leases(self._cache.inventories.keys() | self._cache.unreadable_nodes)
        for node in self._detector.peers():
            assessment = self._detector.assess(node, now)
            previous = self.assessments.get(node)
            self.assessments[node] = assessment
            if previous is None or previous.level != assessment.level:
                _log_assessment(node, previous, assessment)
        unhealthy = self._detector.is_late or any(
            member.state == SUSPECT or (member.state == IN and self._is_failing_peer(node))
            for node, member in self._cache.roster.items()
        )
        if unhealthy or self._unhealthy_at == math.inf:
            self._unhealthy_at = now

    def all_healthy_s(self, now: float) -> float:
        """Return how long all members, including this one, have been healthy, in seconds."""
        return now - self._unhealthy_at

    def member_assessment(self, node: str) -> HealthAssessment | None:
        """Return the health of another member, or None if it is unknown.

        A member that is missing from this process's settings is assessed by its lease alone.
        """
        assessment = self.assessments.get(node)
        if assessment is not None or node in self._cache.inventories:
            return assessment
        return HealthAssessment(HealthLevel.EXPIRED, NO_LEASE_EVIDENCE)

    def serving_members(self) -> list[str]:
        """Return the members in state IN that can be given work, including this one."""
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
    node: str, previous: HealthAssessment | None, assessment: HealthAssessment
) -> None:
    evidence = f": {assessment.evidence}" if assessment.evidence else ""
    previous_level = f", was {previous.level.name.lower()}" if previous is not None else ""
    log.info(
        "controller %s is %s%s%s", node, assessment.level.name.lower(), previous_level, evidence
    )
