"""Several stewards with copies of the records, beats and a store, and nothing else: quick to play.

What is cut, refused, frozen, slow or ended is set between two steps.  The stewards, the roster's
changes, views and mirrors are the real ones.
"""

from collections.abc import Callable
from random import Random
from typing import Any

from sandladder.membership import (
    FailureDetector,
    MembershipChange,
    MembershipPolicy,
    PeerStatus,
    roster,
)
from sandladder.model import SCHEMA_V2, MachineInventory, Member, TeamAssignment
from sandladder.state import (
    NODE,
    SCHEMA_VERSION_KEY,
    TEAM,
    TERM,
    PreconditionFailedError,
    StateCache,
    Transaction,
    inventory_changes,
    put_inventory,
    read_team,
    schema_version_value,
)

REPORT, BEAT, HOLD, STEP, RESTART = 2.4, 0.4, 24.0, 0.1, 3.0


class Store:
    """The state service: versions, conditional transactions, the log of changes."""

    def __init__(self) -> None:
        self.revision = 1
        self.items: dict[str, tuple[Any, int]] = {
            SCHEMA_VERSION_KEY: (schema_version_value(SCHEMA_V2), 1)
        }
        self.log: list[tuple[str, Any, int]] = [
            (SCHEMA_VERSION_KEY, schema_version_value(SCHEMA_V2), 1)
        ]

    def commit(self, transaction: Transaction) -> bool:
        if any(self.items.get(k, (0, 0))[1] != v for k, v in transaction.expected_versions.items()):
            return False
        self.revision += 1
        for key, value, _ in transaction.changes():
            self.set(key, value)
        return True

    def set(self, key: str, value: Any) -> None:
        if value is None:
            self.items.pop(key, None)
        else:
            self.items[key] = value, self.revision
        self.log.append((key, value, self.revision))


class Node:
    """One controller, as far as membership goes."""

    def __init__(self, fleet: "Fleet", name: str) -> None:
        self.instances, self.name = fleet, name
        self.cache = StateCache()
        self.seen = 0  # how much of the log its copy holds
        peers = [other for other in fleet.names if other != name]
        detector = FailureDetector(name, peers, BEAT, REPORT, REPORT)
        self.policy = MembershipPolicy(detector, fleet.names, fleet.teams, self.cache)
        self.renewed = fleet.now
        self.next_beat = self.next_summary = self.next_read = fleet.now
        self.next_look = fleet.now
        self.inventories: dict[str, MachineInventory] = {}
        self.members: dict[str, Member] = {}
        self.read()
        self.own = TeamAssignment(name, self.cache.term + 1)
        transaction = Transaction(self.cache)
        transaction.put(TERM, self.own.term, self.cache.version(TERM))
        assert fleet.store.commit(transaction)
        self.summarise()

    def read(self) -> None:
        log = self.instances.store.log
        self.cache.apply(self.instances.store.revision, log[self.seen :])
        self.seen = len(log)
        detector, now = self.policy.detector, self.instances.now
        for node, inventory in self.cache.nodes.items():
            if self.inventories.get(node) is not inventory:
                self.inventories[node] = inventory
                detector.wrote(node, now)
        before, self.members = self.members, self.cache.roster
        for node, member in self.members.items():
            known = before.get(node)
            if known is None or member[:2] > known[:2]:
                detector.wrote(node, now)

    def summarise(self) -> None:
        self.read()
        transaction = Transaction(self.cache)
        inventory = MachineInventory(
            self.own.term, 1.0, self.cache.revision, {}, SCHEMA_V2, self.own.term
        )
        put_inventory(
            transaction, self.name, inventory_changes(transaction, self.name, inventory, 8e3), 1, 12
        )
        assert self.instances.store.commit(transaction)
        self.renewed = self.instances.now

    def play(self) -> None:
        """What this controller does by now, late if it is slow."""
        fleet, now = self.instances, self.instances.now
        reaches = self.name not in fleet.cut_store
        alive = now - self.renewed < HOLD
        if reaches and now >= self.next_read:
            self.next_read = now + 0.15
            self.read()
        if reaches and now >= self.next_summary:
            self.next_summary = now + REPORT
            self.summarise()
        if now >= self.next_beat:
            self.next_beat = now + BEAT
            detector = self.policy.detector
            ok = reaches and alive
            word = PeerStatus(
                self.own.term,
                self.own.term,
                ok,
                detector.late_s,
                None,
                False,
                detector.silences(now),
            )
            fleet.send(self.name, word)
        if now >= self.next_look + fleet.slow.get(self.name, 0.0):
            self.policy.detector.woke(now - self.next_look, now)
            self.next_look = now + BEAT / 2
            for act in self.policy.step(now, now, self.own if alive else None):
                if reaches:
                    self.commit(act)

    def commit(self, act: MembershipChange) -> None:
        transaction = Transaction(self.cache)
        try:
            useful = roster.write(
                transaction, self.policy.move(act, self.cache, self.own, self.instances.now), 12
            )
        except PreconditionFailedError:
            return
        if useful and self.instances.store.commit(transaction):
            self.instances.acts.append((self.instances.now, self.name, act))
            self.read()


class Fleet:
    """The controllers together, in steps of virtual time."""

    def __init__(self, count: int, teams: int, seed: int = 1) -> None:
        self.rng = Random(seed)
        self.names = [f"node-{index}" for index in range(count)]
        self.teams = [f"team-{index}" for index in range(teams)]
        self.now = 1000.0
        self.store = Store()
        self.nodes: dict[str, Node] = {}
        self.back: dict[str, float] = {}  # when an ended controller returns
        self.frozen: set[str] = set()
        self.slow: dict[str, float] = {}  # how late its routines are woken
        self.cut_store: set[str] = set()
        self.cut: set[tuple[str, str]] = set()  # beats do not get through, one way
        self.refused: set[frozenset[str]] = set()  # connections between the two are refused
        self.flight: list[tuple[float, str, str, PeerStatus]] = []
        self.acts: list[tuple[float, str, MembershipChange]] = []
        self._ended: dict[str, float] = {}  # whose process ended, and when
        for name in self.names:
            self.boot(name)

    def boot(self, name: str) -> None:
        self.nodes[name] = Node(self, name)

    def crash(self, name: str, for_s: float = RESTART) -> None:
        if self.nodes.pop(name, None) is not None:
            self._ended[name] = self.now
        self.back[name] = self.now + for_s

    def send(self, name: str, word: PeerStatus) -> None:
        for other in self.names:
            pair = frozenset((name, other))
            if other != name and (name, other) not in self.cut and pair not in self.refused:
                self.flight.append((self.now + self.rng.uniform(0.001, 0.02), name, other, word))

    def step(self) -> None:
        self.now += STEP
        for name, at in list(self.back.items()):
            if at <= self.now:
                del self.back[name]
                self.boot(name)
        arrived = [item for item in self.flight if item[0] <= self.now]
        self.flight = [item for item in self.flight if item[0] > self.now]
        for _, name, other, word in arrived:
            node = self.nodes.get(other)
            # What comes to one that stands still is taken in when it goes on.
            if node is not None and other in self.frozen:
                self.flight.append((self.now, name, other, word))
            elif node is not None:
                node.policy.detector.heartbeat(name, word, self.now)
        for name in self.names:
            node = self.nodes.get(name)
            since = self._ended.get(name, self.now) if node is None else node.renewed
            if self.now - since > HOLD and NODE + name in self.store.items:
                self.store.revision += 1
                self.store.set(NODE + name, None)
        for name, node in list(self.nodes.items()):
            if name in self.frozen:
                continue
            for other in self.names:
                if other != name:
                    gone = other not in self.nodes or frozenset((name, other)) in self.refused
                    node.policy.detector.refused(other, gone)
            node.play()

    def play(self, seconds: float, check: Callable[[], None] = lambda: None) -> None:
        end = self.now + seconds
        while self.now < end:
            self.step()
            check()

    def assignments(self) -> dict[str, TeamAssignment]:
        cache = StateCache()
        cache.apply(self.store.revision, self.store.log)
        return cache.assignments

    def mark(self) -> int:
        """A point in the store's history, to count from."""
        return len(self.store.log)

    def moves(self, mark: int) -> dict[str, int]:
        """How often each team went from one controller to another since then."""
        found = dict.fromkeys(self.teams, 0)
        last: dict[str, str] = {}
        for index, (key, value, _) in enumerate(self.store.log):
            team = key.removeprefix(TEAM)
            if team == key:
                continue
            node = read_team(value).node  # type: ignore[union-attr]
            found[team] += index >= mark and last.get(team, node) != node
            last[team] = node
        return found
