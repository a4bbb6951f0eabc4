"""The assignment of agents to controllers: bounded loads, with the agent's own zone preferred.

Rendezvous hashing selects an agent's controller among those that accept agents; a controller at
its load bound is skipped (consistent hashing with bounded loads, Mirrokni, Thorup and
Zadimoghaddam, 2018).  The agent's own zone is preferred so that a partition of the zone does not
separate the agent from its controller.  Pure.
"""

import math
from collections.abc import Mapping
from typing import NamedTuple

from sandladder.membership.rendezvous import rendezvous_weight

# Upper bounds on a controller's agents, as multiples of its fair share.  The bound for agents of
# other zones is lower, which leaves capacity for those of its own zone.
_LOAD_BOUND = 1.2
_FOREIGN_LOAD_BOUND = 1.05
# Minimum load difference for a redirect, as a share of the fair share.  Controllers know each
# other's loads a heartbeat late, and would otherwise redirect an agent back and forth.
_LOAD_MARGIN_SHARE = 0.05
# An agent that has been silent for a larger share of its lease is accepted, not redirected.
_MAX_SILENCE_SHARE = 0.5
# Minimum time between two redirects of an agent, as a multiple of that silence.
_REDIRECT_PAUSE_FACTOR = 4
# Upper bound on the agents moved for balance per agent heartbeat interval, as a share of the fair
# share.
_REBALANCE_SHARE = 0.1


class WorkerLoad(NamedTuple):
    """The load of a controller that accepts agents."""

    zone: str
    agents: int  # number of agents that report to it
    fencing_token: int  # an agent that has seen a higher one makes it acquire a new token
    incarnation: int  # the fencing token with which its process joined


class ReportingAgent(NamedTuple):
    """An agent whose heartbeat has arrived."""

    machine: str
    zone: str
    token: int  # the highest fencing token that it has seen
    reports_here: bool  # it has reported to this controller before
    silent_s: float | None  # seconds since its last heartbeat at any controller; None if unknown


class _Target(NamedTuple):
    """A controller to which an agent may be redirected; the smallest tuple is preferred."""

    foreign: bool  # it is in another zone than the agent
    needs_token: bool  # it would have to acquire a new fencing token
    weight: bytes
    node: str


class _Redirected(NamedTuple):
    """The number of agents redirected to a controller since its reported load last changed."""

    reported_agents: int
    redirects: int


class WorkerAssignment:
    """One controller's part in distributing the agents among the controllers."""

    def __init__(self, node: str, report_s: float, lease_s: float) -> None:
        """Create an assignment without earlier redirects; times are in seconds.

        Args:
            node: the controller of this process.
            report_s: the interval between two heartbeats of an agent.
            lease_s: the duration of an agent's lease.
        """
        self._node = node
        self._report_s = report_s
        self._max_silence_s = _MAX_SILENCE_SHARE * lease_s
        self._redirected_at: dict[str, float] = {}  # when an agent was last redirected
        self._redirected_to: dict[str, _Redirected] = {}
        self._rebalance_level = 0.0  # leaky bucket of the agents moved for balance
        self._rebalance_updated_at = 0.0

    def redirect(
        self, agent: ReportingAgent, loads: Mapping[str, WorkerLoad], now: float, stable: bool
    ) -> str | None:
        """Return the controller to which an agent should report instead of this one, or None.

        Agents that have reported here before are moved only while the cluster is stable, a few at a
        time, and only to a controller that joined later and does not need a new fencing token for
        them, which would load the store.  So they fill controllers that return, and do not move
        back and forth; each move delays their direct commands.  An agent that has been without a
        controller for long is accepted at once, before its lease expires.

        Args:
            agent: the agent whose heartbeat has arrived.
            loads: the controllers that accept agents, including this one.
            now: on the steady clock, in seconds.
            stable: whether all members have been healthy long enough.
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
        self._record_redirect(agent.machine, target.node, loads[target.node].agents, now)
        return target.node

    def _must_stay(self, agent: ReportingAgent, now: float) -> bool:
        """Return whether a redirect could cost the agent its lease and its tasks."""
        if agent.silent_s is None and agent.token > 0:
            return True  # it may run tasks, and its lease may be about to expire
        if (agent.silent_s or 0.0) > self._max_silence_s:
            return True
        # An agent that returns early may be unable to reach the controller to which it was sent.
        last_redirect = self._redirected_at.get(agent.machine, -math.inf)
        return now - last_redirect < _REDIRECT_PAUSE_FACTOR * self._max_silence_s

    def _best_target(
        self,
        agent: ReportingAgent,
        own: WorkerLoad,
        loads: Mapping[str, WorkerLoad],
        fair_share: float,
    ) -> _Target | None:
        """Return the best target in the agent's zone or, if this one is full, with less load."""
        outside_zone = own.zone != agent.zone
        own_bound = (_FOREIGN_LOAD_BOUND if outside_zone else _LOAD_BOUND) * fair_share
        full = own.agents + (not agent.reports_here) > own_bound
        margin = max(1.0, _LOAD_MARGIN_SHARE * fair_share)
        best: _Target | None = None
        for node, load in loads.items():
            if node == self._node:
                continue
            count = self._expected_agents(node, load.agents)
            foreign = load.zone != agent.zone
            if count + 1 > (_FOREIGN_LOAD_BOUND if foreign else _LOAD_BOUND) * fair_share:
                continue
            needs_token = load.fencing_token < agent.token
            if agent.reports_here and (needs_token or load.incarnation < own.incarnation):
                continue
            moves_to_own_zone = outside_zone and not foreign
            if not moves_to_own_zone and not (full and count + margin < own.agents):
                continue
            weight = rendezvous_weight(agent.machine, node)
            target = _Target(foreign, needs_token, weight, node)
            best = target if best is None else min(best, target)
        return best

    def _expected_agents(self, node: str, reported_agents: int) -> int:
        """Return a peer's reported number of agents plus those redirected to it since."""
        earlier = self._redirected_to.get(node)
        return (
            reported_agents + earlier.redirects
            if earlier is not None and earlier.reported_agents == reported_agents
            else reported_agents
        )

    def _record_redirect(self, machine: str, node: str, reported_agents: int, now: float) -> None:
        earlier = self._redirected_to.get(node)
        count = (
            earlier.redirects
            if earlier is not None and earlier.reported_agents == reported_agents
            else 0
        )
        self._redirected_to[node] = _Redirected(reported_agents, count + 1)
        pause_s = _REDIRECT_PAUSE_FACTOR * self._max_silence_s
        self._redirected_at = {
            other: at for other, at in self._redirected_at.items() if now - at < pause_s
        }
        self._redirected_at[machine] = now

    def _may_rebalance(self, now: float, fair_share: float) -> bool:
        """Return whether one more agent may be moved for balance now, and count it if so."""
        limit = max(1.0, math.ceil(_REBALANCE_SHARE * fair_share))
        drained = (now - self._rebalance_updated_at) * limit / self._report_s
        self._rebalance_level = max(0.0, self._rebalance_level - drained)
        self._rebalance_updated_at = now
        if self._rebalance_level + 1 > limit:
            return False
        self._rebalance_level += 1
        return True
