"""The membership service: feeds the failure detector and commits the policy's decisions."""

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

_DECISIONS_PER_HEARTBEAT_INTERVAL = 2
# Kinds of changes that may move all teams at once.
_KINDS_MOVING_ALL_TEAMS = frozenset({ChangeKind.JOIN, ChangeKind.LEAVE, ChangeKind.EVICT})


class LeaseStatus(Protocol):
    """The state of this controller's lease."""

    def alive(self) -> bool:
        """Return whether the lease is certainly valid now."""


class MembershipService:
    """This controller's part in maintaining the roster and the assignment of teams to members."""

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
        wall_clock: Callable[[], float],
        on_teams_moved: Callable[[], None],
        on_unready_changed: Callable[[frozenset[str]], None],
    ) -> None:
        """Create the service without starting it; `run` decides on changes and commits them.

        Args:
            policy: decides what to commit.
            zones: the zones of all controllers, by controller name.
            cache: this process's cache of the records.
            committer: commits changes.
            limits: the store's limits on transactions.
            lease: this controller's lease; nothing is written while it may have expired.
            store_reachable: returns whether the store has answered recently.
            wall_clock: returns the time of day, in seconds.
            on_teams_moved: called after this process changed the roster or a team's assignment.
            on_unready_changed: called with the controllers at level UNREADY or worse, whenever
                this set changes.
        """
        self.policy = policy
        self.detector: FailureDetector = policy.detector
        self.node = policy.node
        # This controller and the incarnation of this process, once it has acquired a lease.
        self.own: TeamAssignment | None = None
        self.leaving = False
        self._wakeup = Signal()
        self._zones = zones
        self._cache = cache
        self._committer = committer
        self._limits = limits
        self._lease = lease
        self._store_reachable = store_reachable
        self._wall_clock = wall_clock
        self._on_teams_moved = on_teams_moved
        self._on_unready_changed = on_unready_changed
        self._unready: frozenset[str] = frozenset()
        self._in_progress: set[tuple[ChangeKind, str]] = set()  # kind and subject
        self._seen_inventories: dict[str, MachineInventory] = {}
        self._seen_roster: dict[str, Member] = {}

    # Observations

    def lease_acquired(self, fencing_token: int) -> None:
        """Note that this process acquired a lease; its first token is its incarnation."""
        if self.own is None:
            self.own = TeamAssignment(self.node, fencing_token)
        self._wakeup.set()

    def receive_heartbeat(self, node: str, status: PeerStatus) -> None:
        """Record the status in a peer's heartbeat."""
        self.detector.record_heartbeat(node, status, clock.now())

    def connection_changed(self, node: str, refused: bool) -> None:
        """Record a new or failed connection to a peer, and whether it was refused."""
        self.detector.record_connection(node, refused)
        self._wakeup.set()

    def observe(self, now: float) -> None:
        """Record the controllers' new writes, and react to changes of members' states.

        Called after the records changed.
        """
        for node, inventory in self._cache.inventories.items():
            if self._seen_inventories.get(node) is not inventory:
                self._seen_inventories[node] = inventory
                self.detector.record_write(node, now)
        if self._cache.roster is self._seen_roster:
            return
        old_roster, self._seen_roster = self._seen_roster, self._cache.roster
        for node, member in self._seen_roster.items():
            previous = old_roster.get(node)
            if previous is None or (member.incarnation, member.refutations) > (
                previous.incarnation,
                previous.refutations,
            ):
                self.detector.record_write(node, now)
            if previous is None or previous.state != member.state:
                self._wakeup.set()

    # Queries

    def assignee(self, team: str) -> str | None:
        """Return the member responsible for a team, or None if there is none."""
        home = self.policy.homes.get(team, self.node)
        return rightful_assignee(team, home, RosterRecords.from_cache(self._cache))

    def members(self) -> list[str]:
        """Return the controllers in state IN or SUSPECT according to the roster, sorted."""
        roster = sorted(self._cache.roster.items())
        return [node for node, member in roster if member.state in (IN, SUSPECT)]

    def worker_loads(self, own_agents: int, token: int) -> dict[str, WorkerLoad]:
        """Return the loads of the controllers that accept agents, including this one.

        Args:
            own_agents: the number of agents that report to this controller.
            token: this controller's fencing token.
        """
        incarnation = 0 if self.own is None else self.own.incarnation
        loads = {self.node: WorkerLoad(self._zones[self.node], own_agents, token, incarnation)}
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
                loads[node] = WorkerLoad(
                    self._zones[node], status.agents, status.fencing_token, member.incarnation
                )
        return loads

    def agents_report_elsewhere(self) -> bool:
        """Return whether agents report to another controller that can serve."""
        statuses = (self.detector.status(node) for node in self.serving_peers())
        return any(status is not None and status.agents for status in statuses)

    def serving_peers(self) -> list[str]:
        """Return the healthy peers, or all peers that can serve if none is healthy."""
        assessments = self.policy.assessments.items()
        healthy = [
            node for node, assessment in assessments if assessment.level is HealthLevel.HEALTHY
        ]
        return healthy or [node for node, assessment in assessments if assessment.can_serve]

    # Changes

    async def leave(self, within_s: float) -> None:
        """Hand this controller's teams over before the process ends.

        Waits until the change is committed or refused, for at most `within_s` seconds.  If
        cancelled, the change may still be committed.
        """
        self.leaving = True
        if self.own is not None and self._lease.alive():
            with anyio.move_on_after(within_s):
                await self._commit(MembershipChange(ChangeKind.LEAVE))

    async def run(self) -> None:
        """Decide on changes and commit them until cancelled.

        Changes that are not yet committed when cancelled may still be committed.
        """
        interval_s = self.detector.heartbeat_interval_s / _DECISIONS_PER_HEARTBEAT_INTERVAL
        async with anyio.create_task_group() as tasks:
            while True:
                wait_started = clock.now()
                await self._wakeup.wait(interval_s)
                now = clock.now()
                if now - wait_started >= interval_s:  # else the wait ended early
                    self.detector.record_wakeup(now - wait_started - interval_s, now)
                changes = self.policy.decide(now, self._wall_clock(), self._own_if_writable())
                self._notify_unready()
                for change in changes:
                    key = change.kind, change.subject
                    if key not in self._in_progress:
                        self._in_progress.add(key)
                        tasks.start_soon(self._commit, change)

    def _own_if_writable(self) -> TeamAssignment | None:
        """Return `own` if this process may change the roster now, else None.

        Guards against committing, after an outage of the store, suspicions decided during it.
        """
        writable = self._lease.alive() and self._store_reachable() and not self.leaving
        return self.own if writable else None

    def _notify_unready(self) -> None:
        unready = frozenset(
            node
            for node, assessment in self.policy.assessments.items()
            if assessment.level >= HealthLevel.UNREADY
        )
        if unready != self._unready:
            self._unready = unready
            self._on_unready_changed(unready)

    async def _commit(self, change: MembershipChange) -> None:
        """Commit a change, unless the records have changed since it was decided."""
        subject = change.subject or self.node
        # Refutations and failovers are urgent, so they have the priority of lease renewals.
        pending = PendingChange(
            f"{change.kind.value} {subject}",
            PRIORITY_LEASE,
            self._cost(change.kind),
            self._apply(change),
        )
        try:
            await self._committer.add(pending).wait()
        except (PreconditionFailedError, LeaseExpiredError) as refusal:
            log.info("roster change not committed: %s: %s", pending.name, refusal)
        else:
            _log_committed(change, subject)
            self._on_teams_moved()
        finally:
            self._in_progress.discard((change.kind, change.subject))

    def _cost(self, kind: ChangeKind) -> int:
        """Return the maximum number of puts of a change."""
        teams = len(self.policy.homes) if kind in _KINDS_MOVING_ALL_TEAMS else 0
        return min(1 + teams, self._limits.txn_ops)

    def _apply(self, change: MembershipChange) -> Callable[[Transaction], bool]:
        """Return a function that applies a change to the records current at each attempt."""
        own, max_operations, wall_clock_s = self.own, self._limits.txn_ops, self._wall_clock()
        assert own is not None

        def apply(transaction: Transaction) -> bool:
            transition = self.policy.transition(change, transaction.cache, own, wall_clock_s)
            return roster_transitions.write(transaction, transition, max_operations)

        return apply


def _log_committed(change: MembershipChange, subject: str) -> None:
    match change.kind:
        case ChangeKind.CLAIM:
            log.info("team %s is assigned to this controller", subject)
        case ChangeKind.RETURN:
            log.info("team %s returned to its home controller %s", subject, change.assignee)
        case ChangeKind.SUSPECT:
            log.warning("controller %s is suspected: %s", subject, change.evidence)
        case ChangeKind.EVICT:
            log.warning("controller %s is evicted: %s", subject, change.evidence)
        case _:
            log.info("roster change committed: controller %s, %s", subject, change.kind.value)
