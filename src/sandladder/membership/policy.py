"""The membership policy: decides on the changes that one controller makes to the roster.

A member is suspected on the evidence of at least two witnesses, and evicted if it does not refute
the suspicion in time.  A member whose lease has expired is evicted without prior suspicion.  An
evicted member can join again, so that a false suspicion only causes a delay.

Pure: `MembershipService` passes the times in and commits the decisions.  Times are in seconds on
the steady clock, except `wall_clock_s`.
"""

from collections.abc import Iterable
from typing import NamedTuple

from sandladder.membership.changes import (
    ChangeContext,
    ChangeKind,
    MembershipChange,
    build_transition,
)
from sandladder.membership.failure_detector import FailureDetector
from sandladder.membership.health import HealthAssessment, HealthLevel
from sandladder.membership.member_health import MemberHealth
from sandladder.membership.roster import (
    RosterRecords,
    home_controllers,
    rightful_assignee,
    settling_time_s,
)
from sandladder.membership.roster_transitions import RosterTransition
from sandladder.model import IN, OUT, SCHEMA_V1, SUSPECT, Member, TeamAssignment
from sandladder.state import ROSTER_KEY, StateCache

# Durations in agent heartbeat intervals (`report_s`).
# Silence after which a member is suspected; it is suspected at once if it refused all connections.
_SILENCE_TOLERANCE_INTERVALS = 1.0
# Time without access to the store, by its own status, after which a member is suspected.
_UNREADY_TOLERANCE_INTERVALS = 0.5
# Time for a suspected member to refute the suspicion in the store.
_REFUTATION_INTERVALS = 0.25
# Time for which all members must have been healthy before a team returns to its home.
_STABLE_INTERVALS = 1.0
# Time for which a team without a record waits for its home to join.
_HOME_JOIN_INTERVALS = 0.5
# Time in state IN before a member's teams return to it, after a first eviction.
_SETTLING_INTERVALS = 2.0

# Extra delay per rank, in heartbeat intervals of controllers, so that usually only the first
# healthy member commits a change.
_RANK_DELAY_HEARTBEATS = 2.0
# Independent witnesses required to suspect a silent member.
_MIN_WITNESSES = 2


class _ConditionKey(NamedTuple):
    """A condition of a member in one incarnation that must persist before a change follows."""

    condition: str
    node: str
    incarnation: int
    refutations: int


class MembershipPolicy:
    """Decides on the membership changes of one controller."""

    def __init__(
        self, detector: FailureDetector, nodes: list[str], teams: Iterable[str], cache: StateCache
    ) -> None:
        """Create the policy of the controller to which `detector` belongs.

        Args:
            detector: assesses the other controllers.
            nodes: all controllers of the settings, in order.
            teams: all teams of the settings, in order.
            cache: this process's cache of the records.
        """
        self.detector = detector
        self.node = detector.node
        self.homes = home_controllers(teams, nodes)
        self._cache = cache
        self._health = MemberHealth(detector, cache)
        # The time since which each condition has held without interruption.
        self._condition_since: dict[_ConditionKey, float] = {}
        self._assignments: dict[str, TeamAssignment] = {}
        self._reassigned_at = 0.0  # when an assignment last changed
        # The time since which this process has been able to write the roster.
        self._writable_since: float | None = None

    @property
    def assessments(self) -> dict[str, HealthAssessment]:
        """The latest assessment of each peer, by name; empty before the first decision."""
        return self._health.assessments

    @property
    def settling_time_s(self) -> float:
        """The time in state IN before a member's teams return to it, after a first eviction."""
        return _SETTLING_INTERVALS * self.detector.report_s

    def decide(
        self, now: float, wall_clock_s: float, own: TeamAssignment | None
    ) -> list[MembershipChange]:
        """Assess the other controllers and return the changes to commit now, in order.

        Args:
            now: on the steady clock.
            wall_clock_s: the time of day.
            own: this controller and the incarnation of this process, if its lease is valid and it
                can write to the store; else None.
        """
        self._health.update(now)
        self._record_assignments(now)
        if own is None or not self._is_roster_writable:
            self._writable_since = None
            self._condition_since.clear()
            return []
        if self._writable_since is None:
            self._writable_since = now
        own_member = self._cache.roster.get(self.node)
        if (
            own_member is None
            or own_member.state == OUT
            or own_member.incarnation < own.incarnation
        ):
            return [MembershipChange(ChangeKind.JOIN)]
        if own_member.incarnation > own.incarnation:
            return []  # a later process of this controller has joined
        if own_member.state == SUSPECT:
            return [MembershipChange(ChangeKind.REFUTE)]
        return [
            *self._team_claims(now, self._writable_since, own),
            *self._member_changes(now),
            *self._team_returns(now, wall_clock_s),
        ]

    def is_stable(self, now: float) -> bool:
        """Return whether all members, including this one, have been healthy long enough."""
        return self._health.all_healthy_s(now) >= _STABLE_INTERVALS * self.detector.report_s

    def transition(
        self, change: MembershipChange, cache: StateCache, own: TeamAssignment, wall_clock_s: float
    ) -> RosterTransition:
        """Return the roster transition that carries out a change on the current records.

        Args:
            change: a change that `decide` returned.
            cache: the records.
            own: this controller and the incarnation of this process.
            wall_clock_s: the time of day.

        Raises:
            PreconditionFailedError: the observation behind the change is out of date.
        """
        context = ChangeContext(own, self.homes, wall_clock_s, self.settling_time_s)
        return build_transition(change, RosterRecords.from_cache(cache), context)

    @property
    def _is_roster_writable(self) -> bool:
        """Whether the schema has a roster and this version can read it."""
        return self._cache.schema_version != SCHEMA_V1 and ROSTER_KEY not in self._cache.unreadable

    def _record_assignments(self, now: float) -> None:
        if self._cache.assignments != self._assignments:
            self._assignments = dict(self._cache.assignments)
            self._reassigned_at = now

    # Claims of teams

    def _team_claims(
        self, now: float, writable_since: float, own: TeamAssignment
    ) -> list[MembershipChange]:
        """Return claims of this controller's teams that are not assigned to this process yet."""
        home_joining = now - writable_since < _HOME_JOIN_INTERVALS * self.detector.report_s
        changes = []
        for team, home in self.homes.items():
            assignment = self._cache.assignments.get(team)
            if assignment == own:
                continue
            if rightful_assignee(team, home, RosterRecords.from_cache(self._cache)) != self.node:
                continue
            if assignment is None and home != self.node and home_joining:
                continue
            changes.append(MembershipChange(ChangeKind.CLAIM, team))
        return changes

    # Changes of other members

    def _member_changes(self, now: float) -> list[MembershipChange]:
        """Return the changes of other members' states that follow from their health."""
        changes = []
        active: set[_ConditionKey] = set()
        for node, member in self._cache.roster.items():
            if node == self.node or member.state == OUT:
                continue
            assessment = self._health.member_assessment(node)
            if assessment is None:
                continue
            kind = self._member_change(node, member, assessment, now, active)
            if kind is None:
                continue
            key = _ConditionKey(kind.value, node, member.incarnation, member.refutations)
            active.add(key)
            if self._is_rank_delay_over(now, key):
                changes.append(MembershipChange(kind, node, member, assessment.evidence))
        self._condition_since = {
            key: since for key, since in self._condition_since.items() if key in active
        }
        return changes

    def _member_change(
        self,
        node: str,
        member: Member,
        assessment: HealthAssessment,
        now: float,
        active: set[_ConditionKey],
    ) -> ChangeKind | None:
        """Return the kind of change due for a member in state IN or SUSPECT, or None.

        The conditions whose duration matters are added to `active`.
        """
        if assessment.level is HealthLevel.EXPIRED:
            return ChangeKind.EVICT
        if self.detector.is_late or not self.detector.is_warmed_up(now):
            return None  # this process itself may be the cause of the silence
        if member.state == SUSPECT and assessment.can_serve:
            return ChangeKind.CLEAR

        def condition_age_s(condition: str) -> float:
            key = _ConditionKey(condition, node, member.incarnation, member.refutations)
            active.add(key)
            return now - self._condition_since.setdefault(key, now)

        report_s = self.detector.report_s
        if assessment.level is HealthLevel.UNREADY:
            failed = condition_age_s("unready") >= _UNREADY_TOLERANCE_INTERVALS * report_s
        else:
            failed = self._has_failed(assessment)
        if member.state == IN:
            return ChangeKind.SUSPECT if failed else None
        refutation_time_over = (
            assessment.level is HealthLevel.LEAVING
            or condition_age_s("suspected") >= _REFUTATION_INTERVALS * report_s
        )
        return ChangeKind.EVICT if failed and refutation_time_over else None

    def _has_failed(self, assessment: HealthAssessment) -> bool:
        """Return whether a member is leaving, or enough witnesses show that it has failed."""
        if assessment.level is not HealthLevel.SUSPECT:
            return assessment.level is HealthLevel.LEAVING
        tolerated_s = _SILENCE_TOLERANCE_INTERVALS * self.detector.report_s
        tolerance_exceeded = assessment.all_refused or assessment.silent_s >= tolerated_s
        return assessment.witnesses >= _MIN_WITNESSES and tolerance_exceeded

    def _is_rank_delay_over(self, now: float, key: _ConditionKey) -> bool:
        """Return whether the condition has held for this controller's rank delay.

        The healthy members try in order, each after a delay that grows with its rank, so that a
        member acts only if those before it did not.
        """
        due_since = self._condition_since.setdefault(key, now)
        rank = sum(node < self.node for node in self._health.serving_members())
        return now - due_since >= rank * _RANK_DELAY_HEARTBEATS * self.detector.heartbeat_interval_s

    # Returns of teams to their homes

    def _team_returns(self, now: float, wall_clock_s: float) -> list[MembershipChange]:
        """Return a change that moves one team to its home, if the cluster has been stable."""
        stable_s = _STABLE_INTERVALS * self.detector.report_s
        if not self.is_stable(now) or now - self._reassigned_at < stable_s:
            return []
        if min(self._health.serving_members(), default="") != self.node:
            return []
        for team, home in self.homes.items():
            assignment = self._cache.assignments.get(team)
            if assignment is None or assignment.node == home:
                continue
            if self._is_home_ready(home, wall_clock_s):
                return [MembershipChange(ChangeKind.RETURN, team, assignment, assignee=home)]
        return []

    def _is_home_ready(self, home: str, wall_clock_s: float) -> bool:
        """Return whether a team's home is healthy and its settling time in state IN is over."""
        member = self._cache.roster.get(home)
        if member is None or member.state != IN:
            return False
        if home != self.node and self.assessments[home].level is not HealthLevel.HEALTHY:
            return False
        return wall_clock_s - member.since >= settling_time_s(member, self.settling_time_s)
