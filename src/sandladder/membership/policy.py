"""What a controller does about the others: what to write into the roster, and when.

Preparation follows suspicion, what can be taken back follows two witnesses and a moment for the
accused to answer in the state service, and only the end of a hold is a verdict.  Pure: the duty
tells the time and commits what is decided here.
"""

import logging
import math
from collections.abc import Iterable
from typing import NamedTuple

from sandladder.membership import roster
from sandladder.membership.failure_detector import FailureDetector, HealthAssessment, HealthLevel
from sandladder.membership.roster import RosterRecords, RosterTransition, homes, rightful, settle_s
from sandladder.model import IN, OUT, SCHEMA_V1, SUSPECT, Member, TeamAssignment
from sandladder.state import ROSTER, StateCache

log = logging.getLogger(__name__)

# A silence that may be a moment's slowness is borne for a report interval; one that was refused
# the connection by all who tried is not.  In report intervals:
_BORNE = 1.0
# How long a controller must have been without the state service, by its own word.
_UNABLE = 0.5
# How long an accused has to answer in the state service.
_ANSWER = 0.25
# How long all must have been well before one more team goes home.
_CALM = 1.0
# How long a team without any record waits for its home to enter.
_FIRST = 0.5
# How long a member must have been well before it gets back what it had.
_SETTLED = 2.0
# Whoever is next in order waits so many beats longer than the one before.
_TURN = 2.0


_Key = tuple[str, str, int, int]  # what, of which member, in which incarnation


class MembershipChange(NamedTuple):
    """Something to be committed: what, about whom, and what was seen of them."""

    kind: str  # enter, leave, refute, accuse, acquit, expel, take or give
    name: str = ""  # the member, or the team
    seen: Member | TeamAssignment | None = None
    why: str = ""
    to: str = ""  # give: the member that gets the team


class MembershipPolicy:
    """Decides for one controller."""

    def __init__(
        self, detector: FailureDetector, nodes: list[str], teams: Iterable[str], cache: StateCache
    ) -> None:
        self.detector = detector
        self.node = detector.node
        self.homes = homes(teams, nodes)
        self._mirror = cache
        self.findings: dict[str, HealthAssessment] = {}
        # When something was first seen to be due, by what it is about.
        self._due: dict[_Key, float] = {}
        self._moved_at = 0.0
        self._placers: dict[str, TeamAssignment] = {}
        self._ill_at = math.inf  # when something was last not well
        self._well_since: float | None = None  # since when we could have acted

    @property
    def settled_s(self) -> float:
        """How long a member must have been well, the first time, to get back what it had."""
        return _SETTLED * self.detector.report_s

    def step(self, now: float, wall: float, own: TeamAssignment | None) -> list[MembershipChange]:
        """What to do now. `own` is this process if it may act: its hold lasts."""
        self._judge(now)
        if self._mirror.assignments != self._placers:
            self._placers, self._moved_at = dict(self._mirror.assignments), now
        if (
            own is None
            or self._mirror.schema_version == SCHEMA_V1
            or ROSTER in self._mirror.unreadable
        ):
            self._well_since = None
            self._due.clear()
            return []
        if self._well_since is None:
            self._well_since = now
        me = self._mirror.roster.get(self.node)
        if me is None or me.state == OUT or me.term < own.term:
            return [MembershipChange("enter")]
        if me.term > own.term:
            return []  # a later process runs under our name
        if me.state == SUSPECT:
            return [MembershipChange("refute")]
        return [*self._take(now, own), *self._watch(now), *self._give(now, wall)]

    def _judge(self, now: float) -> None:
        """Grade the others; a change is one line in the log, with the evidence."""
        self.detector.holds(self._mirror.nodes.keys() | self._mirror.unreadable_nodes)
        known = self.detector.peers()
        for node in known:
            found = self.detector.judge(node, now)
            before = self.findings.get(node)
            self.findings[node] = found
            if before is None or before.grade != found.grade:
                reason = f": {found.why}" if found.why else ""
                was = f", was {before.grade.name.lower()}" if before is not None else ""
                log.info("%s is %s%s%s", node, found.grade.name.lower(), was, reason)
        ill = self.detector.late or any(
            member.state == SUSPECT
            or (member.state == IN and node in self.findings and not self.findings[node].able)
            for node, member in self._mirror.roster.items()
        )
        if ill or self._ill_at == math.inf:
            self._ill_at = now

    def _turn(self, now: float, key: _Key) -> bool:
        """Whether it is our turn to do what has been due since we first asked.

        One is enough: the first in order that is well does it, and whoever follows only if that
        one does not.
        """
        since = self._due.setdefault(key, now)
        rank = sum(
            1
            for node, member in self._mirror.roster.items()
            if node < self.node and member.state == IN and self._able(node)
        )
        return now - since >= rank * _TURN * self.detector.heartbeat_interval_s

    def _able(self, node: str) -> bool:
        found = self.findings.get(node)
        return node == self.node or (found is not None and found.able)

    def _take(self, now: float, own: TeamAssignment) -> list[MembershipChange]:
        """Teams that are ours by the records, and that our process does not place yet."""
        assert self._well_since is not None
        acts = []
        for team, home in self.homes.items():
            assignment = self._mirror.assignments.get(team)
            if (
                assignment == own
                or rightful(team, home, RosterRecords.of(self._mirror)) != self.node
            ):
                continue
            first = assignment is None and home != self.node
            if first and now - self._well_since < _FIRST * self.detector.report_s:
                continue  # its home is about to enter
            acts.append(MembershipChange("take", team))
        return acts

    def _watch(self, now: float) -> list[MembershipChange]:
        """What the others' state asks for."""
        acts = []
        live: set[_Key] = set()
        for node, member in self._mirror.roster.items():
            found = self.findings.get(node)
            if node == self.node or member.state == OUT:
                continue
            if found is None:
                # Named by no settings of ours; its hold alone says whether it lives.
                if node in self._mirror.nodes:
                    continue
                found = HealthAssessment(HealthLevel.ENDED, "it holds nothing in the state service")
            kind = self._wanted(node, found, member, now, live)
            if kind is None:
                continue
            key = (kind, node, member.term, member.refuted)
            live.add(key)
            if self._turn(now, key):
                acts.append(MembershipChange(kind, node, member, found.why))
        self._due = {key: at for key, at in self._due.items() if key in live}
        return acts

    def _wanted(
        self, node: str, found: HealthAssessment, member: Member, now: float, live: set[_Key]
    ) -> str | None:
        """What is to become of a member that is in or under suspicion, or None."""
        detector = self.detector
        if found.grade is HealthLevel.ENDED:
            return "expel"
        if detector.late or not detector.collected(now):
            return None  # we distrust ourselves first
        if member.state == SUSPECT and found.able:
            return "acquit"

        def lasted(kind: str) -> float:
            key = (kind, node, member.term, member.refuted)
            live.add(key)
            return now - self._due.setdefault(key, now)

        if found.grade is HealthLevel.UNABLE:
            ripe = lasted("unable") >= _UNABLE * detector.report_s
        elif found.grade is HealthLevel.SUSPECT:
            borne = found.refused or found.silent_s >= _BORNE * detector.report_s
            ripe = found.against >= 2 and borne
        else:
            ripe = found.grade is HealthLevel.LEFT
        if member.state == IN:
            return "accuse" if ripe else None
        answered = (
            found.grade is HealthLevel.LEFT or lasted("answer") >= _ANSWER * detector.report_s
        )
        return "expel" if ripe and answered else None

    def calm(self, now: float) -> bool:
        """Whether all that take part have been well for a while, we among them."""
        return now - self._ill_at >= _CALM * self.detector.report_s

    def _give(self, now: float, wall: float) -> list[MembershipChange]:
        """One team goes home, when all have been well for a while."""
        detector, members = self.detector, self._mirror.roster
        if not self.calm(now) or now - self._moved_at < _CALM * detector.report_s:
            return []
        first = min((n for n, m in members.items() if m.state == IN and self._able(n)), default="")
        if first != self.node:
            return []
        for team, home in self.homes.items():
            assignment, member = self._mirror.assignments.get(team), members.get(home)
            if (
                assignment is None
                or assignment.node == home
                or member is None
                or member.state != IN
            ):
                continue
            if home != self.node and self.findings[home].grade is not HealthLevel.LIVE:
                continue
            if wall - member.since >= settle_s(member, self.settled_s):
                return [MembershipChange("give", team, assignment, to=home)]
        return []

    def move(
        self, act: MembershipChange, cache: StateCache, own: TeamAssignment, wall: float
    ) -> RosterTransition:
        """The change of the records that an act is, on these records; refuses what fell away."""
        records, seen = RosterRecords.of(cache), act.seen
        if act.kind == "enter":
            return roster.enter(records, self.node, own.term, wall, self.homes)
        if act.kind == "leave":
            return roster.leave(records, self.node, own.term, wall)
        if act.kind == "refute":
            return roster.refute(records, self.node, own.term)
        if act.kind == "take":
            return roster.take(records, act.name, self.homes.get(act.name, self.node), own)
        if isinstance(seen, TeamAssignment):
            return roster.give(records, act.name, act.to, seen)
        assert isinstance(seen, Member)
        if act.kind == "accuse":
            return roster.accuse(records, act.name, seen, act.why)
        if act.kind == "acquit":
            return roster.acquit(records, act.name, seen)
        return roster.expel(records, act.name, seen, act.why, wall, self.settled_s)
