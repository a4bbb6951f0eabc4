"""The one routine of membership: it hears beats, tells the time, and commits what is decided."""

import logging
from collections.abc import Callable, Mapping
from typing import Protocol

import anyio

from sandladder import clock
from sandladder.concurrency import Signal
from sandladder.membership import roster
from sandladder.membership.failure_detector import HealthAssessment, HealthLevel, PeerStatus
from sandladder.membership.policy import MembershipChange, MembershipPolicy
from sandladder.membership.roster import RosterRecords
from sandladder.membership.worker_assignment import WorkerLoad
from sandladder.model import IN, SUSPECT, MachineInventory, Member, TeamAssignment
from sandladder.state import (
    P_HOLD,
    GroupCommitter,
    LeaseExpiredError,
    PendingChange,
    PreconditionFailedError,
    StateCache,
    StoreLimits,
    Transaction,
)

log = logging.getLogger(__name__)

# The routine looks so many times in the time between two beats.
_LOOKS = 2


class LeaseStatus(Protocol):
    """What is asked of this controller's own hold."""

    def alive(self) -> bool: ...


class MembershipService:
    """This controller's part in knowing who lives, and who places which team."""

    def __init__(
        self,
        policy: MembershipPolicy,
        zones: Mapping[str, str],
        cache: StateCache,
        committer: GroupCommitter,
        hold: LeaseStatus,
        reaches: Callable[[], bool],
        limits: StoreLimits,
        wall: Callable[[], float],
        moved: Callable[[], None],
        doubted: Callable[[frozenset[str]], None],
    ) -> None:
        """`zones` of the controllers; `reaches` tells whether the state service answers us of late;
        `moved` is called when a team came to us or went, `doubted` with the controllers that cannot
        do their part, whenever these change.
        """
        self.policy, self.detector = policy, policy.detector
        self.node = policy.node
        self._zones = zones
        self.own: TeamAssignment | None = None  # this process, once it has entered
        self.leaving = False
        self.due = Signal()
        self._mirror, self._committer, self._hold = cache, committer, hold
        self._reaches, self._limits, self._wall, self._moved = reaches, limits, wall, moved
        self._doubted, self._doubts = doubted, frozenset[str]()
        self._under_way: set[tuple[str, str]] = set()
        self._inventories: dict[str, MachineInventory] = {}
        self._members: dict[str, Member] = {}

    # What comes in

    def entered(self, term: int) -> None:
        """The process got its first term: no other process ever has it."""
        if self.own is None:
            self.own = TeamAssignment(self.node, term)
        self.due.set()

    def hear(self, node: str, word: PeerStatus) -> None:
        """A peer's beat came."""
        self.detector.heartbeat(node, word, clock.now())

    def link(self, node: str, refused: bool) -> None:
        """The link to a peer broke, or was made anew; `refused`: nobody listens there."""
        self.detector.refused(node, refused)
        self.due.set()

    def observe(self, now: float) -> None:
        """The records changed: note who wrote something, and whether we are doubted."""
        for node, inventory in self._mirror.nodes.items():
            if self._inventories.get(node) is not inventory:
                self._inventories[node] = inventory
                self.detector.wrote(node, now)
        if self._mirror.roster is self._members:
            return
        before, self._members = self._members, self._mirror.roster
        for node, member in self._members.items():
            known = before.get(node)
            if known is None or (member.term, member.refuted) > (known.term, known.refuted):
                self.detector.wrote(node, now)
            if known is None or known.state != member.state:
                self.due.set()

    # What others ask

    def assignee(self, team: str) -> str | None:
        """The member that should hear of what concerns a team."""
        home = self.policy.homes.get(team, self.node)
        return roster.rightful(team, home, RosterRecords.of(self._mirror))

    def members(self) -> list[str]:
        """The controllers that take part by the roster, in order; the same for all."""
        return [n for n, m in sorted(self._mirror.roster.items()) if m.state in (IN, SUSPECT)]

    def loads(self, ours: int, token: int) -> dict[str, WorkerLoad]:
        """The controllers that can take machines; `ours` report to us, under this term."""
        found = {self.node: WorkerLoad(self._zones[self.node], ours, token)}
        for node, finding in self.policy.findings.items():
            word, member = self.detector.word(node), self._mirror.roster.get(node)
            if (
                finding.grade is HealthLevel.LIVE
                and word is not None
                and word.machines is not None
                and member is not None
                and member.state == IN
            ):
                found[node] = WorkerLoad(self._zones[node], word.machines, word.token)
        return found

    def heard_elsewhere(self) -> bool:
        """Whether machines report to some other controller that we hear."""
        words = (self.detector.word(node) for node in self.able())
        return any(word is not None and word.machines for word in words)

    def finding(self, node: str) -> HealthAssessment | None:
        """What we make of a peer, with the evidence."""
        return self.policy.findings.get(node)

    def able(self) -> list[str]:
        """The peers that can be given something to do, the live ones if there are any."""
        found = self.policy.findings
        live = [node for node, finding in found.items() if finding.grade is HealthLevel.LIVE]
        return live or [node for node, finding in found.items() if finding.able]

    # The routine

    async def leave(self, within_s: float) -> None:
        """Hand over what is placed here before this process ends, if that is soon done."""
        self.leaving = True
        if self.own is not None and self._hold.alive():
            with anyio.move_on_after(within_s):
                await self._commit(MembershipChange("leave"))

    async def run(self) -> None:
        """Judge and act until cancelled."""
        tick = self.detector.heartbeat_interval_s / _LOOKS
        async with anyio.create_task_group() as tasks:
            while True:
                asked = clock.now()
                await self.due.wait(tick)
                now = clock.now()
                if now - asked >= tick:  # else somebody woke us before the time
                    self.detector.woke(now - asked - tick, now)
                # Nothing is decided that cannot be written.  Seen in a measured day: what each
                # had decided of the others in an outage was written when it was over.
                may = self._hold.alive() and self._reaches() and not self.leaving
                own = self.own if may else None
                acts = self.policy.step(now, self._wall(), own)
                self._tell_doubts()
                for act in acts:
                    if (act.kind, act.name) not in self._under_way:
                        self._under_way.add((act.kind, act.name))
                        tasks.start_soon(self._commit, act)

    def _tell_doubts(self) -> None:
        doubts = frozenset(
            node
            for node, found in self.policy.findings.items()
            if found.grade >= HealthLevel.UNABLE
        )
        if doubts != self._doubts:
            self._doubts = doubts
            self._doubted(doubts)

    async def _commit(self, act: MembershipChange) -> None:
        """Write what was decided, unless the records have moved on."""
        # The answer to a suspicion and a hand-over are what people wait for.
        teams = len(self.policy.homes) if act.kind in ("enter", "leave", "expel") else 0
        cost = min(1 + teams, self._limits.txn_ops)
        change = PendingChange(
            f"{act.kind} {act.name or self.node}", P_HOLD, cost, self._apply(act)
        )
        try:
            await self._committer.add(change).wait()
        except (PreconditionFailedError, LeaseExpiredError) as refusal:
            log.info("%s: %s", change.name, refusal)
        else:
            self._tell(act)
            self._moved()
        finally:
            self._under_way.discard((act.kind, act.name))

    def _tell(self, act: MembershipChange) -> None:
        if act.kind == "take":
            log.info("this controller places %s", act.name)
        elif act.kind == "give":
            log.info("%s goes home to %s", act.name, act.to)
        elif act.kind in ("accuse", "expel"):
            says = "is doubted" if act.kind == "accuse" else "is given up"
            log.warning("%s %s: %s", act.name, says, act.why)
        else:
            log.info("%s in the roster: %s", act.kind, act.name or self.node)

    def _apply(self, act: MembershipChange) -> Callable[[Transaction], bool]:
        """The change of the records that an act is, evaluated on them as they stand then."""
        own, most, wall = self.own, self._limits.txn_ops, self._wall()
        assert own is not None

        def apply(transaction: Transaction) -> bool:
            return roster.write(
                transaction, self.policy.move(act, transaction.cache, own, wall), most
            )

        return apply
