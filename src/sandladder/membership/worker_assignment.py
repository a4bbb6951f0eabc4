"""Which controller an agent should report to: bounded loads, its own zone first.

Rendezvous hashing names each agent's home among the controllers that can take it; a controller that
has more than its share takes no more, and the next home is asked (consistent hashing with bounded
loads, Mirrokni, Thorup and Zadimoghaddam, 2018).  The own zone comes first because an agent whose
controller is in its zone does not notice when that zone is cut off.  Pure.
"""

import math
from collections.abc import Mapping
from typing import NamedTuple

from sandladder.membership.rendezvous import rendezvous_weight

# No controller takes agents past so many times its fair share; agents of other zones only up to the
# lower bound, which leaves capacity for those of its own.
_LOAD_BOUND = 1.2
_FOREIGN_LOAD_BOUND = 1.05
# Another controller must have so much less, as a share of the fair one: two that know each other's
# numbers a heartbeat late would else send an agent back and forth.
_MARGIN_SHARE = 0.05
# An agent from which nobody has had a heartbeat for so much of its lease is taken, not redirected.
_MAX_SILENCE_SHARE = 0.5
# An agent is redirected at most once in so many times that silence.
_REDIRECT_PAUSE = 4
# While all is well so large a share of the fair one moves in an interval between agent heartbeats.
_REBALANCED_SHARE = 0.1


class WorkerLoad(NamedTuple):
    """A controller that can take agents."""

    zone: str
    agents: int  # how many report to it
    fencing_token: (
        int  # its fencing token: an agent that has seen a higher one makes it acquire a new one
    )


class ReportingAgent(NamedTuple):
    """An agent whose heartbeat has come, for the question where it should report."""

    machine: str
    zone: str
    token: int  # the highest fencing token that it has seen
    reports_here: bool  # it has reported to this controller before
    silent_s: float | None  # since anybody had a heartbeat from it; None: nobody knows it


class _Target(NamedTuple):
    """A controller to which an agent may be redirected; the least is the best."""

    foreign: bool  # it is in another zone than the agent
    needs_token: bool  # it would have to acquire a new fencing token
    weight: bytes
    node: str


class _Redirected(NamedTuple):
    """How many agents were redirected to a controller since it last said how many it has."""

    stated: int  # what it said
    redirects: int


class WorkerAssignment:
    """One controller's part in sharing the agents out."""

    def __init__(self, node: str, report_s: float, lease_s: float) -> None:
        """Times are in seconds.

        Args:
            node: the controller of this process.
            report_s: between two heartbeats of an agent.
            lease_s: an agent's lease.
        """
        self._node = node
        self._report_s = report_s
        self._max_silence_s = _MAX_SILENCE_SHARE * lease_s
        self._redirected_at: dict[str, float] = {}  # when an agent was last redirected
        self._redirected_to: dict[str, _Redirected] = {}
        self._rebalanced = 0.0  # a leaky bucket of agents that were moved for balance alone
        self._rebalanced_at = 0.0

    def redirect(
        self, agent: ReportingAgent, loads: Mapping[str, WorkerLoad], now: float, stable: bool
    ) -> str | None:
        """The controller to which an agent should report instead of this one, or None.

        An agent that has reported here before moves only while all is stable, a few at a time, and
        only to a controller that need not acquire a new fencing token for it: that costs the store,
        and all its agents a moment.  One that has been looking for a controller for a while is
        taken at once, before its lease runs out.

        Args:
            agent: whose heartbeat has come.
            loads: the controllers that can take agents, this one among them.
            now: on the steady clock, in seconds.
            stable: all members have been healthy for a while.
        """
        own = loads.get(self._node)
        if own is None or len(loads) < 2:
            return None
        if (agent.reports_here and not stable) or self._must_stay(agent, now):
            return None
        fair_share = max(1.0, sum(load.agents for load in loads.values()) / len(loads))
        target = self._best_target(agent, own, loads, fair_share)
        if target is None:
            return None
        if agent.reports_here and not self._may_rebalance(now, fair_share):
            return None
        self._note_redirect(agent.machine, target.node, loads[target.node].agents, now)
        return target.node

    def _must_stay(self, agent: ReportingAgent, now: float) -> bool:
        """Whether the agent may lose its lease, or its tasks, if it is redirected."""
        if agent.silent_s is None and agent.token > 0:
            return True  # it may run tasks, and nobody knows since when it looks for a controller
        if (agent.silent_s or 0.0) > self._max_silence_s:
            return True
        # It may be unable to reach the controller to which it was redirected, though this one can.
        last = self._redirected_at.get(agent.machine, -math.inf)
        return now - last < _REDIRECT_PAUSE * self._max_silence_s

    def _best_target(
        self,
        agent: ReportingAgent,
        own: WorkerLoad,
        loads: Mapping[str, WorkerLoad],
        fair_share: float,
    ) -> _Target | None:
        """The best controller that is nearer to the agent, or less loaded if this one is full."""
        away = own.zone != agent.zone
        own_bound = (_FOREIGN_LOAD_BOUND if away else _LOAD_BOUND) * fair_share
        full = own.agents + (not agent.reports_here) > own_bound
        margin = max(1.0, _MARGIN_SHARE * fair_share)
        best: _Target | None = None
        for node, load in loads.items():
            if node == self._node:
                continue
            count = self._expected_agents(node, load.agents)
            foreign = load.zone != agent.zone
            if count + 1 > (_FOREIGN_LOAD_BOUND if foreign else _LOAD_BOUND) * fair_share:
                continue
            needs_token = load.fencing_token < agent.token
            if agent.reports_here and needs_token:
                continue
            nearer = away and not foreign
            if not nearer and not (full and count + margin < own.agents):
                continue
            weight = rendezvous_weight(agent.machine, node)
            target = _Target(foreign, needs_token, weight, node)
            best = target if best is None else min(best, target)
        return best

    def _expected_agents(self, node: str, stated: int) -> int:
        """How many agents a peer has, with those redirected to it since it said so."""
        known = self._redirected_to.get(node)
        return stated + known.redirects if known is not None and known.stated == stated else stated

    def _note_redirect(self, machine: str, node: str, stated: int, now: float) -> None:
        known = self._redirected_to.get(node)
        count = known.redirects if known is not None and known.stated == stated else 0
        self._redirected_to[node] = _Redirected(stated, count + 1)
        pause_s = _REDIRECT_PAUSE * self._max_silence_s
        self._redirected_at = {
            other: at for other, at in self._redirected_at.items() if now - at < pause_s
        }
        self._redirected_at[machine] = now

    def _may_rebalance(self, now: float, fair_share: float) -> bool:
        """Whether one more agent may move now that is well where it is."""
        limit = max(1.0, math.ceil(_REBALANCED_SHARE * fair_share))
        drained = (now - self._rebalanced_at) * limit / self._report_s
        self._rebalanced = max(0.0, self._rebalanced - drained)
        self._rebalanced_at = now
        if self._rebalanced + 1 > limit:
            return False
        self._rebalanced += 1
        return True
