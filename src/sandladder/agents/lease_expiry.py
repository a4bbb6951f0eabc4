"""Proof that an agent's lease has expired, regardless of which controller renewed it last.

All times are in seconds on this controller's steady clock.  Performs no I/O and reads no clock.
"""

import math
from collections import deque
from collections.abc import Collection, Iterable, Iterator, Mapping
from typing import NamedTuple

from sandladder.model import MachineInventory

# Factor on the lease duration for clock drift between machines and for timer resolution.
_CLOCK_DRIFT_FACTOR = 1.02
# An inventory lists answers to agents that are at most this many lease durations old.
_LISTED_LEASES = 2
# Number of retained store reads, and their maximum number per lease duration.
_MAX_STORE_READS = 512
_STORE_READS_PER_LEASE = 100


class PeerInventory(NamedTuple):
    """The latest inventory of another controller, as read from the store."""

    node: str
    inventory: MachineInventory
    received_at: float


class _AnswerBound(NamedTuple):
    """Bounds of the interval in which one controller certainly gave an agent no answer."""

    source: str
    evidence: str
    last_answer_at: float  # upper bound
    complete_until: float  # no further answer was given until this time

    def describe(self, now: float) -> str:
        """Return the bounds as a text, with ages in seconds."""
        text = f"{self.source}: {self.evidence}, at most {now - self.last_answer_at:.1f} s ago"
        if self.complete_until < math.inf:
            text += f", known until {now - self.complete_until:.1f} s ago"
        return text


class _Observation(NamedTuple):
    """An inventory, and bounds of the time when it was made."""

    inventory: MachineInventory
    received_at: float
    made_after: float  # lower bound; answers before this time are listed

    def bound(self, node: str, machine: str, max_listed_age_s: float) -> _AnswerBound:
        """Return the bounds of the writer's answers to an agent."""
        status = self.inventory.machines.get(machine)
        silent_s = status.age_s if status else min(self.inventory.up_s, max_listed_age_s)
        evidence = "listed" if status else "not listed"
        return _AnswerBound(node, evidence, self.received_at - silent_s, self.made_after)


class _StoreRead(NamedTuple):
    """The request time of a store read, and the revision that it returned."""

    sent_at: float
    revision: int


class LeaseExpiryProof:
    """Proves that a silent agent's lease has expired, regardless of which controller renewed it.

    An agent kills its tasks when no heartbeat was answered for the duration of its lease.  The
    proof therefore requires an interval of at least that length in which *no* controller answered.
    For each controller there is an upper bound of the time of its last answer to the agent, and a
    time until which it certainly gave no further answer.  These bound an interval without answers
    of that controller; the proof uses the intersection of the intervals of all controllers.
    """

    def __init__(
        self, node: str, nodes: list[str], lease_s: float, started_at: float, process: int = 0
    ) -> None:
        """Initialize without known answers.

        Args:
            node: this controller.
            nodes: all controllers named in the settings.
            lease_s: duration of an agent's lease.
            started_at: start time of this process.
            process: distinguishes this process from others with the same node name.
        """
        self._node = node
        self._process = process
        # Whether the inventory under this node's name may be that of another process, which may
        # have answered any agent.
        self._name_conflict = False
        self._last_read_at = -math.inf  # request time of the latest store read
        self._peers = [name for name in nodes if name != node]
        self._required_gap_s = lease_s * _CLOCK_DRIFT_FACTOR
        self._max_listed_age_s = lease_s * _LISTED_LEASES
        self._started_at = started_at
        self._answered_at: dict[str, float] = {}
        self._observations: dict[str, _Observation] = {}
        self._absent_since: dict[str, float] = {}
        # By machine and agent epoch: the first time that the epoch was known to have begun.
        self._epoch_known_since: dict[tuple[str, int], float] = {}
        self._store_reads: deque[_StoreRead] = deque(maxlen=_MAX_STORE_READS)

    # Answers of this controller

    def record_answer(self, machine: str, now: float) -> None:
        """Record that this controller is about to answer a heartbeat of a machine's agent."""
        self._answered_at[machine] = now

    def answer_age_s(self, machine: str, now: float) -> float | None:
        """Return the age of this controller's last answer, or None if too old to be listed."""
        answered_at = self._answered_at.get(machine)
        if answered_at is None or now - answered_at > self._max_listed_age_s:
            self._answered_at.pop(machine, None)
            return None
        return now - answered_at

    def answered_machines(self) -> list[str]:
        """Return the machines whose agents this controller answered recently."""
        return list(self._answered_at)

    def uptime_s(self, now: float) -> float:
        """Return the uptime of this process, in seconds."""
        return now - self._started_at

    # Observations of the store

    def observe_agent_epochs(self, epochs: Mapping[str, Iterable[int]], now: float) -> None:
        """Set the agent epochs that have committed starts, by machine.

        Must be called regularly, not only once an agent is silent: a proof for an epoch starts at
        the first call that included it.
        """
        self._epoch_known_since = {
            (machine, epoch): self._epoch_known_since.get((machine, epoch), now)
            for machine, machine_epochs in epochs.items()
            for epoch in machine_epochs
        }

    def record_store_read(self, sent_at: float, revision: int) -> None:
        """Record the request time of a store read and the revision that it returned."""
        self._last_read_at = max(self._last_read_at, sent_at)
        reads = self._store_reads
        if not reads or sent_at - reads[-1].sent_at > self._required_gap_s / _STORE_READS_PER_LEASE:
            reads.append(_StoreRead(sent_at, revision))

    def observe_inventories(
        self,
        nodes: dict[str, MachineInventory],
        now: float,
        unreadable_nodes: Collection[str] = (),
        changed_nodes: Collection[str] | None = None,
    ) -> None:
        """Update the inventories of all controllers from the cached records.

        Args:
            nodes: the readable inventories, by controller.
            now: the current time.
            unreadable_nodes: controllers with an unreadable inventory; they are running and may
                have answered any agent.
            changed_nodes: controllers whose inventories may have changed since the previous call;
                None: all of them.
        """
        own = nodes.get(self._node)
        self._name_conflict = self._node in unreadable_nodes or (
            own is not None and own.process != self._process
        )
        for name in self._peers:
            if name in unreadable_nodes:
                self._observations.pop(name, None)
                self._absent_since.pop(name, None)
            else:
                changed = changed_nodes is None or name in changed_nodes
                self._observe_peer(name, nodes.get(name), now, changed)

    def _observe_peer(
        self, name: str, inventory: MachineInventory | None, now: float, changed: bool
    ) -> None:
        previous = self._observations.get(name)
        if inventory is None:
            self._observations.pop(name, None)
            # The inventory was attached to the controller's lease.  The lease has expired, so the
            # controller has stopped answering by now.  If the inventory changed, the controller may
            # have held another lease since the previous call.
            if changed or name not in self._absent_since:
                self._absent_since[name] = now
            return
        self._absent_since.pop(name, None)
        if previous is None or previous.inventory is not inventory:
            made_after = self._time_before_revision(inventory.revision)
            self._observations[name] = _Observation(inventory, now, made_after)

    def peer_inventories(self) -> Iterator[PeerInventory]:
        """Yield the latest inventories of the other controllers."""
        for node, observation in self._observations.items():
            yield PeerInventory(node, observation.inventory, observation.received_at)

    def _time_before_revision(self, revision: int) -> float:
        """Return a time at which the store had not yet reached a revision.

        An inventory holds the revision that its writer had read, so it was made after that time.
        """
        for read in reversed(self._store_reads):
            if read.revision < revision:
                return read.sent_at
        return -math.inf

    # Proof of expiry

    def has_expired(self, machine: str, agent_epoch: int, now: float) -> bool:
        """Return whether all tasks that a machine's agent ran in an epoch have certainly ended."""
        bounds = self._bounds(machine, agent_epoch, now)
        if bounds is None:
            return False
        last_answer_at = max(bound.last_answer_at for bound in bounds)
        complete_until = min(bound.complete_until for bound in bounds)
        return complete_until - last_answer_at >= self._required_gap_s

    def explain(self, machine: str, agent_epoch: int, now: float) -> str:
        """Return the evidence about an epoch as a text for the log."""
        bounds = self._bounds(machine, agent_epoch, now)
        if bounds is None:
            return "a controller may have answered at any time"
        return "; ".join(bound.describe(now) for bound in bounds)

    def _bounds(self, machine: str, agent_epoch: int, now: float) -> list[_AnswerBound] | None:
        """Return the bounds of all controllers' answers, or None if one may answer at any time."""
        # Another process with this node's name may have answered agents, so the answers recorded
        # in this process may be incomplete.
        if self._name_conflict:
            return None
        own_answer_at = self._answered_at.get(
            machine, max(self._started_at, now - self._max_listed_age_s)
        )
        # An agent that started after an inventory was made is running, but is missing from the
        # inventory, so the interval starts when the epoch was first known.  Otherwise a task of a
        # new machine could be started twice.
        known_since = self._epoch_known_since.get((machine, agent_epoch), now)
        bounds = [
            _AnswerBound("epoch", "first known", known_since, math.inf),
            _AnswerBound(
                self._node, "this controller", own_answer_at, min(now, self._last_read_at)
            ),
        ]
        for name in self._peers:
            observation = self._observations.get(name)
            if observation is not None:
                bounds.append(observation.bound(name, machine, self._max_listed_age_s))
            elif name in self._absent_since:
                absent_since = self._absent_since[name]
                bounds.append(_AnswerBound(name, "no inventory", absent_since, math.inf))
            else:
                return None
        return bounds
