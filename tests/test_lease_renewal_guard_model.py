"""A model of lease renewal, searched exhaustively: one agent, its controller and two others.

Time goes in ticks.  The store, the network and the processes do nothing unless the search lets
them, so every refusal, outage, partition, freeze and late response is among the histories.  The
bound: no task runs more than `CANCEL` ticks after the cancellation of its job was confirmed to a
user.  The controller's decisions are those of `LeaseRenewalGuard` itself.
"""

from collections.abc import Iterator
from typing import NamedTuple

import pytest

from sandladder.agents import LeaseRenewalGuard
from sandladder.config import AgentSettings
from sandladder.model import ClockReading

LEASE, CANCEL, LAST = 1, 2, 3
OTHERS = ("b", "c")


class Other(NamedTuple):
    """A controller that may confirm the cancellation."""

    process: int = 1
    knows: bool = False  # that the job is cancelled
    # Under way, made without knowing: its process, and the clock reading that it acknowledges.
    heartbeat: tuple[int, int] | None = None


class World(NamedTuple):
    """One state of the model; `a` is the agent's controller."""

    t: int = 0
    confirmed_at: int | None = None  # when the cancellation was committed, and at once confirmed
    lease: int = 0  # of the agent, from when; its task runs until it expires
    reading: tuple[int, bool] | None = None  # under way: when it was sent, whether carried out
    last_read_at: float = 0.0
    peers: tuple[tuple[int, float, float], ...] = ((1, -1.0, 0.0), (1, -1.0, 0.0))
    others: tuple[Other, ...] = (Other(), Other())


class OneForAll(LeaseRenewalGuard):
    """Planted: the heartbeats of one peer count for all."""

    def cancellations_known_until(self) -> float:
        known = (self._known_until(peer) for peer in self._peers.values())
        return max(self._last_read_at, *known)


class AnyProcess(LeaseRenewalGuard):
    """Planted: a heartbeat under a peer's name counts for all its processes."""

    def _known_until(self, peer) -> float:
        return peer.known_until


class Search:
    """All histories, with what may be planted."""

    def __init__(
        self,
        kind: type[LeaseRenewalGuard] = LeaseRenewalGuard,
        *,
        reading_counts_from_response: bool = False,
        heartbeat_counts_from_arrival: bool = False,
    ):
        self.kind = kind
        self.reading_counts_from_response = reading_counts_from_response
        self.heartbeat_counts_from_arrival = heartbeat_counts_from_arrival

    def renewal_guard(self, world: World) -> LeaseRenewalGuard:
        # What `knowledge_s` leaves of `CANCEL` without drift: clocks here are exact.
        workers = AgentSettings(report_s=1.0, lease_s=LEASE, cancel_s=(CANCEL + 0.25) / 0.998)
        guard = self.kind("a", OTHERS, 1, workers)
        guard._last_read_at = world.last_read_at
        for peer, kept in zip(guard._peers.values(), world.peers, strict=True):
            peer.process, peer.first_heartbeat_at, peer.known_until = kept
        return guard

    @staticmethod
    def keep(world: World, guard: LeaseRenewalGuard) -> World:
        peers = tuple(
            (peer.process, peer.first_heartbeat_at, peer.known_until)
            for peer in guard._peers.values()
        )
        return world._replace(last_read_at=guard._last_read_at, peers=peers)

    def steps(self, world: World) -> Iterator[World]:
        t = world.t
        if t < LAST:
            # The worst is that a heartbeat is answered whenever it may be.
            lease = t if self.renewal_guard(world).permits_renewal(t) else world.lease
            if t + 1 - lease <= LEASE:
                yield world._replace(t=t + 1, lease=lease)
        # The controller's reading: sent, carried out by the store, answered.
        if world.reading is None:
            yield world._replace(reading=(t, False))
        elif not world.reading[1]:
            if world.confirmed_at is None:
                yield world._replace(reading=(world.reading[0], True))
        else:
            guard = self.renewal_guard(world)
            guard.record_store_read(t if self.reading_counts_from_response else world.reading[0])
            yield self.keep(world._replace(reading=None), guard)
        for index, other in enumerate(world.others):
            if world.confirmed_at is None:
                yield self._with(world, index, knows=True)._replace(confirmed_at=t)
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
            # It has just received a heartbeat of `a` and sends one; what was under way is lost.
            yield self._with(world, index, heartbeat=(other.process, t))
        if other.heartbeat is not None:
            process, echo = other.heartbeat
            guard = self.renewal_guard(world)
            acknowledged = {"a": ClockReading(1, t if self.heartbeat_counts_from_arrival else echo)}
            guard.record_peer_heartbeat(
                OTHERS[index], ClockReading(process, 0.0), acknowledged, True, t
            )
            yield self.keep(self._with(world, index, heartbeat=None), guard)

    def broken(self) -> World | None:
        """A history's end in which the bound is broken, or None."""
        seen, stack = {World()}, [World()]
        while stack:
            for world in self.steps(stack.pop()):
                if world.confirmed_at is not None and world.t - world.confirmed_at > CANCEL:
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


def test_no_history_runs_a_cancelled_task_past_its_deadline() -> None:
    search = Search()
    assert search.broken() is None
    assert search.seen > 10_000, search.seen


@pytest.mark.parametrize(
    "planted",
    [
        Search(reading_counts_from_response=True),
        Search(heartbeat_counts_from_arrival=True),
        Search(OneForAll),
        Search(AnyProcess),
    ],
    ids=["from-the-response", "from-the-arrival", "one-for-all", "any-process"],
)
def test_a_planted_defect_is_found(planted: Search) -> None:
    assert planted.broken() is not None


@pytest.mark.parametrize(
    ("process", "names_all", "known_until"),
    [(1, True, 5.0), (1, False, 2.0), (9, True, 2.0)],
    ids=["proves", "omits-cancelled-jobs", "acknowledges-another-process"],
)
def test_a_heartbeat_carries_knowledge_on_only_if_it_is_complete_and_acknowledges_us(
    process: int, names_all: bool, known_until: float
) -> None:
    guard = LeaseRenewalGuard(
        "a", ["b"], 1, AgentSettings(report_s=1.0, lease_s=LEASE, cancel_s=CANCEL)
    )
    guard.record_peer_heartbeat("b", ClockReading(1, 0.0), {}, True, 1.0)
    guard.record_store_read(2.0)
    guard.record_peer_heartbeat(
        "b", ClockReading(1, 0.0), {"a": ClockReading(process, 5.0)}, names_all, 6.0
    )
    assert guard.cancellations_known_until() == known_until
