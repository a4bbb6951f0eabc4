"""The assignment of agents to controllers: bounded loads, few redirects, no lost leases."""

from collections import Counter
from random import Random

import pytest

from sandladder.membership import ReportingAgent, WorkerAssignment, WorkerLoad

HEARTBEAT_S, REPORT_S, LEASE_S = 0.4, 2.4, 15.0


@pytest.mark.parametrize("count", [3, 7])
def test_agents_of_a_failed_controller_spread_over_the_others(count: int) -> None:
    """All agents contact the same survivor, while the known loads are a heartbeat old."""
    rng, nodes = Random(count), [f"rung-{i}" for i in range(count)]
    zones = {node: "xyz"[i % 3] for i, node in enumerate(nodes)}
    assignments = {node: WorkerAssignment(node, REPORT_S, LEASE_S) for node in nodes}
    size = 600
    agent_controllers = {agent: rng.choice(nodes) for agent in range(size)}
    agent_zones = {agent: rng.choice("xyz") for agent in range(size)}
    failed, survivor = nodes[0], nodes[1]
    arrivals = sorted(
        (rng.uniform(1.0, 3.5), agent, survivor)
        for agent in range(size)
        if agent_controllers[agent] == failed
    )
    assigned = {agent: node for agent, node in agent_controllers.items() if node != failed}
    reported_loads: list[tuple[float, Counter[str]]] = [(0.0, Counter(assigned.values()))]
    redirects: Counter[int] = Counter()
    while arrivals:
        now, agent, node = arrivals.pop(0)
        if now - reported_loads[-1][0] > HEARTBEAT_S:
            reported_loads.append((now, Counter(assigned.values())))
        reported = reported_loads[-2][1] if len(reported_loads) > 1 else reported_loads[-1][1]
        own = Counter(assigned.values())[node]
        loads = {n: WorkerLoad(zones[n], reported[n], 9, 1) for n in nodes[1:]}
        loads[node] = WorkerLoad(zones[node], own, 9, 1)
        reporting = ReportingAgent(f"vm-{agent}", agent_zones[agent], 1, False, 3.0)
        target = assignments[node].redirect(reporting, loads, now, False)
        if target is None:
            assigned[agent] = node
        else:
            redirects[agent] += 1
            arrivals = sorted([*arrivals, (now + rng.uniform(0, 0.5), agent, target)])
    fair_share = size / (count - 1)
    assert max(Counter(assigned.values()).values()) <= 1.25 * fair_share
    assert max(redirects.values()) <= 3


def test_a_long_silent_agent_is_accepted_and_none_is_redirected_twice_in_a_row() -> None:
    assignment = WorkerAssignment("a", REPORT_S, LEASE_S)
    loads = {"a": WorkerLoad("x", 100, 9, 2), "b": WorkerLoad("y", 10, 9, 1)}

    def redirect(
        machine: str, silent_s: float | None, token: int = 1, now: float = 0.0
    ) -> str | None:
        agent = ReportingAgent(machine, "x", token, False, silent_s)
        return assignment.redirect(agent, loads, now, True)

    assert redirect("m1", 9.0) is None  # silent for more than half its lease
    assert redirect("m2", None) is None  # unknown to all controllers, but it may run tasks
    assert redirect("m3", None, token=0) == "b"  # it has just started
    assert redirect("m4", 1.0) == "b"
    assert redirect("m4", 1.0, now=6.0) is None  # it has returned, and may be unable to reach b
    assert redirect("m4", 1.0, now=60.0) == "b"


def test_rebalancing_requires_stability_is_gradual_and_needs_no_new_token() -> None:
    assignment = WorkerAssignment("a", REPORT_S, LEASE_S)
    loads = {
        "a": WorkerLoad("x", 100, 5, 1),
        "b": WorkerLoad("x", 0, 3, 1),
        "c": WorkerLoad("x", 0, 8, 1),
    }

    def redirected_to_c(now: float, stable: bool, token: int) -> int:
        agents = (ReportingAgent(f"m{now}-{i}", "x", token, True, 1.0) for i in range(50))
        return sum(assignment.redirect(agent, loads, now, stable) == "c" for agent in agents)

    assert redirected_to_c(0.0, False, 5) == 0
    assert redirected_to_c(10.0, True, 9) == 0
    assert redirected_to_c(20.0, True, 5) == 4  # a tenth of the fair share of 33
    assert redirected_to_c(20.1 + REPORT_S, True, 5) == 4


def test_an_agent_that_reports_is_moved_only_to_a_controller_that_joined_later() -> None:
    """Guards against agents that move back and forth as each controller acquires later tokens."""
    for own_incarnation, moved in ((1, True), (2, True), (3, False)):
        assignment = WorkerAssignment("a", REPORT_S, LEASE_S)
        loads = {"a": WorkerLoad("x", 100, 5, own_incarnation), "b": WorkerLoad("x", 0, 8, 2)}
        reporting = ReportingAgent("m1", "x", 5, True, 1.0)
        assert (assignment.redirect(reporting, loads, 0.0, True) == "b") == moved
        # One that arrives is sent there regardless.
        arriving = ReportingAgent("m2", "x", 5, False, 1.0)
        assert assignment.redirect(arriving, loads, 0.0, True) == "b"
