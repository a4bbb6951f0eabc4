"""The membership service: feeds the failure detector, and commits what the policy decides."""

import logging
from collections.abc import Callable, Mapping
from typing import Protocol

import anyio

from sandladder import clock
from sandladder.concurrency import Signal
from sandladder.membership import roster_transitions
from sandladder.membership.changes import ChangeKind, MembershipChange
from sandladder.membership.failure_detector import FailureDetector
from sandladder.membership.health import HealthLevel, PeerStatus
from sandladder.membership.policy import MembershipPolicy
from sandladder.membership.roster import RosterRecords, rightful_assignee
from sandladder.membership.worker_assignment import WorkerLoad
from sandladder.model import IN, SUSPECT, MachineInventory, Member, TeamAssignment
from sandladder.state import (
    PRIORITY_LEASE,
    GroupCommitter,
    LeaseExpiredError,
    PendingChange,
    PreconditionFailedError,
    StateCache,
    StoreLimits,
    Transaction,
)

log = logging.getLogger(__name__)

# Decisions are made so many times in a heartbeat interval.
_DECISIONS_PER_HEARTBEAT = 2
# Changes that may move all teams at once.
_MOVING_ALL_TEAMS = frozenset({ChangeKind.JOIN, ChangeKind.LEAVE, ChangeKind.EVICT})


class LeaseStatus(Protocol):
    """What is asked of this controller's own lease."""

    def alive(self) -> bool:
        """Whether the lease surely lasts."""


class MembershipService:
    """This controller's part in agreeing who is a member, and which member schedules which team."""

    def __init__(
        self,
        *,
        policy: MembershipPolicy,
        zones: Mapping[str, str],
        cache: StateCache,
        committer: GroupCommitter,
        limits: StoreLimits,
        lease: LeaseStatus,
        store_reachable: Callable[[], bool],
        wall: Callable[[], float],
        on_teams_moved: Callable[[], None],
        on_unready_changed: Callable[[frozenset[str]], None],
    ) -> None:
        """Set the service up; `run` does its work.

        Args:
            policy: decides what to commit.
            zones: of all controllers, by name.
            cache: the records as this process knows them.
            committer: commits changes.
            limits: of the state service's transactions.
            lease: this controller's own; nothing is written while it may have expired.
            store_reachable: whether the state service answered of late.
            wall: the time of day, in seconds.
            on_teams_moved: called when this process changed the roster or a team's assignment.
            on_unready_changed: called with the controllers that cannot do their part, whenever
                these change.
        """
        self.policy = policy
        self.detector: FailureDetector = policy.detector
        self.node = policy.node
        self.own: TeamAssignment | None = None  # this process, once it has joined
        self.leaving = False
        self._due = Signal()
        self._zones = zones
        self._cache = cache
        self._committer = committer
        self._limits = limits
        self._lease = lease
        self._store_reachable = store_reachable
        self._wall = wall
        self._on_teams_moved = on_teams_moved
        self._on_unready_changed = on_unready_changed
        self._unready: frozenset[str] = frozenset()
        self._in_progress: set[tuple[ChangeKind, str]] = set()  # kind and subject
        self._inventories: dict[str, MachineInventory] = {}
        self._members: dict[str, Member] = {}

    # Observations

    def lease_acquired(self, fencing_token: int) -> None:
        """This process acquired its lease; its first fencing token is its incarnation."""
        if self.own is None:
            self.own = TeamAssignment(self.node, fencing_token)
        self._due.set()

    def receive_heartbeat(self, node: str, status: PeerStatus) -> None:
        """A peer's heartbeat arrived."""
        self.detector.record_heartbeat(node, status, clock.now())

    def connection_changed(self, node: str, refused: bool) -> None:
        """The connection to a peer was made, or could not be; `refused`: nobody listens there."""
        self.detector.record_connection(node, refused)
        self._due.set()

    def observe(self, now: float) -> None:
        """The records changed: note who wrote something, and whether a member's state changed."""
        for node, inventory in self._cache.inventories.items():
            if self._inventories.get(node) is not inventory:
                self._inventories[node] = inventory
                self.detector.record_write(node, now)
        if self._cache.roster is self._members:
            return
        before, self._members = self._members, self._cache.roster
        for node, member in self._members.items():
            known = before.get(node)
            if known is None or (member.incarnation, member.refutations) > (
                known.incarnation,
                known.refutations,
            ):
                self.detector.record_write(node, now)
            if known is None or known.state != member.state:
                self._due.set()

    # Questions

    def assignee(self, team: str) -> str | None:
        """The member that should learn of what concerns a team; None when nobody is in."""
        home = self.policy.homes.get(team, self.node)
        return rightful_assignee(team, home, RosterRecords.of(self._cache))

    def members(self) -> list[str]:
        """The controllers that are in or suspected by the roster, in order; the same for all."""
        roster = sorted(self._cache.roster.items())
        return [node for node, member in roster if member.state in (IN, SUSPECT)]

    def worker_loads(self, ours: int, token: int) -> dict[str, WorkerLoad]:
        """The controllers that can take agents, this one among them.

        Args:
            ours: how many agents report to this controller.
            token: its fencing token.
        """
        loads = {self.node: WorkerLoad(self._zones[self.node], ours, token)}
        for node, assessment in self.policy.assessments.items():
            status = self.detector.status(node)
            member = self._cache.roster.get(node)
            if (
                assessment.level is HealthLevel.HEALTHY
                and status is not None
                and status.agents is not None
                and member is not None
                and member.state == IN
            ):
                loads[node] = WorkerLoad(self._zones[node], status.agents, status.fencing_token)
        return loads

    def agents_report_elsewhere(self) -> bool:
        """Whether agents report to some other controller that can serve."""
        statuses = (self.detector.status(node) for node in self.serving_peers())
        return any(status is not None and status.agents for status in statuses)

    def serving_peers(self) -> list[str]:
        """The peers that can be given something to do: the healthy ones, if there are any."""
        assessments = self.policy.assessments.items()
        healthy = [node for node, found in assessments if found.level is HealthLevel.HEALTHY]
        return healthy or [node for node, found in assessments if found.can_serve]

    # Changes

    async def leave(self, within_s: float) -> None:
        """Hand over this controller's teams before the process ends.

        Waits until that is committed, or refused, at most `within_s` seconds.  Cancelled, the
        change may be committed all the same.
        """
        self.leaving = True
        if self.own is not None and self._lease.alive():
            with anyio.move_on_after(within_s):
                await self._commit(MembershipChange(ChangeKind.LEAVE))

    async def run(self) -> None:
        """Decide and commit until cancelled.

        Changes that are not committed by then are given up; they may be committed all the same.
        """
        interval_s = self.detector.heartbeat_interval_s / _DECISIONS_PER_HEARTBEAT
        async with anyio.create_task_group() as tasks:
            while True:
                asleep_at = clock.now()
                await self._due.wait(interval_s)
                now = clock.now()
                if now - asleep_at >= interval_s:  # else it was woken before the time
                    self.detector.record_wakeup(now - asleep_at - interval_s, now)
                changes = self.policy.decide(now, self._wall(), self._own_if_able())
                self._announce_unready()
                for change in changes:
                    key = change.kind, change.subject
                    if key not in self._in_progress:
                        self._in_progress.add(key)
                        tasks.start_soon(self._commit, change)

    def _own_if_able(self) -> TeamAssignment | None:
        """This process, if it could write what is decided.

        Nothing is decided that cannot be written.  Seen in a measured day: what each controller had
        decided of the others in an outage of the state service was written when it was over.
        """
        able = self._lease.alive() and self._store_reachable() and not self.leaving
        return self.own if able else None

    def _announce_unready(self) -> None:
        unready = frozenset(
            node
            for node, assessment in self.policy.assessments.items()
            if assessment.level >= HealthLevel.UNREADY
        )
        if unready != self._unready:
            self._unready = unready
            self._on_unready_changed(unready)

    async def _commit(self, change: MembershipChange) -> None:
        """Commit what was decided, unless the records refute it."""
        subject = change.subject or self.node
        # A refutation and a failover are what people wait for: they go with the lease's priority.
        pending = PendingChange(
            f"{change.kind.value} {subject}",
            PRIORITY_LEASE,
            self._cost(change.kind),
            self._apply(change),
        )
        try:
            await self._committer.add(pending).wait()
        except (PreconditionFailedError, LeaseExpiredError) as refusal:
            log.info("roster: no %s: %s", pending.name, refusal)
        else:
            _log_committed(change, subject)
            self._on_teams_moved()
        finally:
            self._in_progress.discard((change.kind, change.subject))

    def _cost(self, kind: ChangeKind) -> int:
        """How many puts a change may take at most."""
        teams = len(self.policy.homes) if kind in _MOVING_ALL_TEAMS else 0
        return min(1 + teams, self._limits.txn_ops)

    def _apply(self, change: MembershipChange) -> Callable[[Transaction], bool]:
        """Evaluates a change on the records as they are whenever it is tried."""
        own, max_operations, wall = self.own, self._limits.txn_ops, self._wall()
        assert own is not None

        def apply(transaction: Transaction) -> bool:
            transition = self.policy.transition(change, transaction.cache, own, wall)
            return roster_transitions.write(transaction, transition, max_operations)

        return apply


def _log_committed(change: MembershipChange, subject: str) -> None:
    match change.kind:
        case ChangeKind.CLAIM:
            log.info("team %s is assigned to this controller", subject)
        case ChangeKind.RETURN:
            log.info("team %s returns to its home, controller %s", subject, change.assignee)
        case ChangeKind.SUSPECT:
            log.warning("controller %s is suspected: %s", subject, change.evidence)
        case ChangeKind.EVICT:
            log.warning("controller %s is evicted: %s", subject, change.evidence)
        case _:
            log.info("controller %s in the roster: %s", subject, change.kind.value)
