"""Exhaustive model check of lease renewal: one agent, its controller and two peers.

Time advances in ticks.  The store, the network and the processes act only when the search selects
them, so the histories include every rejection, outage, partition, pause and delayed response.
Invariant: no task runs more than `CANCEL_TICKS` after the confirmed cancellation of its job.  The
controller's decisions are made by `LeaseRenewalGuard`.
"""

from collections.abc import Iterator
from typing import NamedTuple

import pytest

from sandladder.agents import LeaseRenewalGuard
from sandladder.config import AgentSettings
from sandladder.model import ClockReading

LEASE_TICKS, CANCEL_TICKS, LAST_TICK = 1, 2, 3
PEERS = ("b", "c")


class PeerState(NamedTuple):
    """A peer controller, which may confirm the cancellation."""

    process: int = 1
    knows_cancellation: bool = False
    # In flight, made without knowing the cancellation: the sender's process, and the clock reading
    # that it acknowledges.
    heartbeat: tuple[int, int] | None = None


class ModelState(NamedTuple):
    """One state of the model; `a` is the agent's controller."""

    tick: int = 0
    confirmed_at: int | None = None  # when the cancellation was committed and confirmed
    lease_start: int = 0  # the agent's task runs until this lease expires
    # In flight: the tick when it was sent, and whether the store has executed it.
    store_read: tuple[int, bool] | None = None
    last_read_at: float = 0.0
    guard_peers: tuple[tuple[int, float, float], ...] = ((1, -1.0, 0.0), (1, -1.0, 0.0))
    peers: tuple[PeerState, ...] = (PeerState(), PeerState())


class OnePeerSuffices(LeaseRenewalGuard):
    """Injected defect: the heartbeats of one peer count for all peers."""

    def cancellations_known_until(self) -> float:
        known = (self._known_until(peer) for peer in self._peers.values())
        return max(self._last_read_at, *known)


class IgnoresPeerProcess(LeaseRenewalGuard):
    """Injected defect: a heartbeat of one process of a peer counts for all its processes."""

    def _known_until(self, peer) -> float:
        return peer.known_until


class Search:
    """Exhaustive search of all histories, optionally with an injected defect."""

    def __init__(
        self,
        guard_class: type[LeaseRenewalGuard] = LeaseRenewalGuard,
        *,
        read_counts_from_response: bool = False,
        heartbeat_counts_from_arrival: bool = False,
    ):
        self.guard_class = guard_class
        self.read_counts_from_response = read_counts_from_response
        self.heartbeat_counts_from_arrival = heartbeat_counts_from_arrival

    def renewal_guard(self, state: ModelState) -> LeaseRenewalGuard:
        # Cancels out the drift margin of `cancellation_knowledge_age_s`: clocks here are exact.
        workers = AgentSettings(
            report_s=1.0, lease_s=LEASE_TICKS, cancel_s=(CANCEL_TICKS + 0.25) / 0.998
        )
        guard = self.guard_class("a", PEERS, 1, workers)
        guard._last_read_at = state.last_read_at
        for peer, saved in zip(guard._peers.values(), state.guard_peers, strict=True):
            peer.process, peer.first_heartbeat_at, peer.known_until = saved
        return guard

    @staticmethod
    def with_guard(state: ModelState, guard: LeaseRenewalGuard) -> ModelState:
        guard_peers = tuple(
            (peer.process, peer.first_heartbeat_at, peer.known_until)
            for peer in guard._peers.values()
        )
        return state._replace(last_read_at=guard._last_read_at, guard_peers=guard_peers)

    def next_states(self, state: ModelState) -> Iterator[ModelState]:
        tick = state.tick
        if tick < LAST_TICK:
            # Worst case: a heartbeat is answered whenever that is permitted.
            lease_start = (
                tick if self.renewal_guard(state).permits_renewal(tick) else state.lease_start
            )
            if tick + 1 - lease_start <= LEASE_TICKS:
                yield state._replace(tick=tick + 1, lease_start=lease_start)
        # The controller's store read: sent, executed by the store, answered.
        if state.store_read is None:
            yield state._replace(store_read=(tick, False))
        elif not state.store_read[1]:
            if state.confirmed_at is None:
                yield state._replace(store_read=(state.store_read[0], True))
        else:
            guard = self.renewal_guard(state)
            guard.record_store_read(tick if self.read_counts_from_response else state.store_read[0])
            yield self.with_guard(state._replace(store_read=None), guard)
        for index, peer in enumerate(state.peers):
            if state.confirmed_at is None:
                yield self._with_peer(state, index, knows_cancellation=True)._replace(
                    confirmed_at=tick
                )
            yield from self._peer_steps(state, index, peer)

    @staticmethod
    def _with_peer(state: ModelState, index: int, **fields: object) -> ModelState:
        peers = list(state.peers)
        peers[index] = peers[index]._replace(**fields)
        return state._replace(peers=tuple(peers))

    def _peer_steps(self, state: ModelState, index: int, peer: PeerState) -> Iterator[ModelState]:
        tick = state.tick
        if all(each.process == 1 for each in state.peers):
            # At most one peer restarts.
            yield self._with_peer(state, index, process=2, knows_cancellation=False)
        if not peer.knows_cancellation and peer.heartbeat != (peer.process, tick):
            # The peer received a heartbeat of `a` and sends its own; the one in flight is lost.
            yield self._with_peer(state, index, heartbeat=(peer.process, tick))
        if peer.heartbeat is not None:
            process, acknowledged_at = peer.heartbeat
            guard = self.renewal_guard(state)
            acknowledged = {
                "a": ClockReading(
                    1, tick if self.heartbeat_counts_from_arrival else acknowledged_at
                )
            }
            guard.record_peer_heartbeat(
                PEERS[index], ClockReading(process, 0.0), acknowledged, True, tick
            )
            yield self.with_guard(self._with_peer(state, index, heartbeat=None), guard)

    def find_violation(self) -> ModelState | None:
        """Return a reachable state that violates the invariant, or None."""
        visited, stack = {ModelState()}, [ModelState()]
        while stack:
            for state in self.next_states(stack.pop()):
                if (
                    state.confirmed_at is not None
                    and state.tick - state.confirmed_at > CANCEL_TICKS
                ):
                    return state
                # The two peers are interchangeable.
                pairs = sorted(zip(state.guard_peers, state.peers, strict=True), key=repr)
                state = state._replace(
                    guard_peers=tuple(pair[0] for pair in pairs),
                    peers=tuple(pair[1] for pair in pairs),
                )
                if state not in visited:
                    visited.add(state)
                    stack.append(state)
        self.visited_count = len(visited)
        return None


def test_no_history_runs_a_task_past_its_cancellation_deadline() -> None:
    search = Search()
    assert search.find_violation() is None
    assert search.visited_count > 10_000, search.visited_count


@pytest.mark.parametrize(
    "search",
    [
        Search(read_counts_from_response=True),
        Search(heartbeat_counts_from_arrival=True),
        Search(OnePeerSuffices),
        Search(IgnoresPeerProcess),
    ],
    ids=[
        "read-from-response",
        "heartbeat-from-arrival",
        "one-peer-suffices",
        "ignores-peer-process",
    ],
)
def test_the_search_finds_an_injected_defect(search: Search) -> None:
    assert search.find_violation() is not None


@pytest.mark.parametrize(
    ("process", "lists_all_cancelled", "known_until"),
    [(1, True, 5.0), (1, False, 2.0), (9, True, 2.0)],
    ids=["complete", "omits-cancelled-jobs", "acknowledges-another-process"],
)
def test_a_peer_heartbeat_counts_only_if_it_is_complete_and_acknowledges_this_process(
    process: int, lists_all_cancelled: bool, known_until: float
) -> None:
    guard = LeaseRenewalGuard(
        "a", ["b"], 1, AgentSettings(report_s=1.0, lease_s=LEASE_TICKS, cancel_s=CANCEL_TICKS)
    )
    guard.record_peer_heartbeat("b", ClockReading(1, 0.0), {}, True, 1.0)
    guard.record_store_read(2.0)
    guard.record_peer_heartbeat(
        "b", ClockReading(1, 0.0), {"a": ClockReading(process, 5.0)}, lists_all_cancelled, 6.0
    )
    assert guard.cancellations_known_until() == known_until
