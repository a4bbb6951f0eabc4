"""The proof that an agent's lease has expired, whoever may have renewed it."""

import math
from collections import deque
from collections.abc import Collection, Iterable, Iterator
from typing import NamedTuple

from sandladder.model import MachineInventory


class _Statement(NamedTuple):
    inventory: MachineInventory
    observed: float  # when it reached us
    made: float  # no later than when it was made


class LeaseExpiryProof:
    """Proves that a silent machine's lease has run out, whoever may have answered it.

    A worker kills its tasks when no report of it was answered for the lease.  So the proof
    needs one interval as long as the lease in which *no* controller answered.  For each
    controller we know an upper bound of its last answer to the machine and a time up to
    which that is its whole story; the interval is what these have in common.  All times are
    on our steady clock.
    """

    def __init__(
        self, node: str, nodes: list[str], lease_s: float, started: float, process: int = 0
    ) -> None:
        self._node = node
        self._process = process
        # What stands under our name is another process's, which may have answered anyone.
        self._doubled = False
        self._read = -math.inf  # when the latest reading was sent
        self._others = [name for name in nodes if name != node]
        # The steady clocks of two machines drift apart, timers are coarse.
        self.needed_s = lease_s * 1.02
        self.listed_s = lease_s * 2
        self._started = started
        self._answered: dict[str, float] = {}
        self._statements: dict[str, _Statement] = {}
        self._absent: dict[str, float] = {}
        # By machine and session, since when we know that this session had begun.
        self._began: dict[tuple[str, int], float] = {}
        self._history: deque[tuple[float, int]] = deque(maxlen=512)

    def answered(self, machine: str, now: float) -> None:
        """We are about to answer this machine with a token."""
        self._answered[machine] = now

    def age(self, machine: str, now: float) -> float | None:
        """How long ago we answered it, while that is worth listing."""
        last = self._answered.get(machine)
        if last is None or now - last > self.listed_s:
            self._answered.pop(machine, None)
            return None
        return now - last

    def machines(self) -> list[str]:
        return list(self._answered)

    def up_s(self, now: float) -> float:
        return now - self._started

    def holds(self, held: Iterable[tuple[str, int]], now: float) -> None:
        """These sessions hold committed starts, so they have begun; others are forgotten.

        To be told all the while, not only once a machine is silent: a proof counts from here.
        """
        self._began = {key: self._began.get(key, now) for key in held}

    def synced(self, sent: float, revision: int) -> None:
        """A reading sent then reached this revision."""
        self._read = max(self._read, sent)
        if not self._history or sent - self._history[-1][0] > self.needed_s / 100:
            self._history.append((sent, revision))

    def observe(
        self, nodes: dict[str, MachineInventory], now: float, unreadable_nodes: Collection[str] = ()
    ) -> None:
        """Take in the summaries that stand in the records now.

        A controller whose summary cannot be read lives, and may have answered anyone.
        """
        own = nodes.get(self._node)
        self._doubled = self._node in unreadable_nodes or (
            own is not None and own.process != self._process
        )
        for name in self._others:
            inventory = nodes.get(name)
            known = self._statements.get(name)
            if name in unreadable_nodes:
                self._statements.pop(name, None)
                self._absent.pop(name, None)
                continue
            if inventory is None:
                self._statements.pop(name, None)
                # The hold behind the summary has ended, so its owner had stopped by now.
                self._absent.setdefault(name, now)
                continue
            self._absent.pop(name, None)
            if known is None or known.inventory is not inventory:
                made = self._not_before(inventory.revision)
                self._statements[name] = _Statement(inventory, now, made)

    def statements(self) -> Iterator[tuple[str, MachineInventory, float]]:
        """The other controllers' summaries and when they reached us."""
        for node, statement in self._statements.items():
            yield node, statement.inventory, statement.observed

    def _not_before(self, revision: int) -> float:
        """A time at which the store had not yet reached this revision.

        A summary names the revision its writer had seen, so it was made after that.
        """
        for sent, reached in reversed(self._history):
            if reached < revision:
                return sent
        return float("-inf")

    def lost(self, machine: str, session: int, now: float) -> bool:
        """Whether everything that the machine ran in a session is surely gone."""
        last = self._answered.get(machine, max(self._started, now - self.listed_s))
        # A machine that came up after a summary was made is missing there, and alive: only
        # what follows the beginning of its session counts.  Seen in a measured day, where a
        # task ran twice after a peer's word on a new machine came before its summary.
        last = max(last, self._began.get((machine, session), now))
        # Our own word counts only as far as no other process stands under our name: one that
        # did answered this machine while we heard nothing of it, and we proved it lost.  Seen
        # in the stand-in world.
        if self._doubled:
            return False
        until = min(now, self._read)
        for name in self._others:
            statement = self._statements.get(name)
            if statement is None:
                absent = self._absent.get(name)
                if absent is None:
                    return False
                last = max(last, absent)
                continue
            seen = statement.inventory.machines.get(machine)
            silent = seen.age_s if seen else min(statement.inventory.up_s, self.listed_s)
            last = max(last, statement.observed - silent)
            until = min(until, statement.made)
        return until - last >= self.needed_s
