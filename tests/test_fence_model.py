"""A small model of the fence, searched exhaustively: one worker, its leader and two other controllers.

Time goes in ticks.  The state service, the mesh and the processes do nothing unless the search lets
them, so every refusal, outage, cut, freeze and late answer is among the histories.  The bound: no
task is there more than `CANCEL` ticks after a user was told that its job is cancelled.  The leader's
decisions are `sandladder.fence`'s own.
"""

from collections.abc import Iterator
from typing import NamedTuple

import pytest

from sandladder.agents import LeaseRenewalGuard
from sandladder.config import WorkerSettings
from sandladder.model import ClockReading

LEASE, CANCEL, LAST = 1, 2, 3
OTHERS = ("b", "c")


class Other(NamedTuple):
    """A controller that may confirm the cancellation."""

    process: int = 1
    knows: bool = False  # that the job is cancelled
    heartbeat: tuple[int, int] | None = None  # under way: process and echo, made without knowing


class World(NamedTuple):
    t: int = 0
    told: int | None = None  # when the cancellation was committed, and a user told at once
    lease: int = 0  # of the worker, from when; its task is there until it runs out
    reading: tuple[int, bool] | None = None  # under way: when it was sent, whether carried out
    read: float = 0.0
    peers: tuple[tuple[int, float, float], ...] = ((1, -1.0, 0.0), (1, -1.0, 0.0))
    others: tuple[Other, ...] = (Other(), Other())


class OneForAll(LeaseRenewalGuard):
    """Planted: the word of one peer counts for all."""

    def known_at(self) -> float:
        return max(self._read, *(self._told(peer) for peer in self._peers.values()))


class AnyProcess(LeaseRenewalGuard):
    """Planted: whoever speaks under a peer's name speaks for all its processes."""

    def _told(self, peer) -> float:
        return peer.known


class Search:
    """All histories, with what may be planted."""

    def __init__(
        self,
        kind: type[LeaseRenewalGuard] = LeaseRenewalGuard,
        *,
        late: bool = False,
        heard: bool = False,
    ):
        self.kind = kind
        self.late = late  # a reading counts from its answer
        self.heard = heard  # a beat counts from its arrival

    def renewal_guard(self, world: World) -> LeaseRenewalGuard:
        # What `knowledge_s` leaves of `CANCEL` without drift: clocks here are exact.
        workers = WorkerSettings(report_s=1.0, lease_s=LEASE, cancel_s=(CANCEL + 0.25) / 0.998)
        fence = self.kind("a", OTHERS, 1, workers)
        fence._read = world.read
        for peer, kept in zip(fence._peers.values(), world.peers, strict=True):
            peer.process, peer.since, peer.known = kept
        return fence

    @staticmethod
    def keep(world: World, fence: LeaseRenewalGuard) -> World:
        peers = tuple((p.process, p.since, p.known) for p in fence._peers.values())
        return world._replace(read=fence._read, peers=peers)

    def steps(self, world: World) -> Iterator[World]:
        t = world.t
        if t < LAST:
            # The worst is that a report is answered whenever it may be.
            lease = t if self.renewal_guard(world).open(t) else world.lease
            if t + 1 - lease <= LEASE:
                yield world._replace(t=t + 1, lease=lease)
        # The leader's reading: sent, carried out by the service, answered.
        if world.reading is None:
            yield world._replace(reading=(t, False))
        elif not world.reading[1]:
            if world.told is None:
                yield world._replace(reading=(world.reading[0], True))
        else:
            fence = self.renewal_guard(world)
            fence.read(t if self.late else world.reading[0])
            yield self.keep(world._replace(reading=None), fence)
        for index, other in enumerate(world.others):
            if world.told is None:
                yield self._with(world, index, knows=True)._replace(told=t)
            yield from self._others(world, index, other)

    @staticmethod
    def _with(world: World, index: int, **fields: object) -> World:
        others = list(world.others)
        others[index] = others[index]._replace(**fields)
        return world._replace(others=tuple(others))

    def _others(self, world: World, index: int, other: Other) -> Iterator[World]:
        t = world.t
        if all(each.process == 1 for each in world.others):
            yield self._with(world, index, process=2, knows=False)  # it ends and returns; one does
        if not other.knows and other.heartbeat != (other.process, t):
            # It has just heard the leader and sends a beat; what was under way is lost.
            yield self._with(world, index, heartbeat=(other.process, t))
        if other.heartbeat is not None:
            process, echo = other.heartbeat
            fence = self.renewal_guard(world)
            echoes = {"a": ClockReading(1, t if self.heard else echo)}
            fence.heard(OTHERS[index], ClockReading(process, 0.0), echoes, True, t)
            yield self.keep(self._with(world, index, heartbeat=None), fence)

    def broken(self) -> World | None:
        """A history's end in which the bound is broken, or None."""
        seen, stack = {World()}, [World()]
        while stack:
            for world in self.steps(stack.pop()):
                if world.told is not None and world.t - world.told > CANCEL:
                    return world
                # The two others are alike.
                pairs = sorted(zip(world.peers, world.others, strict=True), key=repr)
                world = world._replace(
                    peers=tuple(pair[0] for pair in pairs), others=tuple(pair[1] for pair in pairs)
                )
                if world not in seen:
                    seen.add(world)
                    stack.append(world)
        self.seen = len(seen)
        return None


def test_no_history_keeps_a_cancelled_task_past_its_time() -> None:
    search = Search()
    assert search.broken() is None
    assert search.seen > 10_000, search.seen


@pytest.mark.parametrize(
    "planted",
    [
        Search(late=True),
        Search(heard=True),
        Search(OneForAll),
        Search(AnyProcess),
    ],
    ids=["from-the-answer", "from-the-arrival", "one-for-all", "any-process"],
)
def test_a_planted_defect_is_found(planted: Search) -> None:
    assert planted.broken() is not None
