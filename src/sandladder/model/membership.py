"""Controllers as cluster members, and which of them schedules a team."""

from typing import NamedTuple


class TeamAssignment(NamedTuple):
    """The controller that places a team's jobs, and the term with which its process began."""

    node: str
    term: int


# What the roster says of a controller: it takes part; it is doubted and may refute that; it was
# given up, and what it placed went to others.
IN, SUSPECT, OUT = "in", "suspect", "out"


class Member(NamedTuple):
    """One controller in the roster. Its incarnation is (`term`, `refuted`), which only grows."""

    term: int  # with which its process entered
    refuted: int  # how often that process refuted a suspicion or came back
    state: str
    since: float  # time of day from which it is in, or out
    flaps: int  # how often in a row it was given up soon after it had come back
    why: str  # what speaks against it
