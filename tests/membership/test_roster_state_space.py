"""Exhaustive search, to a bounded depth, of a model of the roster and one team's record.

The model has three controllers with stale caches, delayed transactions, lost responses, crashes,
restarts, and unfounded suspicions.  All changes of the records are made by
`sandladder.membership.roster_transitions`.
"""

import contextlib
from collections.abc import Iterator
from typing import NamedTuple

import pytest

from sandladder.membership import RosterRecords, RosterTransition, roster_transitions
from sandladder.membership.roster import rightful_assignee
from sandladder.model import IN, OUT, SUSPECT, Member, TeamAssignment
from sandladder.state import PreconditionFailedError

TEAM, LIMIT, NODES = "red", 1, ("a", "b", "c")
DEPTH, FAULTS = 6, 2


class Store(NamedTuple):
    """The records in the store or in a controller's cache."""

    roster_version: int
    roster: tuple[tuple[str, Member], ...]
    team_version: int
    assignment: TeamAssignment
    starts: int  # committed starts of the team

    @property
    def records(self) -> RosterRecords:
        return RosterRecords(dict(self.roster), {TEAM: self.assignment})


class InFlight(NamedTuple):
    """A transaction in flight, with the versions that it expects."""

    roster_version: int | None
    team_version: int | None
    roster: tuple[tuple[str, Member], ...] | None
    assignment: TeamAssignment | None
    start: bool
    sender: tuple[str, int]


class Node(NamedTuple):
    """A controller: its process's incarnation, its cache, and its transaction in flight."""

    alive: bool
    incarnation: int
    cache: Store
    in_flight: InFlight | None = None
    # The version of the team's record that a start without a response expects.
    unresolved_version: int = 0


class SystemState(NamedTuple):
    store: Store
    nodes: tuple[Node, ...]
    delayed: frozenset[InFlight]  # their senders no longer wait for them
    incarnations: int
    faults: int


def initial_state() -> SystemState:
    members = tuple((n, Member(i + 1, 0, IN, 0.0, 0, "")) for i, n in enumerate(NODES))
    store = Store(1, members, 1, TeamAssignment("a", 1), 0)
    return SystemState(store, tuple(Node(True, i + 1, store) for i in range(3)), frozenset(), 3, 0)


def apply(store: Store, in_flight: InFlight) -> Store:
    """Return the store after it has applied or refused a transaction."""
    if in_flight.roster_version not in (
        None,
        store.roster_version,
    ) or in_flight.team_version not in (None, store.team_version):
        return store
    if in_flight.roster is not None:
        store = store._replace(roster=in_flight.roster, roster_version=store.roster_version + 1)
    if in_flight.assignment is not None:
        store = store._replace(assignment=in_flight.assignment, team_version=store.team_version + 1)
    return store._replace(starts=store.starts + in_flight.start)


class Defects(NamedTuple):
    """Defects that can be injected to check that the search finds them."""

    unconditional_start: bool = False  # a start does not expect a version of the team's record
    # The team's record is not rewritten after a start without a response.
    unresolved_start_ignored: bool = False
    # It is rewritten by the next start instead of before it.
    unresolved_start_combined: bool = False
    # A new process of a controller keeps the teams of the previous one without claiming them.
    incarnation_ignored: bool = False


def start(node: Node, name: str, defects: Defects) -> InFlight | None:
    """Return the start that a controller would send, with the conditions that `jobs` gives it."""
    assigned = (
        node.cache.assignment.node == name
        if defects.incarnation_ignored
        else node.cache.assignment == (name, node.incarnation)
    )
    if not assigned or node.cache.starts >= LIMIT:
        return None
    team_version = None if defects.unconditional_start else node.cache.team_version
    is_unresolved = (
        node.unresolved_version == node.cache.team_version and not defects.unresolved_start_ignored
    )
    assignment = (
        TeamAssignment(name, node.incarnation)
        if is_unresolved and defects.unresolved_start_combined
        else None
    )
    if is_unresolved and assignment is None:
        # As in `jobs`, the record is first rewritten by a transaction of its own.
        return InFlight(
            None, team_version, None, node.cache.assignment, False, (name, node.incarnation)
        )
    return InFlight(None, team_version, None, assignment, True, (name, node.incarnation))


def transaction_of(node: Node, name: str, transition: RosterTransition) -> InFlight | None:
    """Return a transition as a transaction, conditional as in `roster_transitions.write`."""
    if not transition:
        return None
    cache = node.cache
    members = None if transition.roster is None else tuple(sorted(transition.roster.items()))
    assignment = transition.assignments.get(TEAM)
    team_version = cache.team_version if assignment is not None else None
    return InFlight(
        cache.roster_version, team_version, members, assignment, False, (name, node.incarnation)
    )


def possible_transitions(node: Node, name: str) -> Iterator[RosterTransition]:
    """Yield all transitions that a controller could make; suspicions need no evidence here."""
    records = node.cache.records
    own_member = records.roster.get(name)
    own = TeamAssignment(name, node.incarnation)

    def attempt(call: object, *args: object) -> Iterator[RosterTransition]:
        with contextlib.suppress(PreconditionFailedError):
            yield call(*args)  # type: ignore[operator]

    yield from attempt(roster_transitions.join, records, name, node.incarnation, 0.0, [TEAM])
    if own_member is None or own_member.incarnation != node.incarnation:
        return
    yield from attempt(roster_transitions.refute, records, name, node.incarnation)
    if own_member.state != IN:
        return
    yield from attempt(roster_transitions.claim, records, TEAM, "a", own)
    for other, member in records.roster.items():
        if other == name:
            continue
        if member.state == IN:
            yield from attempt(roster_transitions.suspect, records, other, member, "")
            if records.assignments[TEAM].node == name:
                yield from attempt(
                    roster_transitions.reassign, records, TEAM, other, records.assignments[TEAM]
                )
        elif member.state == SUSPECT:
            yield from attempt(roster_transitions.clear, records, other, member)
            yield from attempt(roster_transitions.evict, records, other, member, "", 0.0, 1.0)


def successors(state: SystemState, defects: Defects) -> Iterator[SystemState]:
    """Yield all states that can follow a state."""
    for index, (name, node) in enumerate(zip(NODES, state.nodes, strict=True)):

        def with_node(node: Node, index: int = index, **changes: object) -> SystemState:
            nodes = (*state.nodes[:index], node, *state.nodes[index + 1 :])
            return state._replace(nodes=nodes, **changes)

        if not node.alive:
            incarnation = state.incarnations + 1
            yield with_node(Node(True, incarnation, state.store), incarnations=incarnation)
            continue
        if node.in_flight is None:
            if node.cache != state.store:
                yield with_node(node._replace(cache=state.store))
            transactions = [
                transaction_of(node, name, transition)
                for transition in possible_transitions(node, name)
            ]
            for in_flight in [*transactions, start(node, name, defects)]:
                if in_flight is not None:
                    yield with_node(node._replace(in_flight=in_flight))
        else:
            after = apply(state.store, node.in_flight)
            # After a commit or a refusal the controller reads the records.
            yield with_node(node._replace(in_flight=None, cache=after), store=after)
            if state.faults < FAULTS:
                # No response: the controller reads the records; the transaction may arrive later.
                unresolved_version = (
                    node.in_flight.team_version or 0
                    if node.in_flight.start
                    else node.unresolved_version
                )
                unanswered = node._replace(
                    in_flight=None, cache=state.store, unresolved_version=unresolved_version
                )
                delayed = state.delayed | {node.in_flight}
                yield with_node(unanswered, delayed=delayed, faults=state.faults + 1)
        if state.faults < FAULTS:
            delayed = state.delayed | ({node.in_flight} if node.in_flight else set())
            crashed = node._replace(alive=False, in_flight=None)
            yield with_node(crashed, delayed=frozenset(delayed), faults=state.faults + 1)
    for in_flight in state.delayed:
        yield state._replace(
            store=apply(state.store, in_flight), delayed=state.delayed - {in_flight}
        )


def violation(state: SystemState, defects: Defects) -> str | None:
    """Return the safety rule that a state violates, or None."""
    store = state.store
    if store.starts > LIMIT:
        return "more was started than the limit allows"
    able_to_start = {
        in_flight.sender
        for name, node in zip(NODES, state.nodes, strict=True)
        if node.alive and (in_flight := node.in_flight or start(node, name, defects)) is not None
        if in_flight.start and apply(store, in_flight).starts > store.starts
    }
    return "two controllers could start work of the team" if len(able_to_start) > 1 else None


def search(depth: int, defects: Defects) -> tuple[set[SystemState], str | None]:
    """Return the states reachable in `depth` steps, and the first violation found."""
    visited = {initial_state()}
    frontier = list(visited)
    for _ in range(depth):
        discovered: list[SystemState] = []
        for state in frontier:
            for after in successors(state, defects):
                if after not in visited:
                    visited.add(after)
                    discovered.append(after)
                    if (fault := violation(after, defects)) is not None:
                        return visited, fault
        frontier = discovered
    return visited, None


def rounds_to_converge(state: SystemState) -> int | None:
    """Return the fault-free rounds until a live process is assigned; None if there are too many."""
    store = state.store
    for in_flight in state.delayed:
        store = apply(store, in_flight)
    incarnations, nodes = state.incarnations, dict(zip(NODES, state.nodes, strict=True))
    if not any(node.alive for node in nodes.values()):
        incarnations += 1
        nodes["b"] = Node(True, incarnations, store)
    for round_number in range(1, 8):
        for name, node in nodes.items():
            if not node.alive:
                continue
            for transition in _policy(nodes, name, node.incarnation, store):
                in_flight = transaction_of(node._replace(cache=store), name, transition)
                if in_flight is not None:
                    store = apply(store, in_flight)
        assignment, member = store.assignment, dict(store.roster).get(store.assignment.node)
        is_live = (
            nodes[assignment.node].alive
            and nodes[assignment.node].incarnation == assignment.incarnation
        )
        if is_live and member is not None and member.state == IN:
            return round_number
    return None


def _policy(
    nodes: dict[str, Node], name: str, incarnation: int, store: Store
) -> Iterator[RosterTransition]:
    """Yield the one change that a controller makes in a round if it knows which others are alive."""
    records = store.records
    own_member = records.roster.get(name)
    if own_member is None or own_member.state == OUT or own_member.incarnation != incarnation:
        yield roster_transitions.join(records, name, incarnation, 0.0, [TEAM])
    elif own_member.state == SUSPECT:
        yield roster_transitions.refute(records, name, incarnation)
    elif rightful_assignee(TEAM, "a", records) == name and records.assignments[TEAM] != (
        name,
        incarnation,
    ):
        yield roster_transitions.claim(records, TEAM, "a", TeamAssignment(name, incarnation))
    else:
        for other, member in records.roster.items():
            if nodes[other].alive or member.state == OUT:
                continue
            if member.state == IN:
                yield roster_transitions.suspect(records, other, member, "")
            else:
                yield roster_transitions.evict(records, other, member, "", 0.0, 1.0)
            return


def test_no_interleaving_lets_two_controllers_start_or_exceeds_the_limit() -> None:
    states, fault = search(DEPTH, Defects())
    assert fault is None
    assert len(states) > 40_000
    # From each state, without further faults, the team gets a live assignee.
    rounds = [rounds_to_converge(state) for state in states]
    assert None not in rounds and max(rounds) <= 5  # type: ignore[type-var]


@pytest.mark.parametrize("defect", Defects._fields)
def test_the_search_finds_each_injected_defect(defect: str) -> None:
    _, fault = search(DEPTH, Defects(**{defect: True}))
    assert fault is not None
