"""A small model of the roster and one team's record, searched exhaustively to a stated depth.

Three controllers with caches of the records that may be old, transactions that arrive late or
whose answers are lost, ends, restarts, and suspicions that need no reason at all.  Everything that
changes the records goes through `sandladder.membership.roster_transitions`.
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
    """The records as the state service holds them, or as a cache does."""

    roster_at: int  # the version of the roster
    roster: tuple[tuple[str, Member], ...]
    team_at: int
    assignment: TeamAssignment
    used: int  # starts of the team that were committed

    @property
    def records(self) -> RosterRecords:
        return RosterRecords(dict(self.roster), {TEAM: self.assignment})


class Sent(NamedTuple):
    """A transaction under way, with what it rests on."""

    roster_at: int | None
    team_at: int | None
    roster: tuple[tuple[str, Member], ...] | None
    assignment: TeamAssignment | None
    start: bool
    by: tuple[str, int]


class Node(NamedTuple):
    """A controller: its process's incarnation, its cache, and what it has sent."""

    alive: bool
    incarnation: int
    cache: Store
    sent: Sent | None = None
    in_doubt: int = 0  # the version of the team's record that a start without an answer rests on


class World(NamedTuple):
    store: Store
    nodes: tuple[Node, ...]
    late: frozenset[Sent]  # sent by somebody who no longer waits for it
    incarnations: int
    faults: int


def initial_world() -> World:
    members = tuple((n, Member(i + 1, 0, IN, 0.0, 0, "")) for i, n in enumerate(NODES))
    store = Store(1, members, 1, TeamAssignment("a", 1), 0)
    return World(store, tuple(Node(True, i + 1, store) for i in range(3)), frozenset(), 3, 0)


def apply(store: Store, sent: Sent) -> Store:
    """The state service takes a transaction, or refuses it."""
    if sent.roster_at not in (None, store.roster_at) or sent.team_at not in (None, store.team_at):
        return store
    if sent.roster is not None:
        store = store._replace(roster=sent.roster, roster_at=store.roster_at + 1)
    if sent.assignment is not None:
        store = store._replace(assignment=sent.assignment, team_at=store.team_at + 1)
    return store._replace(used=store.used + sent.start)


class Defects(NamedTuple):
    """What may be planted, to see that the search finds it."""

    unbound: bool = False  # a start does not rest on the team's record
    forgetful: bool = False  # a start without an answer is not made harmless before the next
    hasty: bool = False  # it is made harmless by the next start, not before that
    nameless: bool = False  # a new process of a controller goes on with its old one's teams


def start(node: Node, name: str, defects: Defects) -> Sent | None:
    """The start that a controller would commit on its cache, as `jobs.start` binds it."""
    mine = (
        node.cache.assignment.node == name
        if defects.nameless
        else node.cache.assignment == (name, node.incarnation)
    )
    if not mine or node.cache.used >= LIMIT:
        return None
    bound = None if defects.unbound else node.cache.team_at
    in_doubt = node.in_doubt == node.cache.team_at and not defects.forgetful
    assignment = TeamAssignment(name, node.incarnation) if in_doubt and defects.hasty else None
    if in_doubt and assignment is None:
        # As `jobs` does it: the record moves first, alone.
        return Sent(None, bound, None, node.cache.assignment, False, (name, node.incarnation))
    return Sent(None, bound, None, assignment, True, (name, node.incarnation))


def request_of(node: Node, name: str, transition: RosterTransition) -> Sent | None:
    """A change of the roster or of the team's assignment, as `roster_transitions.write` binds it."""
    if not transition:
        return None
    cache = node.cache
    members = None if transition.roster is None else tuple(sorted(transition.roster.items()))
    assignment = transition.assignments.get(TEAM)
    team_at = cache.team_at if assignment is not None else None
    return Sent(cache.roster_at, team_at, members, assignment, False, (name, node.incarnation))


def possible_transitions(node: Node, name: str) -> Iterator[RosterTransition]:
    """All transitions that a controller may ask for: suspicions need no reason here."""
    records = node.cache.records
    me = records.roster.get(name)
    own = TeamAssignment(name, node.incarnation)

    def tried(call: object, *args: object) -> Iterator[RosterTransition]:
        with contextlib.suppress(PreconditionFailedError):
            yield call(*args)  # type: ignore[operator]

    yield from tried(roster_transitions.join, records, name, node.incarnation, 0.0, [TEAM])
    if me is None or me.incarnation != node.incarnation:
        return
    yield from tried(roster_transitions.refute, records, name, node.incarnation)
    if me.state != IN:
        return
    yield from tried(roster_transitions.claim, records, TEAM, "a", own)
    for other, member in records.roster.items():
        if other == name:
            continue
        if member.state == IN:
            yield from tried(roster_transitions.suspect, records, other, member, "")
            if records.assignments[TEAM].node == name:
                yield from tried(
                    roster_transitions.reassign, records, TEAM, other, records.assignments[TEAM]
                )
        elif member.state == SUSPECT:
            yield from tried(roster_transitions.clear, records, other, member)
            yield from tried(roster_transitions.evict, records, other, member, "", 0.0, 1.0)


def successors(world: World, defects: Defects) -> Iterator[World]:
    """Everything that may happen next."""
    for index, (name, node) in enumerate(zip(NODES, world.nodes, strict=True)):

        def become(node: Node, index: int = index, **changes: object) -> World:
            nodes = (*world.nodes[:index], node, *world.nodes[index + 1 :])
            return world._replace(nodes=nodes, **changes)

        if not node.alive:
            incarnation = world.incarnations + 1
            yield become(Node(True, incarnation, world.store), incarnations=incarnation)
            continue
        if node.sent is None:
            if node.cache != world.store:
                yield become(node._replace(cache=world.store))
            wanted = [
                request_of(node, name, transition)
                for transition in possible_transitions(node, name)
            ]
            for sent in [*wanted, start(node, name, defects)]:
                if sent is not None:
                    yield become(node._replace(sent=sent))
        else:
            after = apply(world.store, node.sent)
            # Whoever was refused, or changed something, reads before it goes on.
            yield become(node._replace(sent=None, cache=after), store=after)
            if world.faults < FAULTS:
                # No answer: it reads back what is there, and what it sent may arrive later.
                in_doubt = node.sent.team_at or 0 if node.sent.start else node.in_doubt
                lost = node._replace(sent=None, cache=world.store, in_doubt=in_doubt)
                late = world.late | {node.sent}
                yield become(lost, late=late, faults=world.faults + 1)
        if world.faults < FAULTS:
            late = world.late | ({node.sent} if node.sent else set())
            ended = node._replace(alive=False, sent=None)
            yield become(ended, late=frozenset(late), faults=world.faults + 1)
    for sent in world.late:
        yield world._replace(store=apply(world.store, sent), late=world.late - {sent})


def violation(world: World, defects: Defects) -> str | None:
    """Which rule a world breaks, if any."""
    store = world.store
    if store.used > LIMIT:
        return "more was started than the limit allows"
    could = {
        sent.by
        for name, node in zip(NODES, world.nodes, strict=True)
        if node.alive and (sent := node.sent or start(node, name, defects)) is not None
        if sent.start and apply(store, sent).used > store.used
    }
    return "two controllers could start work of the team" if len(could) > 1 else None


def search(depth: int, defects: Defects) -> tuple[set[World], str | None]:
    """All worlds that so many steps reach, and the first violation found."""
    known = {initial_world()}
    edge = list(known)
    for _ in range(depth):
        found: list[World] = []
        for world in edge:
            for after in successors(world, defects):
                if after not in known:
                    known.add(after)
                    found.append(after)
                    if (fault := violation(after, defects)) is not None:
                        return known, fault
        edge = found
    return known, None


def rounds_to_settle(world: World) -> int | None:
    """How many rounds without further faults lead to one live assignee; None: too many."""
    store = world.store
    for sent in world.late:
        store = apply(store, sent)
    incarnations, nodes = world.incarnations, dict(zip(NODES, world.nodes, strict=True))
    if not any(node.alive for node in nodes.values()):
        incarnations += 1
        nodes["b"] = Node(True, incarnations, store)
    for round_number in range(1, 8):
        for name, node in nodes.items():
            if not node.alive:
                continue
            for wanted in _policy(nodes, name, node.incarnation, store):
                sent = request_of(node._replace(cache=store), name, wanted)
                if sent is not None:
                    store = apply(store, sent)
        assignment, member = store.assignment, dict(store.roster).get(store.assignment.node)
        lives = (
            nodes[assignment.node].alive
            and nodes[assignment.node].incarnation == assignment.incarnation
        )
        if lives and member is not None and member.state == IN:
            return round_number
    return None


def _policy(
    nodes: dict[str, Node], name: str, incarnation: int, store: Store
) -> Iterator[RosterTransition]:
    """What a controller does that knows which others live, as `policy` decides; one change a round."""
    records = store.records
    me = records.roster.get(name)
    if me is None or me.state == OUT or me.incarnation != incarnation:
        yield roster_transitions.join(records, name, incarnation, 0.0, [TEAM])
    elif me.state == SUSPECT:
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
    worlds, fault = search(DEPTH, Defects())
    assert fault is None
    assert len(worlds) > 40_000
    # From any of them, without further faults, one live assignee is reached.
    rounds = [rounds_to_settle(world) for world in worlds]
    assert None not in rounds and max(rounds) <= 5  # type: ignore[type-var]


@pytest.mark.parametrize("defect", Defects._fields)
def test_the_search_finds_each_planted_defect(defect: str) -> None:
    _, fault = search(DEPTH, Defects(**{defect: True}))
    assert fault is not None
