"""What moves, and when, for each kind of fault: stewards with copies, beats and a store."""

import itertools
from copy import deepcopy
from functools import cache
from random import Random

import pytest
from fleet import HOLD, REPORT, Fleet

from sandladder.model import IN

PAIRS = list(itertools.combinations(range(3), 2))


def ready(count: int = 3, teams: int = 3, seed: int = 1) -> Fleet:
    """Controllers that have entered, each team at its home."""
    fleet = deepcopy(_entered(count, teams))
    fleet.rng.seed(seed)
    return fleet


@cache
def _entered(count: int, teams: int) -> Fleet:
    fleet = Fleet(count, teams)
    fleet.play(20.0)
    homes = {team: f"node-{index % count}" for index, team in enumerate(fleet.teams)}
    assert {team: assignment.node for team, assignment in fleet.assignments().items()} == homes
    return fleet


def cut(fleet: Fleet, one: int, other: int, how: int) -> None:
    """1 and 2: beats are lost one way; 3: both ways; 4: connections are refused."""
    if how in (1, 3):
        fleet.cut.add((f"node-{one}", f"node-{other}"))
    if how in (2, 3):
        fleet.cut.add((f"node-{other}", f"node-{one}"))
    if how == 4:
        fleet.refused.add(frozenset((f"node-{one}", f"node-{other}")))


def heal(fleet: Fleet) -> None:
    fleet.cut.clear()
    fleet.refused.clear()
    fleet.cut_store.clear()
    fleet.frozen.clear()
    fleet.slow.clear()


def well(fleet: Fleet) -> None:
    """All live, nobody is doubted, each team is placed by a process that lives."""
    for assignment in fleet.assignments().values():
        assert fleet.nodes[assignment.node].own == assignment
    for node in fleet.nodes.values():
        assert all(member.state == IN for member in node.cache.roster.values())


@pytest.mark.parametrize("lost", [None, 0, 1, 2])
def test_no_pattern_of_cuts_among_three_moves_a_team_more_than_twice(lost: int | None) -> None:
    """Every combination of one-way and two-way cuts and refusals; one may lose the store as well.

    Seen in a measured day: three that refused each other took three teams 215 times in 30 s.
    """
    for pattern in itertools.product(range(5), repeat=3):
        fleet = ready()
        for (one, other), how in zip(PAIRS, pattern, strict=True):
            cut(fleet, one, other, how)
        if lost is not None:
            fleet.cut_store.add(f"node-{lost}")
        mark = fleet.mark()
        fleet.play(10.0)
        if lost is None:
            # All of them write to the state service: nobody can be taken for gone.
            assert not any(fleet.moves(mark).values()), pattern
        else:
            moved = fleet.moves(mark)
            assert all(number <= (index == lost) for index, number in enumerate(moved.values()))
        heal(fleet)
        fleet.play(18.0)
        assert max(fleet.moves(mark).values()) <= 2, pattern
        well(fleet)


def test_two_hundred_patterns_among_seven() -> None:
    for seed in range(200):
        rng = Random(seed)
        fleet = ready(7, 5, seed)
        for one, other in itertools.combinations(range(7), 2):
            if rng.random() < 0.4:
                cut(fleet, one, other, rng.randint(1, 4))
        ended = f"node-{rng.randrange(7)}" if seed % 2 else None
        mark = fleet.mark()
        if ended is not None:
            fleet.crash(ended, 4.0)
        fleet.play(6.0)
        moved = fleet.moves(mark)
        home = fleet.names.index(ended) if ended else -1
        assert all(number <= (index == home) for index, number in enumerate(moved.values())), seed
        heal(fleet)
        fleet.play(14.0)
        assert max(fleet.moves(mark).values()) <= 2, seed
        well(fleet)


@pytest.mark.parametrize(
    ("fault", "for_s", "moves", "within_s"),
    [
        ("crash", 3.0, 2, 2.0),
        ("crash", 0.2, 0, None),
        ("crash", 60.0, 2, 2.0),
        ("freeze", REPORT * 0.9, 0, None),
        ("freeze", 12.0, 2, 2 * REPORT),
        ("freeze", HOLD + 10.0, 2, 2 * REPORT),
        ("slow", 30.0, 0, None),
        ("store", REPORT * 0.4, 0, None),
        ("store", 15.0, 2, 2 * REPORT),
        ("store", HOLD + 10.0, 2, 2 * REPORT),
        ("refused", 30.0, 0, None),
        ("silent", 30.0, 0, None),
    ],
)
@pytest.mark.parametrize("who", [0, 1])
def test_one_fault_of_one_controller(
    fault: str, for_s: float, moves: int, within_s: float | None, who: int
) -> None:
    """Away within the stated time and back once, or not at all; nobody else's team moves."""
    fleet = ready()
    name, team = f"node-{who}", f"team-{who}"
    mark, began = fleet.mark(), fleet.now
    if fault == "crash":
        fleet.crash(name, for_s)
    elif fault == "freeze":
        fleet.frozen.add(name)
    elif fault == "slow":
        fleet.slow[name] = 1.0
    elif fault == "store":
        fleet.cut_store.add(name)
    else:
        for other in {0, 1, 2} - {who}:
            cut(fleet, who, other, 4 if fault == "refused" else 3)
    moved_at = None
    while fleet.now - began < for_s:
        fleet.step()
        assignment = fleet.nodes[name].own if name in fleet.nodes else None
        if moved_at is None and fleet.assignments()[team].node != name:
            moved_at = fleet.now
        assert assignment is None or fault == "crash" or fleet.moves(mark)[team] <= 1
    heal(fleet)
    if moves:
        assert moved_at is not None and within_s is not None and moved_at - began <= within_s
    fleet.play(40.0)
    found = fleet.moves(mark)
    assert found.pop(team) == moves
    assert not any(found.values())
    well(fleet)


def test_two_of_three_at_once_and_all_at_once() -> None:
    for ended in (["node-0", "node-1"], ["node-1", "node-2"], ["node-0", "node-1", "node-2"]):
        fleet = ready()
        mark = fleet.mark()
        for name in ended:
            fleet.crash(name, 6.0)
        fleet.play(45.0)
        moved = fleet.moves(mark)
        # With nobody left to hand them to, what all had is theirs again.
        most = 0 if len(ended) == 3 else 2
        assert all(number <= most for number in moved.values())
        well(fleet)


def test_a_roll_moves_each_team_at_most_twice() -> None:
    fleet = ready(7, 5)
    mark = fleet.mark()
    for name in fleet.names:
        fleet.crash(name, 3.0)
        fleet.play(8.0)
    fleet.play(60.0)
    assert max(fleet.moves(mark).values()) <= 4  # its own end, and perhaps that of its successor
    well(fleet)


def test_one_that_flaps_gets_its_team_back_ever_later() -> None:
    fleet = ready()
    mark = fleet.mark()
    for _ in range(24):
        fleet.frozen.add("node-1")
        fleet.play(4.2)
        fleet.frozen.clear()
        fleet.play(0.8)
    # Two minutes of it: away once, and not back before it was well for long enough.
    assert fleet.moves(mark)["team-1"] <= 2
    fleet.play(20.0)
    assert fleet.assignments()["team-1"].node != "node-1"
    fleet.play(200.0)
    assert fleet.assignments()["team-1"].node == "node-1"
    assert not any(n for team, n in fleet.moves(mark).items() if team != "team-1")


def test_nothing_is_written_while_all_are_well_or_only_late() -> None:
    fleet = ready(7, 5)
    before = len(fleet.acts)
    fleet.play(200.0)
    fleet.slow.update(dict.fromkeys(fleet.names, 0.7))
    fleet.play(60.0)
    assert len(fleet.acts) == before


def test_an_outage_of_the_store_moves_nothing() -> None:
    fleet = ready()
    mark = fleet.mark()
    fleet.cut_store.update(fleet.names)
    fleet.play(15.0)
    heal(fleet)
    fleet.play(30.0)
    assert not any(fleet.moves(mark).values())
    well(fleet)
