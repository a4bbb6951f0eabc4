"""A fast simulation of membership alone: controllers, a store and heartbeats in virtual time.

Failure detectors, policies, transitions, transactions and caches are the real ones; leases, watches
and connections are simulated.  Faults are set between two steps.
"""

from collections.abc import Callable
from random import Random
from typing import Any

from sandladder.membership import (
    FailureDetector,
    MembershipChange,
    MembershipPolicy,
    PeerStatus,
    roster_transitions,
)
from sandladder.model import SCHEMA_V2, MachineInventory, Member, TeamAssignment
from sandladder.state import (
    FENCING_TOKEN_KEY,
    INVENTORY_PREFIX,
    SCHEMA_VERSION_KEY,
    TEAM_PREFIX,
    PreconditionFailedError,
    StateCache,
    Transaction,
    inventory_changes,
    put_inventory,
    read_team,
    schema_version_value,
)

# In seconds: an agent's heartbeat interval, a controller's heartbeat interval, a controller's lease,
# a step of virtual time, and a controller's restart.
REPORT_S, HEARTBEAT_S, LEASE_S, STEP_S, RESTART_S = 2.4, 0.4, 24.0, 0.1, 3.0
# The interval between two reads of the store, in seconds.
READ_INTERVAL_S = 0.15
MAX_VALUE_BYTES, MAX_OPERATIONS = 8e3, 12


class Store:
    """The key-value store: versions, compare-and-swap transactions, the history of changes."""

    def __init__(self) -> None:
        self.revision = 1
        self.items: dict[str, tuple[Any, int]] = {
            SCHEMA_VERSION_KEY: (schema_version_value(SCHEMA_V2), 1)
        }
        self.history: list[tuple[str, Any, int]] = [
            (SCHEMA_VERSION_KEY, schema_version_value(SCHEMA_V2), 1)
        ]

    def commit(self, transaction: Transaction) -> bool:
        """Apply a transaction; return False if a version is not the expected one."""
        if any(self.items.get(k, (0, 0))[1] != v for k, v in transaction.expected_versions.items()):
            return False
        self.revision += 1
        for key, value, _ in transaction.changes():
            self.set(key, value)
        return True

    def set(self, key: str, value: Any) -> None:
        """Put a value, or delete the key if the value is None."""
        if value is None:
            self.items.pop(key, None)
        else:
            self.items[key] = value, self.revision
        self.history.append((key, value, self.revision))


class SimulatedController:
    """The membership part of one controller process."""

    def __init__(self, cluster: "Cluster", name: str) -> None:
        self.cluster, self.name = cluster, name
        self.cache = StateCache()
        self.position = 0  # number of changes in the store's history that the cache holds
        peers = [other for other in cluster.names if other != name]
        detector = FailureDetector(name, peers, HEARTBEAT_S, REPORT_S, REPORT_S)
        self.policy = MembershipPolicy(detector, cluster.names, cluster.teams, self.cache)
        self.renewed_at = cluster.now
        self.next_heartbeat = self.next_inventory = self.next_read = cluster.now
        self.next_decision = cluster.now
        self.seen_inventories: dict[str, MachineInventory] = {}
        self.seen_roster: dict[str, Member] = {}
        self.read()
        self.own = TeamAssignment(name, self.cache.fencing_token + 1)
        transaction = Transaction(self.cache)
        transaction.put(
            FENCING_TOKEN_KEY, self.own.incarnation, self.cache.version(FENCING_TOKEN_KEY)
        )
        assert cluster.store.commit(transaction)
        self.write_inventory()

    def read(self) -> None:
        """Update the cache, and record which controllers wrote something."""
        history = self.cluster.store.history
        self.cache.apply(self.cluster.store.revision, history[self.position :])
        self.position = len(history)
        detector, now = self.policy.detector, self.cluster.now
        for node, inventory in self.cache.inventories.items():
            if self.seen_inventories.get(node) is not inventory:
                self.seen_inventories[node] = inventory
                detector.record_write(node, now)
        old_roster, self.seen_roster = self.seen_roster, self.cache.roster
        for node, member in self.seen_roster.items():
            previous = old_roster.get(node)
            if previous is None or member[:2] > previous[:2]:
                detector.record_write(node, now)

    def write_inventory(self) -> None:
        """Write the inventory, which renews the lease."""
        self.read()
        transaction = Transaction(self.cache)
        inventory = MachineInventory(
            self.own.incarnation, 1.0, self.cache.revision, {}, SCHEMA_V2, self.own.incarnation
        )
        changes = inventory_changes(transaction, self.name, inventory, MAX_VALUE_BYTES)
        put_inventory(transaction, self.name, changes, 1, MAX_OPERATIONS)
        assert self.cluster.store.commit(transaction)
        self.renewed_at = self.cluster.now

    def step(self) -> None:
        """Do the work that is due, late if the controller is slow."""
        cluster, now = self.cluster, self.cluster.now
        store_reachable = self.name not in cluster.without_store
        alive = now - self.renewed_at < LEASE_S
        if store_reachable and now >= self.next_read:
            self.next_read = now + READ_INTERVAL_S
            self.read()
        if store_reachable and now >= self.next_inventory:
            self.next_inventory = now + REPORT_S
            self.write_inventory()
        if now >= self.next_heartbeat:
            self.next_heartbeat = now + HEARTBEAT_S
            self.send_heartbeat(store_reachable and alive)
        if now >= self.next_decision + cluster.late_s.get(self.name, 0.0):
            self.policy.detector.record_wakeup(now - self.next_decision, now)
            self.next_decision = now + HEARTBEAT_S / 2
            for change in self.policy.decide(now, now, self.own if alive else None):
                if store_reachable:
                    self.commit(change)

    def send_heartbeat(self, store_reachable: bool) -> None:
        detector = self.policy.detector
        status = PeerStatus(
            incarnation=self.own.incarnation,
            fencing_token=self.own.incarnation,
            store_reachable=store_reachable,
            late_s=detector.late_s,
            agents=None,
            leaving=False,
            observations=detector.observations(self.cluster.now),
        )
        self.cluster.send(self.name, status)

    def commit(self, change: MembershipChange) -> None:
        """Commit a change, unless the records have changed since it was decided."""
        transaction = Transaction(self.cache)
        try:
            transition = self.policy.transition(change, self.cache, self.own, self.cluster.now)
            is_change = roster_transitions.write(transaction, transition, MAX_OPERATIONS)
        except PreconditionFailedError:
            return
        if is_change and self.cluster.store.commit(transaction):
            self.cluster.changes.append((self.cluster.now, self.name, change))
            self.read()


class Cluster:
    """All controllers and the store, advanced in steps of virtual time."""

    def __init__(self, count: int, teams: int, seed: int = 1) -> None:
        self.rng = Random(seed)
        self.names = [f"node-{index}" for index in range(count)]
        self.teams = [f"team-{index}" for index in range(teams)]
        self.now = 1000.0
        self.store = Store()
        self.nodes: dict[str, SimulatedController] = {}
        self.restarts_at: dict[str, float] = {}
        self.paused: set[str] = set()
        self.late_s: dict[str, float] = {}  # how late a controller's timers fire
        self.without_store: set[str] = set()
        self.lost_links: set[tuple[str, str]] = set()  # heartbeats from the first one are lost
        self.refused_links: set[frozenset[str]] = set()  # connections between the two are refused
        self.in_flight: list[tuple[float, str, str, PeerStatus]] = []
        self.changes: list[tuple[float, str, MembershipChange]] = []
        self._crashed_at: dict[str, float] = {}
        for name in self.names:
            self.boot(name)

    def boot(self, name: str) -> None:
        """Start a new process of a controller."""
        self.nodes[name] = SimulatedController(self, name)

    def crash(self, name: str, for_s: float = RESTART_S) -> None:
        """Crash a controller's process; the next one starts after `for_s` seconds."""
        if self.nodes.pop(name, None) is not None:
            self._crashed_at[name] = self.now
        self.restarts_at[name] = self.now + for_s

    def send(self, name: str, status: PeerStatus) -> None:
        """Send a heartbeat to all other controllers."""
        for other in self.names:
            refused = frozenset((name, other)) in self.refused_links
            if other != name and (name, other) not in self.lost_links and not refused:
                arrives_at = self.now + self.rng.uniform(0.001, 0.02)
                self.in_flight.append((arrives_at, name, other, status))

    def step(self) -> None:
        """Advance by one step of virtual time."""
        self.now += STEP_S
        for name, at in list(self.restarts_at.items()):
            if at <= self.now:
                del self.restarts_at[name]
                self.boot(name)
        self._deliver()
        self._expire_leases()
        for name, node in list(self.nodes.items()):
            if name in self.paused:
                continue
            for other in self.names:
                if other != name:
                    refused = frozenset((name, other)) in self.refused_links
                    unreachable = other not in self.nodes or refused
                    node.policy.detector.record_connection(other, unreachable)
            node.step()

    def _deliver(self) -> None:
        arrived = [item for item in self.in_flight if item[0] <= self.now]
        self.in_flight = [item for item in self.in_flight if item[0] > self.now]
        for _, name, other, status in arrived:
            node = self.nodes.get(other)
            # A paused controller processes heartbeats when it resumes.
            if node is not None and other in self.paused:
                self.in_flight.append((self.now, name, other, status))
            elif node is not None:
                node.policy.detector.record_heartbeat(name, status, self.now)

    def _expire_leases(self) -> None:
        for name in self.names:
            node = self.nodes.get(name)
            since = self._crashed_at.get(name, self.now) if node is None else node.renewed_at
            if self.now - since > LEASE_S and INVENTORY_PREFIX + name in self.store.items:
                self.store.revision += 1
                self.store.set(INVENTORY_PREFIX + name, None)

    def run(self, seconds: float, check: Callable[[], None] = lambda: None) -> None:
        """Advance by some seconds, with a check after each step."""
        end = self.now + seconds
        while self.now < end:
            self.step()
            check()

    def heal(self) -> None:
        """End all faults except crashes."""
        self.lost_links.clear()
        self.refused_links.clear()
        self.without_store.clear()
        self.paused.clear()
        self.late_s.clear()

    def assignments(self) -> dict[str, TeamAssignment]:
        """Return the process to which each team is assigned in the records."""
        cache = StateCache()
        cache.apply(self.store.revision, self.store.history)
        return cache.assignments

    def position(self) -> int:
        """Return the current position in the store's history, from which to count moves."""
        return len(self.store.history)

    def moves(self, position: int) -> dict[str, int]:
        """Return how often each team moved to another controller since a position."""
        counts = dict.fromkeys(self.teams, 0)
        last: dict[str, str] = {}
        for index, (key, value, _) in enumerate(self.store.history):
            team = key.removeprefix(TEAM_PREFIX)
            if team == key:
                continue
            node = read_team(value).node  # type: ignore[union-attr]
            counts[team] += index >= position and last.get(team, node) != node
            last[team] = node
        return counts
