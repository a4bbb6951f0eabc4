"""Agents shared out among the controllers: bounded loads, few moves, none that would cost tasks."""

from collections import Counter
from random import Random

import pytest

from sandladder.membership import ReportingAgent, WorkerAssignment, WorkerLoad

HEARTBEAT_S, REPORT_S, LEASE_S = 0.4, 2.4, 15.0


@pytest.mark.parametrize("count", [3, 7])
def test_a_failed_controllers_agents_spread_at_once(count: int) -> None:
    """All come to the same survivor within a report interval; the loads known are a heartbeat old."""
    rng, nodes = Random(count), [f"rung-{i}" for i in range(count)]
    zones = {node: "xyz"[i % 3] for i, node in enumerate(nodes)}
    assignments = {node: WorkerAssignment(node, REPORT_S, LEASE_S) for node in nodes}
    size = 600
    at = {agent: rng.choice(nodes) for agent in range(size)}
    zone = {agent: rng.choice("xyz") for agent in range(size)}
    failed, survivor = nodes[0], nodes[1]
    arrivals = sorted(
        (rng.uniform(1.0, 3.5), agent, survivor) for agent in range(size) if at[agent] == failed
    )
    live = {agent: node for agent, node in at.items() if node != failed}
    stated: list[tuple[float, Counter[str]]] = [(0.0, Counter(live.values()))]
    redirects: Counter[int] = Counter()
    while arrivals:
        now, agent, node = arrivals.pop(0)
        if now - stated[-1][0] > HEARTBEAT_S:
            stated.append((now, Counter(live.values())))
        known = stated[-2][1] if len(stated) > 1 else stated[-1][1]
        own = Counter(live.values())[node]
        loads = {n: WorkerLoad(zones[n], known[n], 9) for n in nodes[1:]}
        loads[node] = WorkerLoad(zones[node], own, 9)
        reporting = ReportingAgent(f"vm-{agent}", zone[agent], 1, False, 3.0)
        target = assignments[node].redirect(reporting, loads, now, False)
        if target is None:
            live[agent] = node
        else:
            redirects[agent] += 1
            arrivals = sorted([*arrivals, (now + rng.uniform(0, 0.5), agent, target)])
    fair_share = size / (count - 1)
    assert max(Counter(live.values()).values()) <= 1.25 * fair_share
    assert max(redirects.values()) <= 3


def test_an_agent_in_need_is_taken_and_none_is_redirected_twice() -> None:
    assignment = WorkerAssignment("a", REPORT_S, LEASE_S)
    loads = {"a": WorkerLoad("x", 100, 9), "b": WorkerLoad("y", 10, 9)}

    def redirect(
        machine: str, silent_s: float | None, token: int = 1, now: float = 0.0
    ) -> str | None:
        agent = ReportingAgent(machine, "x", token, False, silent_s)
        return assignment.redirect(agent, loads, now, True)

    assert redirect("m1", 9.0) is None  # silent for more than half its lease
    assert redirect("m2", None) is None  # known to nobody, and may run tasks
    assert redirect("m3", None, token=0) == "b"  # it just came up
    assert redirect("m4", 1.0) == "b"
    assert redirect("m4", 1.0, now=6.0) is None  # it came back: it does not reach b
    assert redirect("m4", 1.0, now=60.0) == "b"


def test_agents_are_rebalanced_while_stable_few_at_a_time_and_to_no_lower_token() -> None:
    assignment = WorkerAssignment("a", REPORT_S, LEASE_S)
    loads = {"a": WorkerLoad("x", 100, 5), "b": WorkerLoad("x", 0, 3), "c": WorkerLoad("x", 0, 8)}

    def moved(now: float, stable: bool, token: int) -> int:
        agents = (ReportingAgent(f"m{now}-{i}", "x", token, True, 1.0) for i in range(50))
        return sum(assignment.redirect(agent, loads, now, stable) == "c" for agent in agents)

    assert moved(0.0, False, 5) == 0
    assert moved(10.0, True, 9) == 0
    assert moved(20.0, True, 5) == 4  # a tenth of the fair share of 33
    assert moved(20.1 + REPORT_S, True, 5) == 4
