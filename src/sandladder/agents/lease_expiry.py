"""The proof that an agent's lease has expired, whichever controller may have renewed it.

All times are in seconds on this controller's steady clock.  Pure: no I/O, no clock.
"""

import math
from collections import deque
from collections.abc import Collection, Iterable, Iterator, Mapping
from typing import NamedTuple

from sandladder.model import MachineInventory

# The steady clocks of two machines drift apart, and timers are coarse.
_CLOCK_MARGIN = 1.02
# For how many leases an inventory lists the last answer to an agent.
_LISTED_LEASES = 2
# How many readings of the store are remembered, and how far apart, as a part of a lease.
_READINGS_KEPT = 512
_READINGS_PER_LEASE = 100


class PeerInventory(NamedTuple):
    """Another controller's latest inventory in the records."""

    node: str
    inventory: MachineInventory
    received_at: float


class _Observation(NamedTuple):
    """An inventory, and between which times it was made."""

    inventory: MachineInventory
    received_at: float
    made_after: float  # no later than when it was made: its answers are complete up to then

    def last_answer_at(self, machine: str, listed_s: float) -> float:
        """A time no earlier than its writer's last answer to the agent, as it was then."""
        status = self.inventory.machines.get(machine)
        silent_s = status.age_s if status else min(self.inventory.up_s, listed_s)
        return self.received_at - silent_s


class _StoreReading(NamedTuple):
    """A reading of the store, and the revision that it reached."""

    sent_at: float
    revision: int


class LeaseExpiryProof:
    """Proves that a silent agent's lease has expired, whichever controller may have answered it.

    An agent kills its tasks when none of its heartbeats was answered for the lease.  So the proof
    needs one interval as long as the lease in which *no* controller answered.  For each
    controller we know an upper bound of its last answer to the agent and a time up to
    which there was no other; the interval is what these have in common.
    """

    def __init__(
        self, node: str, nodes: list[str], lease_s: float, started_at: float, process: int = 0
    ) -> None:
        """Begin without any knowledge of answers.

        Args:
            node: this controller, among all that the settings name: `nodes`.
            lease_s: how long an agent's lease lasts.
            started_at: when this process began.
            process: distinguishes this process from others under the same name.
        """
        self._node = node
        self._process = process
        # The inventory under our name is another process's, which may have answered any agent.
        self._name_taken = False
        self._last_read_at = -math.inf  # when the latest reading of the store was sent
        self._peers = [name for name in nodes if name != node]
        self._needed_s = lease_s * _CLOCK_MARGIN
        self._listed_s = lease_s * _LISTED_LEASES
        self._started_at = started_at
        self._answered_at: dict[str, float] = {}
        self._observations: dict[str, _Observation] = {}
        self._absent_since: dict[str, float] = {}
        # By machine and session, since when we know that this session had begun.
        self._known_since: dict[tuple[str, int], float] = {}
        self._readings: deque[_StoreReading] = deque(maxlen=_READINGS_KEPT)

    # This controller's own answers

    def record_answer(self, machine: str, now: float) -> None:
        """This controller is about to answer the agent on a machine with its fencing token."""
        self._answered_at[machine] = now

    def answer_age_s(self, machine: str, now: float) -> float | None:
        """How many seconds ago this controller answered, while that is worth listing."""
        answered_at = self._answered_at.get(machine)
        if answered_at is None or now - answered_at > self._listed_s:
            self._answered_at.pop(machine, None)
            return None
        return now - answered_at

    def answered_machines(self) -> list[str]:
        """The machines whose agents this controller answered of late."""
        return list(self._answered_at)

    def uptime_s(self, now: float) -> float:
        """For how many seconds this process has been running."""
        return now - self._started_at

    # What the records show

    def observe_sessions(self, sessions: Mapping[str, Iterable[int]], now: float) -> None:
        """Sessions with committed starts, by machine, so they have begun; others are forgotten.

        To be called all the while, not only once an agent is silent: a proof counts from here.
        """
        self._known_since = {
            (machine, session): self._known_since.get((machine, session), now)
            for machine, numbers in sessions.items()
            for session in numbers
        }

    def record_store_read(self, sent_at: float, revision: int) -> None:
        """A reading of the store that was sent then reached this revision."""
        self._last_read_at = max(self._last_read_at, sent_at)
        readings = self._readings
        if not readings or sent_at - readings[-1].sent_at > self._needed_s / _READINGS_PER_LEASE:
            readings.append(_StoreReading(sent_at, revision))

    def observe_inventories(
        self, nodes: dict[str, MachineInventory], now: float, unreadable_nodes: Collection[str] = ()
    ) -> None:
        """Take in the inventories that are in the records now.

        A controller whose inventory cannot be read is running, and may have answered any agent.
        """
        own = nodes.get(self._node)
        self._name_taken = self._node in unreadable_nodes or (
            own is not None and own.process != self._process
        )
        for name in self._peers:
            if name in unreadable_nodes:
                self._observations.pop(name, None)
                self._absent_since.pop(name, None)
            else:
                self._observe_peer(name, nodes.get(name), now)

    def _observe_peer(self, name: str, inventory: MachineInventory | None, now: float) -> None:
        known = self._observations.get(name)
        if inventory is None:
            self._observations.pop(name, None)
            # The controller's lease that the inventory was attached to has expired, so its owner
            # had stopped answering by now.
            self._absent_since.setdefault(name, now)
            return
        self._absent_since.pop(name, None)
        if known is None or known.inventory is not inventory:
            made_after = self._not_before(inventory.revision)
            self._observations[name] = _Observation(inventory, now, made_after)

    def peer_inventories(self) -> Iterator[PeerInventory]:
        """The other controllers' inventories."""
        for node, observation in self._observations.items():
            yield PeerInventory(node, observation.inventory, observation.received_at)

    def _not_before(self, revision: int) -> float:
        """A time at which the store had not yet reached this revision.

        An inventory names the revision that its writer had read, so it was made after that.
        """
        for reading in reversed(self._readings):
            if reading.revision < revision:
                return reading.sent_at
        return -math.inf

    # The proof

    def has_expired(self, machine: str, session: int, now: float) -> bool:
        """Whether everything that the agent of a machine ran in a session is surely gone."""
        # This process' own answers count only while no other process runs under our name: one that
        # did answered an agent from which we received nothing, and we proved its lease expired.
        # Seen in the simulation.
        if self._name_taken:
            return False
        last_answer_at = self._answered_at.get(machine, max(self._started_at, now - self._listed_s))
        # An agent that started after an inventory was made is missing there, and running: only
        # what follows the beginning of its session counts.  Seen in a measured day: a task ran
        # twice after a peer's message on a new machine came before the peer's inventory.
        last_answer_at = max(last_answer_at, self._known_since.get((machine, session), now))
        complete_until = min(now, self._last_read_at)
        for name in self._peers:
            observation = self._observations.get(name)
            if observation is not None:
                by_peer = observation.last_answer_at(machine, self._listed_s)
                last_answer_at = max(last_answer_at, by_peer)
                complete_until = min(complete_until, observation.made_after)
            elif name in self._absent_since:
                last_answer_at = max(last_answer_at, self._absent_since[name])
            else:
                return False  # it may have answered at any time
        return complete_until - last_answer_at >= self._needed_s
