"""The one routine of membership: it hears beats, tells the time, and commits what is decided."""

import logging
from collections.abc import Callable, Mapping
from typing import Protocol

import anyio

from sandladder import clock
from sandladder.concurrency import Signal
from sandladder.membership import roster
from sandladder.membership.grading import Finding, Grade, Word
from sandladder.membership.roster import Records
from sandladder.membership.spread import Load
from sandladder.membership.steward import Act, Steward
from sandladder.model.machines import Summary
from sandladder.model.membership import IN, SUSPECT, Member, Placer
from sandladder.state.cache import Mirror
from sandladder.state.errors import NoLease, Refused
from sandladder.state.group_commit import P_HOLD, Change, Committer
from sandladder.state.store_limits import Limits
from sandladder.state.transaction import View

log = logging.getLogger(__name__)

# The routine looks so many times in the time between two beats.
_LOOKS = 2


class Standing(Protocol):
    """What is asked of this controller's own hold."""

    def alive(self) -> bool: ...


class Membership:
    """This controller's part in knowing who lives, and who places which team."""

    def __init__(
        self,
        steward: Steward,
        zones: Mapping[str, str],
        mirror: Mirror,
        committer: Committer,
        hold: Standing,
        reaches: Callable[[], bool],
        limits: Limits,
        wall: Callable[[], float],
        moved: Callable[[], None],
        doubted: Callable[[frozenset[str]], None],
    ) -> None:
        """`zones` of the controllers; `reaches` tells whether the state service answers us of late;
        `moved` is called when a team came to us or went, `doubted` with the controllers that cannot
        do their part, whenever these change.
        """
        self.steward, self.ears = steward, steward.ears
        self.node = steward.node
        self._zones = zones
        self.own: Placer | None = None  # this process, once it has entered
        self.leaving = False
        self.due = Signal()
        self._mirror, self._committer, self._hold = mirror, committer, hold
        self._reaches, self._limits, self._wall, self._moved = reaches, limits, wall, moved
        self._doubted, self._doubts = doubted, frozenset[str]()
        self._under_way: set[tuple[str, str]] = set()
        self._summaries: dict[str, Summary] = {}
        self._members: dict[str, Member] = {}

    # What comes in

    def entered(self, term: int) -> None:
        """The process got its first term: no other process ever has it."""
        if self.own is None:
            self.own = Placer(self.node, term)
        self.due.set()

    def hear(self, node: str, word: Word) -> None:
        """A peer's beat came."""
        self.ears.beat(node, word, clock.now())

    def link(self, node: str, refused: bool) -> None:
        """The link to a peer broke, or was made anew; `refused`: nobody listens there."""
        self.ears.refused(node, refused)
        self.due.set()

    def observe(self, now: float) -> None:
        """The records changed: note who wrote something, and whether we are doubted."""
        for node, summary in self._mirror.nodes.items():
            if self._summaries.get(node) is not summary:
                self._summaries[node] = summary
                self.ears.wrote(node, now)
        if self._mirror.roster is self._members:
            return
        before, self._members = self._members, self._mirror.roster
        for node, member in self._members.items():
            known = before.get(node)
            if known is None or (member.term, member.refuted) > (known.term, known.refuted):
                self.ears.wrote(node, now)
            if known is None or known.state != member.state:
                self.due.set()

    # What others ask

    def owner(self, team: str) -> str | None:
        """The member that should hear of what concerns a team."""
        home = self.steward.homes.get(team, self.node)
        return roster.rightful(team, home, Records.of(self._mirror))

    def members(self) -> list[str]:
        """The controllers that take part by the roster, in order; the same for all."""
        return [n for n, m in sorted(self._mirror.roster.items()) if m.state in (IN, SUSPECT)]

    def loads(self, ours: int, token: int) -> dict[str, Load]:
        """The controllers that can take machines; `ours` report to us, under this term."""
        found = {self.node: Load(self._zones[self.node], ours, token)}
        for node, finding in self.steward.findings.items():
            word, member = self.ears.word(node), self._mirror.roster.get(node)
            if (
                finding.grade is Grade.LIVE
                and word is not None
                and word.machines is not None
                and member is not None
                and member.state == IN
            ):
                found[node] = Load(self._zones[node], word.machines, word.token)
        return found

    def heard_elsewhere(self) -> bool:
        """Whether machines report to some other controller that we hear."""
        words = (self.ears.word(node) for node in self.able())
        return any(word is not None and word.machines for word in words)

    def finding(self, node: str) -> Finding | None:
        """What we make of a peer, with the evidence."""
        return self.steward.findings.get(node)

    def able(self) -> list[str]:
        """The peers that can be given something to do, the live ones if there are any."""
        found = self.steward.findings
        live = [node for node, finding in found.items() if finding.grade is Grade.LIVE]
        return live or [node for node, finding in found.items() if finding.able]

    # The routine

    async def leave(self, within_s: float) -> None:
        """Hand over what is placed here before this process ends, if that is soon done."""
        self.leaving = True
        if self.own is not None and self._hold.alive():
            with anyio.move_on_after(within_s):
                await self._commit(Act("leave"))

    async def run(self) -> None:
        """Judge and act until cancelled."""
        tick = self.ears.beat_s / _LOOKS
        async with anyio.create_task_group() as tasks:
            while True:
                asked = clock.now()
                await self.due.wait(tick)
                now = clock.now()
                if now - asked >= tick:  # else somebody woke us before the time
                    self.ears.woke(now - asked - tick, now)
                # Nothing is decided that cannot be written.  Seen in a measured day: what each
                # had decided of the others in an outage was written when it was over.
                may = self._hold.alive() and self._reaches() and not self.leaving
                own = self.own if may else None
                acts = self.steward.step(now, self._wall(), own)
                self._tell_doubts()
                for act in acts:
                    if (act.kind, act.name) not in self._under_way:
                        self._under_way.add((act.kind, act.name))
                        tasks.start_soon(self._commit, act)

    def _tell_doubts(self) -> None:
        doubts = frozenset(
            node for node, found in self.steward.findings.items() if found.grade >= Grade.UNABLE
        )
        if doubts != self._doubts:
            self._doubts = doubts
            self._doubted(doubts)

    async def _commit(self, act: Act) -> None:
        """Write what was decided, unless the records have moved on."""
        # The answer to a suspicion and a hand-over are what people wait for.
        teams = len(self.steward.homes) if act.kind in ("enter", "leave", "expel") else 0
        cost = min(1 + teams, self._limits.txn_ops)
        change = Change(f"{act.kind} {act.name or self.node}", P_HOLD, cost, self._apply(act))
        try:
            await self._committer.add(change).wait()
        except (Refused, NoLease) as refusal:
            log.info("%s: %s", change.name, refusal)
        else:
            self._tell(act)
            self._moved()
        finally:
            self._under_way.discard((act.kind, act.name))

    def _tell(self, act: Act) -> None:
        if act.kind == "take":
            log.info("this controller places %s", act.name)
        elif act.kind == "give":
            log.info("%s goes home to %s", act.name, act.to)
        elif act.kind in ("accuse", "expel"):
            says = "is doubted" if act.kind == "accuse" else "is given up"
            log.warning("%s %s: %s", act.name, says, act.why)
        else:
            log.info("%s in the roster: %s", act.kind, act.name or self.node)

    def _apply(self, act: Act) -> Callable[[View], bool]:
        """The change of the records that an act is, evaluated on them as they stand then."""
        own, most, wall = self.own, self._limits.txn_ops, self._wall()
        assert own is not None

        def apply(view: View) -> bool:
            return roster.write(view, self.steward.move(act, view.mirror, own, wall), most)

        return apply
