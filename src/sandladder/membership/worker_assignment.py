"""Which controller a machine should report to: bounded loads, its own zone first.

Rendezvous hashing names each machine's home among the controllers that can take it; a controller
that has more than its share takes no more, and the next home is asked (consistent hashing with
bounded loads, Mirrokni, Thorup and Zadimoghaddam, 2018).  A machine whose controller is in its own
zone does not notice when the zone is cut off.  Pure.
"""

import hashlib
import math
from collections.abc import Mapping
from typing import NamedTuple

# No controller takes machines past so many times its fair share; machines of other zones only up
# to the lower bound, so that those of its own find room.
_MOST, _MOST_FOREIGN = 1.2, 1.05
# Whoever is asked instead must have so much less, as a share of the fair one: two that know each
# other's numbers a beat late would else send a machine back and forth.
_MARGIN = 0.05
# A machine that nobody has heard for so much of its lease is not sent on.
_PATIENT = 0.5
# While all is well so large a share of the fair one moves in a report interval.
_MOVED = 0.1


class WorkerLoad(NamedTuple):
    """A controller that can take machines."""

    zone: str
    machines: int  # that report to it
    token: int  # its term: a machine that has seen a higher one makes it take a new term


def _lot(machine: str, node: str) -> bytes:
    return hashlib.blake2b(f"{machine} {node}".encode(), digest_size=8).digest()


class WorkerAssignment:
    """One controller's part in sharing the machines out."""

    def __init__(self, node: str, report_s: float, lease_s: float) -> None:
        self._node = node
        self._report_s = report_s
        self._patience_s = _PATIENT * lease_s
        self._sent: dict[str, float] = {}  # when a machine was last referred
        self._referred: dict[str, tuple[int, int]] = {}  # to whom, on top of which number
        self._moves = 0.0
        self._at = 0.0

    def refer(
        self,
        machine: str,
        zone: str,
        token: int,
        ours: bool,
        quiet_s: float | None,
        loads: Mapping[str, WorkerLoad],
        now: float,
        calm: bool,
    ) -> str | None:
        """The controller that a machine should report to instead of us, or None.

        `ours`: it has reported to us before; such a one moves only while all is `calm`, a few
        at a time, and only to a controller that need not take a new term for it (`token` is what
        the machine has seen): that costs the store, and all its machines a moment.  `loads` are
        the controllers that can take machines, we among them.
        `quiet_s` is how long ago anybody heard it, None if nobody knows it: one that has been
        looking for a controller for a while is taken at once, before its lease runs out.
        """
        mine = loads.get(self._node)
        if mine is None or len(loads) < 2 or (ours and not calm):
            return None
        if (quiet_s is None and token > 0) or (quiet_s or 0.0) > self._patience_s:
            return None
        # It may not reach the one that it was sent to, though we do.
        if now - self._sent.get(machine, -math.inf) < 4 * self._patience_s:
            return None
        fair = max(1.0, sum(load.machines for load in loads.values()) / len(loads))
        away = mine.zone != zone
        bound = (_MOST_FOREIGN if away else _MOST) * fair
        full = mine.machines + (not ours) > bound
        margin = max(1.0, _MARGIN * fair)
        best: tuple[bool, bool, bytes, str] | None = None
        for node, load in loads.items():
            if node == self._node:
                continue
            number = self._number(node, load.machines)
            foreign = load.zone != zone
            if number + 1 > (_MOST_FOREIGN if foreign else _MOST) * fair:
                continue
            rises = load.token < token
            if ours and rises:
                continue
            nearer = away and not foreign
            if not nearer and not (full and number + margin < mine.machines):
                continue
            found = (foreign, rises, _lot(machine, node), node)
            best = found if best is None else min(best, found)
        if best is None or (ours and not self._may_move(now, fair)):
            return None
        node = best[3]
        known = self._referred.get(node)
        base = loads[node].machines
        count = known[1] if known is not None and known[0] == base else 0
        self._referred[node] = base, count + 1
        self._sent = {m: at for m, at in self._sent.items() if now - at < 4 * self._patience_s}
        self._sent[machine] = now
        return node

    def _number(self, node: str, told: int) -> int:
        """How many machines a peer has, with those that we sent it since it told."""
        known = self._referred.get(node)
        return told + known[1] if known is not None and known[0] == told else told

    def _may_move(self, now: float, fair: float) -> bool:
        """Whether one more machine may move now that was well where it is."""
        most = max(1.0, math.ceil(_MOVED * fair))
        self._moves = max(0.0, self._moves - (now - self._at) * most / self._report_s)
        self._at = now
        if self._moves + 1 > most:
            return False
        self._moves += 1
        return True
