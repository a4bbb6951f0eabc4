"""The roster: which controllers take part, agreed by one record, and who places which team.

Everything that moves a team is one conditional transaction on the roster and on that team's record,
written by whoever has the evidence.  So of two controllers that see different things one is
refused, and all that read the records at the same revision know the same placers.  Nothing here
proves that a controller has ended: starts rest on the teams' records as before, and losses on the
proofs of docs/safety.md.

Each function takes the records as they stand and returns the change, or refuses; `write` binds a
change to what it was decided on.  Pure.
"""

import hashlib
from collections import Counter
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from sandladder.model.membership import IN, OUT, SUSPECT, Member, Placer
from sandladder.state.cache import Mirror
from sandladder.state.errors import Refused
from sandladder.state.records import ROSTER, TEAM, placer_value
from sandladder.state.transaction import View

# A flap is forgotten after so many times the settling time without another.
_FORGIVEN = 16
# How often the settling time is doubled at the most.
_MOST_DOUBLINGS = 5

Roster = Mapping[str, Member]


class Records(NamedTuple):
    """The roster, and the process that places each team."""

    roster: Roster
    placers: Mapping[str, Placer]

    @staticmethod
    def of(mirror: Mirror) -> "Records":
        """As a controller's copy holds them."""
        return Records(mirror.roster, mirror.placers)


class Move(NamedTuple):
    """A change of these records."""

    roster: Roster | None = None  # None: as it stands, and the change rests on that
    placers: Mapping[str, Placer] = {}

    def __bool__(self) -> bool:
        return self.roster is not None or bool(self.placers)


_NOTHING = Move()


def settle_s(member: Member, least_s: float) -> float:
    """How long a member must have been well before it gets back what it had, in seconds."""
    return least_s * 2.0 ** min(member.flaps, _MOST_DOUBLINGS)


def homes(teams: Iterable[str], nodes: list[str]) -> dict[str, str]:
    """Where each team is placed while all are well: they are dealt out round all controllers."""
    return {team: nodes[index % len(nodes)] for index, team in enumerate(teams)}


def _lot(team: str, node: str) -> bytes:
    return hashlib.blake2b(f"{team} {node}".encode(), digest_size=8).digest()


def successor(team: str, roster: Roster, loads: Mapping[str, int], without: str = "") -> str | None:
    """Who takes a team when its placer cannot: whoever has least to place, else by lot.

    The same for all that read the same records; None when nobody is in.
    """
    able = [n for n, member in roster.items() if member.state == IN and n != without]
    return min(able, key=lambda n: (loads.get(n, 0), _lot(team, n)), default=None)


def placed(records: Records) -> Counter[str]:
    """How many teams each member places."""
    roster = records.roster
    return Counter(
        placer.node
        for placer in records.placers.values()
        if placer.node in roster and roster[placer.node].state != OUT
    )


def rightful(team: str, home: str, records: Records) -> str | None:
    """The member whose team this is by the records, None when nobody is in.

    The one that the team's record names, in whichever process it lives now, unless it is out;
    at first the one that is its home.
    """
    placer = records.placers.get(team)
    node = home if placer is None else placer.node
    member = records.roster.get(node)
    if member is not None and member.state != OUT:
        return node
    return successor(team, records.roster, placed(records))


def enter(records: Records, node: str, term: int, wall: float, teams: Iterable[str]) -> Move:
    """A controller takes part, again perhaps; what is its own goes to its new process with that."""
    known = records.roster.get(node)
    if known is not None and known.state == IN and known.term == term:
        return _NOTHING
    if known is not None and known.term > term:
        raise Refused("a later process runs under this name")
    flaps, refuted, since = 0, 0, wall
    if known is not None:
        flaps = known.flaps
        if known.term == term:
            refuted = known.refuted + 1
        if known.state != OUT:
            since = known.since  # it was never given up: nothing of it moved
    placer = Placer(node, term)
    own = {team: placer for team in teams if _names(records, team, node)}
    return Move({**records.roster, node: Member(term, refuted, IN, since, flaps, "")}, own)


def _names(records: Records, team: str, node: str) -> bool:
    placer = records.placers.get(team)
    return placer is not None and placer.node == node


def _seen(records: Records, node: str, seen: Member) -> Member:
    """The member as the writer saw it when it decided; anything newer refutes that."""
    known = records.roster.get(node)
    if known is None or known[:3] != seen[:3]:
        raise Refused("it has shown itself since")
    return known


def accuse(records: Records, node: str, seen: Member, why: str) -> Move:
    """Put a member under suspicion: it has a moment to refute that, and nothing moves yet."""
    known = _seen(records, node, seen)
    if known.state != IN:
        return _NOTHING
    return Move({**records.roster, node: known._replace(state=SUSPECT, why=why)})


def refute(records: Records, node: str, term: int) -> Move:
    """A suspected member that lives says so, with a higher incarnation."""
    known = records.roster.get(node)
    if known is None or known.state != SUSPECT or known.term != term:
        return _NOTHING
    well = known._replace(state=IN, refuted=known.refuted + 1, why="")
    return Move({**records.roster, node: well})


def acquit(records: Records, node: str, seen: Member) -> Move:
    """Whoever hears a suspected member again takes the suspicion back."""
    known = _seen(records, node, seen)
    if known.state != SUSPECT:
        return _NOTHING
    return Move({**records.roster, node: known._replace(state=IN, why="")})


def expel(records: Records, node: str, seen: Member, why: str, wall: float, least_s: float) -> Move:
    """Give a member up and hand its teams to their successors.

    Only one that is under suspicion still, or whose hold has ended: the caller saw to that, and
    a member that showed itself meanwhile refuses it here.
    """
    known = _seen(records, node, seen)
    if known.state == OUT:
        return _NOTHING
    calm = wall - known.since > _FORGIVEN * settle_s(known, least_s)
    flaps = 1 if calm else known.flaps + 1
    out = known._replace(state=OUT, since=wall, flaps=flaps, why=why)
    after = Records({**records.roster, node: out}, records.placers)
    loads, moved = placed(after), {}
    for team in sorted(records.placers):
        heir = successor(team, after.roster, loads) if _names(records, team, node) else None
        if heir is not None:
            loads[heir] += 1
            moved[team] = Placer(heir, after.roster[heir].term)
    return Move(after.roster, moved)


def leave(records: Records, node: str, term: int, wall: float) -> Move:
    """A controller that goes hands over what it has itself; that is no flap."""
    known = records.roster.get(node)
    if known is None or known.term != term or known.state == OUT:
        return _NOTHING
    move = expel(records, node, known, "it went", wall, 1.0)
    assert move.roster is not None
    gone = move.roster[node]._replace(flaps=known.flaps)
    return move._replace(roster={**move.roster, node: gone})


def take(records: Records, team: str, home: str, placer: Placer) -> Move:
    """A member takes a team that is its own by the records, and nobody else's."""
    if records.placers.get(team) == placer:
        return _NOTHING
    member = records.roster.get(placer.node)
    if member is None or member.state != IN or member.term != placer.term:
        raise Refused("not a member")
    if rightful(team, home, records) != placer.node:
        raise Refused("another controller's team")
    return Move(placers={team: placer})


def give(records: Records, team: str, node: str, seen: Placer) -> Move:
    """Hand a team to another member that is well, as one that returns."""
    member = records.roster.get(node)
    if member is None or member.state != IN:
        raise Refused("it is not in")
    if records.placers.get(team) != seen:
        raise Refused("the team has moved since")
    return Move(placers={team: Placer(node, member.term)})


def write(view: View, move: Move, most: int) -> bool:
    """Put a move into a transaction of at most so many changes; False if there is none.

    It rests on the roster and on the records of the teams that it moves.  Teams past `most` are
    taken by their successors afterwards, which follow from the roster alone.
    """
    if not move:
        return False
    mirror = view.mirror
    if ROSTER in view.others:
        # What was decided on the roster as it is does not hold on what it will be.
        raise Refused("another change of the roster goes along")
    view.guards[ROSTER] = mirror.version(ROSTER)
    if move.roster is not None:
        value = {node: list(member) for node, member in sorted(move.roster.items())}
        view.put(ROSTER, value, mirror.version(ROSTER))
    for team, placer in move.placers.items():
        if view.size >= most:
            break
        view.put(TEAM + team, placer_value(placer), mirror.version(TEAM + team))
    return True


def may_place(mirror: Mirror, team: str, placer: Placer | None) -> bool:
    """Whether starts of this team are surely this controller's to commit.

    Its record must name this very process, and our copy must hold all that was committed
    before it did: then what the live jobs hold is no less than what they hold in truth.
    """
    return (
        placer is not None
        and mirror.placers.get(team) == placer
        and mirror.revision >= mirror.version(TEAM + team) > 0
    )
