"""The roster: which controllers take part, agreed by one record, and who places which team.

Everything that moves a team is one conditional transaction on the roster and on that team's record,
written by whoever has the evidence.  So of two controllers that see different things one is
refused, and all that read the records at the same revision know the same placers.  Nothing here
proves that a controller has ended: starts rest on the teams' records as before, and losses on the
proofs of docs/safety.md.  Pure.
"""

import hashlib
from collections import Counter
from collections.abc import Iterable, Mapping

import msgspec

from sandladder.lifecycle import Refused, View
from sandladder.mirror import Mirror
from sandladder.model import IN, OUT, SUSPECT, Member, Placer
from sandladder.records import ROSTER, TEAM, placer_value

# A flap is forgotten after so many times the settling time without another.
_FORGIVEN = 16
# How often the settling time is doubled at the most.
_MOST_DOUBLINGS = 5

Roster = Mapping[str, Member]


def roster_value(roster: Roster) -> dict[str, list[object]]:
    """How the roster is written down."""
    return {node: list(msgspec.structs.astuple(member)) for node, member in sorted(roster.items())}


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


def placed(placers: Mapping[str, Placer], roster: Roster) -> Counter[str]:
    """How many teams each member places."""
    return Counter(
        placer.node
        for placer in placers.values()
        if placer.node in roster and roster[placer.node].state != OUT
    )


def rightful(team: str, home: str, mirror: Mirror) -> str | None:
    """The member whose team this is by the records, None when nobody is in.

    The one that the team's record names, in whichever process it lives now, unless it is out;
    at first the one that is its home.
    """
    placer = mirror.placers.get(team)
    node = home if placer is None else placer.node
    member = mirror.roster.get(node)
    if member is not None and member.state != OUT:
        return node
    return successor(team, mirror.roster, placed(mirror.placers, mirror.roster))


def _write(view: View, roster: Roster) -> None:
    if ROSTER in view.others:
        # What was decided on the roster as it is does not hold on what it will be.
        raise Refused("another change of the roster goes along")
    view.put(ROSTER, roster_value(roster), view.mirror.version(ROSTER))


def _change(view: View, node: str, member: Member) -> dict[str, Member]:
    roster = {**view.mirror.roster, node: member}
    _write(view, roster)
    return roster


def _hand(view: View, team: str, placer: Placer) -> None:
    key = TEAM + team
    view.put(key, placer_value(placer), view.mirror.version(key))


def enter(
    view: View, node: str, term: int, wall: float, teams: Iterable[str], least_s: float, most: int
) -> bool:
    """A controller takes part, again perhaps; its own teams go to its new process with that.

    `most`: how many changes one transaction takes; teams beyond that are claimed afterwards.
    """
    known = view.mirror.roster.get(node)
    if known is not None and known.state == IN and known.term == term:
        return False
    if known is not None and known.term > term:
        raise Refused("a later process runs under this name")
    flaps, refuted, since = 0, 0, wall
    if known is not None:
        flaps = known.flaps
        if known.term == term:
            refuted = known.refuted + 1
        if known.state != OUT:
            # It was never given up: nothing of it moved.
            since = known.since
    _change(view, node, Member(term, refuted, IN, since, flaps, ""))
    for team in teams:
        placer = view.mirror.placers.get(team)
        if placer is not None and placer.node == node and view.size < most:
            _hand(view, team, Placer(node, term))
    return True


def _seen(view: View, node: str, seen: Member) -> Member:
    """The member as the writer saw it when it decided; anything newer refutes that."""
    known = view.mirror.roster.get(node)
    if known is None or (known.term, known.refuted, known.state) != (
        seen.term,
        seen.refuted,
        seen.state,
    ):
        raise Refused("it has shown itself since")
    return known


def accuse(view: View, node: str, seen: Member, why: str) -> bool:
    """Put a member under suspicion: it has a moment to refute that, and nothing moves yet."""
    known = _seen(view, node, seen)
    if known.state != IN:
        return False
    _change(view, node, msgspec.structs.replace(known, state=SUSPECT, why=why))
    return True


def refute(view: View, node: str, term: int) -> bool:
    """A suspected member that lives says so, with a higher incarnation."""
    known = view.mirror.roster.get(node)
    if known is None or known.state != SUSPECT or known.term != term:
        return False
    _change(
        view,
        node,
        msgspec.structs.replace(known, state=IN, refuted=known.refuted + 1, why=""),
    )
    return True


def acquit(view: View, node: str, seen: Member) -> bool:
    """Whoever hears a suspected member again takes the suspicion back."""
    known = _seen(view, node, seen)
    if known.state != SUSPECT:
        return False
    _change(view, node, msgspec.structs.replace(known, state=IN, why=""))
    return True


def expel(
    view: View, node: str, seen: Member, why: str, wall: float, least_s: float, most: int
) -> bool:
    """Give a member up and hand its teams to their successors, in one transaction.

    Only one that is under suspicion still, or whose hold has ended: the caller saw to that, and
    a member that showed itself meanwhile refuses it here.
    """
    mirror = view.mirror
    known = _seen(view, node, seen)
    if known.state == OUT:
        return False
    calm = wall - known.since > _FORGIVEN * settle_s(known, least_s)
    out = msgspec.structs.replace(
        known, state=OUT, since=wall, flaps=1 if calm else known.flaps + 1, why=why
    )
    roster = _change(view, node, out)
    loads = placed(mirror.placers, roster)
    for team, placer in sorted(mirror.placers.items()):
        if placer.node != node or view.size >= most:
            continue
        heir = successor(team, roster, loads, without=node)
        if heir is not None:
            loads[heir] += 1
            _hand(view, team, Placer(heir, roster[heir].term))
    return True


def take(view: View, team: str, home: str, placer: Placer) -> bool:
    """A member takes a team that is its own by the records, and nobody else's."""
    mirror = view.mirror
    if mirror.placers.get(team) == placer and TEAM + team not in view.unsure:
        return False
    member = mirror.roster.get(placer.node)
    if member is None or member.state != IN or member.term != placer.term:
        raise Refused("not a member")
    if rightful(team, home, mirror) != placer.node:
        raise Refused("another controller's team")
    view.guards[ROSTER] = mirror.version(ROSTER)
    _hand(view, team, placer)
    return True


def give(view: View, team: str, node: str, seen: Placer | None) -> bool:
    """Hand a team to another member that is well, as one that returns."""
    mirror = view.mirror
    member = mirror.roster.get(node)
    if member is None or member.state != IN:
        raise Refused("it is not in")
    if mirror.placers.get(team) != seen:
        raise Refused("the team has moved since")
    view.guards[ROSTER] = mirror.version(ROSTER)
    _hand(view, team, Placer(node, member.term))
    return True
