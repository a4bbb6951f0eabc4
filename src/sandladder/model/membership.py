"""Members of the roster, and the assignment of teams to controllers."""

from typing import NamedTuple


class TeamAssignment(NamedTuple):
    """The controller that schedules a team's jobs.

    Attributes:
        node: the controller's name.
        incarnation: the incarnation of its process: the fencing token that the process started
            with.
    """

    node: str
    incarnation: int


# States of a member.  A suspected member may refute the suspicion; the teams of a member that is
# out are assigned to others.
IN, SUSPECT, OUT = "in", "suspect", "out"


class Member(NamedTuple):
    """A controller's entry in the roster; (`incarnation`, `refutations`) never decreases.

    Attributes:
        incarnation: the incarnation of its process: the fencing token that the process joined
            with.
        refutations: the number of times that the process refuted a suspicion or rejoined.
        state: IN, SUSPECT or OUT.
        since: the time of day at which the member was admitted or evicted, in seconds.
        flaps: the number of consecutive evictions soon after rejoining.
        why: a human-readable reason for the state.
    """

    incarnation: int
    refutations: int
    state: str
    since: float
    flaps: int
    why: str
