"""The membership policy: what one controller writes into the roster about the others, and when.

Preparation follows suspicion; what can be taken back follows two witnesses and a moment for the
suspect to refute in the state service; and only the end of a lease is a verdict.

Pure: `MembershipService` gives the times and commits what is decided here.  Times are in seconds on
the steady clock, except the time of day, which is called `wall`.
"""

from collections.abc import Iterable
from typing import NamedTuple

from sandladder.membership.changes import (
    ChangeContext,
    ChangeKind,
    MembershipChange,
    transition_of,
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

# In intervals between an agent's heartbeats (`report_s`):
# A silence that may be a moment's slowness is tolerated for so long; one of a controller that
# refused the connection to all who tried is not.
_TOLERATED_SILENCE = 1.0
# How long a controller must have been without the state service, by its own status.
_TOLERATED_UNREADINESS = 0.5
# How long a suspect has to refute in the state service.
_REFUTATION_TIME = 0.25
# How long all must have been healthy before one more team goes home.
_STABLE_TIME = 1.0
# How long a team without any record waits for its home to join.
_HOME_JOIN_TIME = 0.5
# How long a member must have been healthy before it gets its teams back, the first time.
_SETTLING_TIME = 2.0

# In heartbeat intervals of controllers: whoever is next in order waits so much longer than the one
# before.
_RANK_DELAY = 2.0
# Independent witnesses that it takes to suspect a silent member.
_MIN_WITNESSES = 2


class _PendingKey(NamedTuple):
    """A condition on a member in one incarnation that must last before something follows."""

    condition: str
    node: str
    incarnation: int
    refuted: int


class MembershipPolicy:
    """Decides for one controller."""

    def __init__(
        self, detector: FailureDetector, nodes: list[str], teams: Iterable[str], cache: StateCache
    ) -> None:
        """Decide on the assessments of `detector` and on the records in `cache`.

        Args:
            detector: judges the other controllers.
            nodes: all controllers of the settings, in order.
            teams: all teams of the settings, in order.
            cache: the records as this process knows them.
        """
        self.detector = detector
        self.node = detector.node
        self.homes = home_controllers(teams, nodes)
        self._cache = cache
        self._health = MemberHealth(detector, cache)
        # Since when each condition has lasted.
        self._pending_since: dict[_PendingKey, float] = {}
        self._assignments: dict[str, TeamAssignment] = {}
        self._reassigned_at = 0.0  # when an assignment last changed
        self._able_since: float | None = None  # since when this process could have acted

    @property
    def assessments(self) -> dict[str, HealthAssessment]:
        """The latest assessment of each peer, by name; empty before the first decision."""
        return self._health.assessments

    @property
    def settling_time_s(self) -> float:
        """How long a member must have been healthy, the first time, to get its teams back."""
        return _SETTLING_TIME * self.detector.report_s

    def decide(self, now: float, wall: float, own: TeamAssignment | None) -> list[MembershipChange]:
        """Judge the others and return what to commit now, in order.

        Args:
            now: on the steady clock.
            wall: the time of day.
            own: this process if it may act: its lease lasts and it could write.
        """
        self._health.update(now)
        self._note_assignments(now)
        if own is None or not self._roster_usable:
            self._able_since = None
            self._pending_since.clear()
            return []
        if self._able_since is None:
            self._able_since = now
        me = self._cache.roster.get(self.node)
        if me is None or me.state == OUT or me.incarnation < own.incarnation:
            return [MembershipChange(ChangeKind.JOIN)]
        if me.incarnation > own.incarnation:
            return []  # a later process runs under this name
        if me.state == SUSPECT:
            return [MembershipChange(ChangeKind.REFUTE)]
        return [
            *self._claims(now, self._able_since, own),
            *self._changes_of_others(now),
            *self._returns(now, wall),
        ]

    def is_stable(self, now: float) -> bool:
        """Whether all members, this one among them, have been healthy for a while."""
        return self._health.all_healthy_s(now) >= _STABLE_TIME * self.detector.report_s

    def transition(
        self, change: MembershipChange, cache: StateCache, own: TeamAssignment, wall: float
    ) -> RosterTransition:
        """The transition that a change is of the records as they are when it is tried.

        Args:
            change: what was decided.
            cache: the records.
            own: this process.
            wall: the time of day.

        Raises:
            PreconditionFailedError: what the change was decided on is no longer so.
        """
        context = ChangeContext(own, self.homes, wall, self.settling_time_s)
        return transition_of(change, RosterRecords.of(cache), context)

    @property
    def _roster_usable(self) -> bool:
        """Whether there is a roster to write: the schema has one, and it can be read."""
        return self._cache.schema_version != SCHEMA_V1 and ROSTER_KEY not in self._cache.unreadable

    def _note_assignments(self, now: float) -> None:
        if self._cache.assignments != self._assignments:
            self._assignments = dict(self._cache.assignments)
            self._reassigned_at = now

    # Teams that become this controller's

    def _claims(self, now: float, able_since: float, own: TeamAssignment) -> list[MembershipChange]:
        """Claims of the teams that are this controller's, and not yet assigned to its process."""
        home_joining = now - able_since < _HOME_JOIN_TIME * self.detector.report_s
        changes = []
        for team, home in self.homes.items():
            assignment = self._cache.assignments.get(team)
            if assignment == own:
                continue
            if rightful_assignee(team, home, RosterRecords.of(self._cache)) != self.node:
                continue
            if assignment is None and home != self.node and home_joining:
                continue
            changes.append(MembershipChange(ChangeKind.CLAIM, team))
        return changes

    # Other members

    def _changes_of_others(self, now: float) -> list[MembershipChange]:
        """What the others' health asks for."""
        changes = []
        lasting: set[_PendingKey] = set()
        for node, member in self._cache.roster.items():
            if node == self.node or member.state == OUT:
                continue
            assessment = self._health.of_member(node)
            if assessment is None:
                continue
            kind = self._change_of(node, member, assessment, now, lasting)
            if kind is None:
                continue
            key = _PendingKey(kind.value, node, member.incarnation, member.refutations)
            lasting.add(key)
            if self._is_our_turn(now, key):
                changes.append(MembershipChange(kind, node, member, assessment.evidence))
        self._pending_since = {
            key: since for key, since in self._pending_since.items() if key in lasting
        }
        return changes

    def _change_of(
        self,
        node: str,
        member: Member,
        assessment: HealthAssessment,
        now: float,
        lasting: set[_PendingKey],
    ) -> ChangeKind | None:
        """What is to become of a member that is in or suspected, if anything.

        The conditions that this rests on are added to `lasting`.
        """
        if assessment.level is HealthLevel.EXPIRED:
            return ChangeKind.EVICT
        if self.detector.is_late or not self.detector.is_warmed_up(now):
            return None  # the fault may be this process's own
        if member.state == SUSPECT and assessment.can_serve:
            return ChangeKind.CLEAR

        def lasted_s(condition: str) -> float:
            key = _PendingKey(condition, node, member.incarnation, member.refutations)
            lasting.add(key)
            return now - self._pending_since.setdefault(key, now)

        report_s = self.detector.report_s
        if assessment.level is HealthLevel.UNREADY:
            failed = lasted_s("unready") >= _TOLERATED_UNREADINESS * report_s
        else:
            failed = self._has_failed(assessment)
        if member.state == IN:
            return ChangeKind.SUSPECT if failed else None
        could_refute = (
            assessment.level is HealthLevel.LEAVING
            or lasted_s("suspected") >= _REFUTATION_TIME * report_s
        )
        return ChangeKind.EVICT if failed and could_refute else None

    def _has_failed(self, assessment: HealthAssessment) -> bool:
        """Whether a member is to be suspected at once: it leaves, or enough witnesses say so."""
        if assessment.level is not HealthLevel.SUSPECT:
            return assessment.level is HealthLevel.LEAVING
        tolerated_s = _TOLERATED_SILENCE * self.detector.report_s
        intolerable = assessment.all_refused or assessment.silent_s >= tolerated_s
        return assessment.witnesses >= _MIN_WITNESSES and intolerable

    def _is_our_turn(self, now: float, key: _PendingKey) -> bool:
        """Whether this controller is to do what has been due since this was first asked.

        One is enough: the first healthy member in order does it, and whoever follows only if that
        one does not.
        """
        due_since = self._pending_since.setdefault(key, now)
        rank = sum(node < self.node for node in self._health.serving_members())
        return now - due_since >= rank * _RANK_DELAY * self.detector.heartbeat_interval_s

    # Teams that go home

    def _returns(self, now: float, wall: float) -> list[MembershipChange]:
        """The return of one team to its home, when all have been healthy for a while."""
        stable_s = _STABLE_TIME * self.detector.report_s
        if not self.is_stable(now) or now - self._reassigned_at < stable_s:
            return []
        if min(self._health.serving_members(), default="") != self.node:
            return []
        for team, home in self.homes.items():
            assignment = self._cache.assignments.get(team)
            if assignment is None or assignment.node == home:
                continue
            if self._may_go_home(home, wall):
                return [MembershipChange(ChangeKind.RETURN, team, assignment, assignee=home)]
        return []

    def _may_go_home(self, home: str, wall: float) -> bool:
        """Whether a team's home is in, healthy, and has been for its settling time."""
        member = self._cache.roster.get(home)
        if member is None or member.state != IN:
            return False
        if home != self.node and self.assessments[home].level is not HealthLevel.HEALTHY:
            return False
        return wall - member.since >= settling_time_s(member, self.settling_time_s)
