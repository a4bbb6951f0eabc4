"""Controllers as cluster members, and which of them schedules a team."""

from typing import NamedTuple


class TeamAssignment(NamedTuple):
    """The controller that schedules a team's jobs.

    Attributes:
        node: the controller.
        term: the incarnation of its process: the fencing token with which that began.
    """

    node: str
    incarnation: int


# States of a member.  Suspected, it may still refute that; out, its teams went to others.
IN, SUSPECT, OUT = "in", "suspect", "out"


class Member(NamedTuple):
    """One controller in the roster; (`term`, `refuted`) only grows.

    Attributes:
        term: the incarnation of its process: the fencing token with which that entered.
        refuted: how often that process refuted a suspicion or came back.
        state: IN, SUSPECT or OUT.
        since: the time of day from which it is in, or out, in seconds.
        flaps: how often in a row it was evicted soon after it had come back.
        why: the reason for its state, for people.
    """

    incarnation: int
    refutations: int
    state: str
    since: float
    flaps: int
    why: str
