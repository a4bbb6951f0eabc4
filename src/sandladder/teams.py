"""Who places which team: one controller each, by a record that its starts are bound to."""

import logging
from typing import TYPE_CHECKING

import anyio

from sandladder.lifecycle import Refused, claim, may_place
from sandladder.model import Placer
from sandladder.records import PLAIN
from sandladder.store import P_USER, Change

if TYPE_CHECKING:
    from sandladder.control import Controller

log = logging.getLogger(__name__)


# A claim that stood for so many leases was not contested; and how many a contested one waits.
_SETTLED_LEASES, _PATIENT_LEASES = 4, 1


class _Claim:
    """A team that we took, and how often it was taken from us since."""

    def __init__(self) -> None:
        self.ours = False
        self.since = 0.0
        self.losses = 0


class Teams:
    """This controller's share of the teams."""

    def __init__(self, controller: "Controller") -> None:
        self._c = controller
        self.placer: Placer | None = None  # this process, once it has entered
        self._ours_since: dict[str, float] = {}
        self._claims: dict[str, _Claim] = {}

    def entered(self, term: int) -> None:
        """The process got its first term: no other process ever has it."""
        if self.placer is None:
            self.placer = Placer(self._c.node, term)

    def places(self, team: str) -> bool:
        """Whether starts of this team are this controller's to commit now."""
        if self._c.mirror.form == PLAIN:
            return self._c.peers.ring_owner(team) == self._c.node
        return may_place(self._c.mirror, team, self.placer)

    def owner(self, team: str) -> str:
        """The controller that should hear of what concerns a team."""
        known = self._c.mirror.placers.get(team)
        if known is not None and known.node in self._c.peers.live_nodes():
            return known.node
        return self._c.peers.ring_owner(team)

    async def run(self) -> None:
        """Take the teams that are ours round the ring of live controllers."""
        c = self._c
        while True:
            await anyio.sleep(c.beat_s)
            if c.mirror.form == PLAIN or self.placer is None or not c.hold.alive():
                continue
            due = [team for team in c.picture.limits if self._due(team)]
            if due:
                async with anyio.create_task_group() as tasks:
                    for team in due:
                        tasks.start_soon(self._claim, team, self.placer)

    def _due(self, team: str) -> bool:
        """Whether to claim a team: at once if nobody places it, else after a while."""
        c = self._c
        now = anyio.current_time()
        if c.peers.ring_owner(team) != c.node:
            self._ours_since.pop(team, None)
            if team in self._claims:
                self._claims[team].ours = False
            return False
        since = self._ours_since.setdefault(team, now)
        known = c.mirror.placers.get(team)
        claim = self._claims.setdefault(team, _Claim())
        if known == self.placer:
            if not claim.ours:
                claim.ours, claim.since = True, now
            return False
        if claim.ours:
            # Somebody took it who does not hear us, as we perhaps do not hear them.  Both
            # claiming at once went on for ever: each time is waited for twice as long.
            settled = now - claim.since > _SETTLED_LEASES * c.lease_s
            claim.ours, claim.since = False, now
            claim.losses = 1 if settled else claim.losses + 1
        gone = known is None or known.node not in c.mirror.nodes
        if not gone and now - claim.since < self._patience_s(claim.losses):
            return False
        if known is None or known.node == c.node or known.node not in c.peers.live_nodes():
            return True
        # It is placed by another that lives; what is under way there would be lost.
        return now - since > c.report_s

    def _patience_s(self, losses: int) -> float:
        """How long to leave a team to whoever took it from us."""
        if not losses:
            return 0.0
        return min(_PATIENT_LEASES * self._c.lease_s, self._c.report_s * 2.0 ** min(losses, 16))

    async def _claim(self, team: str, placer: Placer) -> None:
        change = Change(f"placer of {team}", P_USER, 1, lambda view: claim(view, team, placer))
        try:
            await self._c.committer.add(change).wait()
        except Refused as refusal:
            log.info("%s is not ours to place: %s", team, refusal)
            return
        log.info("this controller places %s", team)
        self._c.watch.poke()
        self._c.plan_due.set()
