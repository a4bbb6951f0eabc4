"""Cancellations on lost machines while teams are at their limit.

Capacity is free once the end of the cancelled tasks is proved, not earlier, and then nothing waits.
"""

import anyio
import pytest

from simulation import LEASE_S, SimulatedCluster, job, now
from simulation.fault_scenarios import (
    CANCEL_S,
    LONG_TASK_S,
    cancel_all_and_recover,
    leader,
    run_and_expect,
    running_tasks,
    wait_until,
)
from simulation.faults import restart, running_machines
from simulation.workloads import wait_until_healthy

# The teams and their limits in CPUs.
LIMITS = (("red", 48), ("blue", 32))
WAYS = ["cut off", "hang", "hang and go on"]


async def at_limits(cluster: SimulatedCluster, teams: list[str], waiting: bool) -> list[str]:
    """Submit jobs with long tasks until these teams are at their limits, and more that waits."""
    specs = []
    for team, most in LIMITS:
        size = most // 4 if team in teams else 2
        for number in range(size):
            # Gangs of two save; single ones do not.
            kind: dict[str, object] = {"entries": 2}
            if number % 3 == 1:
                kind |= {"form": "group", "bookmark_s": 2.0, "stamp_s": 1.0}
            specs.append(
                job(len(specs), bureau=team, vcpus=2.0, ram_gb=2.0, expect_s=LONG_TASK_S, **kind)
            )
    for spec in specs:
        assert await cluster.submit(spec) == 201
    tasks = sum(spec["entries"] for spec in specs)
    await wait_until(lambda: len(running_tasks(cluster)) == tasks, 150.0, 0.2)
    for team in teams if waiting else []:
        # So much that the last of the limit is contended for as others take over.
        for _ in range(10):
            specs.append(
                job(len(specs), bureau=team, vcpus=2.0, ram_gb=2.0, entries=1, expect_s=3.0)
            )
            assert await cluster.submit(specs[-1]) == 201
    return [spec["id"] for spec in specs]


def team_tasks(cluster: SimulatedCluster, team: str) -> set[str]:
    """The tasks of a team that run."""
    return {
        name for _, name in running_tasks(cluster) if cluster.specs[name[:10]]["bureau"] == team
    }


def at_limit(cluster: SimulatedCluster) -> set[str]:
    """The teams whose tasks take all CPUs of their limit."""
    used = {"red": 0.0, "blue": 0.0}
    for _, task in cluster.present():
        used[task.spec["bureau"]] += task.spec["vcpus"]
    return {team for team, most in LIMITS if used[team] == most}


@pytest.mark.parametrize("teams", [["red", "blue"], ["blue"]], ids=["every team", "one team"])
@pytest.mark.parametrize("way", WAYS)
def test_capacity_of_cancelled_jobs_on_lost_machines_is_free_once_their_end_is_proved(
    way: str, teams: list[str]
) -> None:
    """The leader changes meanwhile."""
    seed = 1030 + 10 * len(teams) + WAYS.index(way)
    cluster = SimulatedCluster(seed, cancel_s=CANCEL_S)
    cluster.cloud.capacity = 12

    async def main() -> None:
        await wait_until_healthy(cluster)
        ids = await at_limits(cluster, teams, waiting=True)
        assert at_limit(cluster) >= set(teams)
        cluster.observed["at the limit"] += 1
        by_team = {
            team: sorted(
                {w.name for w, n in running_tasks(cluster) if n in team_tasks(cluster, team)}
            )
            for team in teams
        }
        machines = sorted({worker.name for worker, _ in running_tasks(cluster)})
        lost = set(cluster.rng.sample(machines, max(1, len(machines) // 3)))
        lost |= {cluster.rng.choice(names) for names in by_team.values()}
        on_lost = {n.partition("/")[0] for w, n in running_tasks(cluster) if w.name in lost}
        index = leader(cluster)
        for name in sorted(lost):
            if way == "cut off":
                for node in range(cluster.count):
                    cluster.network.cut(name, f"node-{node}", cluster.rng.choice(["drop", "hold"]))
            else:
                # One that hangs for much longer than a third of its lease is returned meanwhile.
                soon = cluster.rng.uniform(2.5, 5.0)
                seconds = soon if way == "hang and go on" else 2 * LEASE_S
                cluster.cloud.workers[name].hung_until = now() + seconds
        # Some of each of these teams, so that there is capacity once their ends are proved.
        chosen = [
            job_id
            for team in teams
            for job_id in sorted(i for i in on_lost if cluster.specs[i]["bureau"] == team)[:3]
        ]
        for job_id in chosen:
            cluster.network.tasks.start_soon(cluster.cancel, job_id, 240)
        await anyio.sleep(cluster.rng.uniform(0.2, 1.0))
        answered = [i for i in chosen if cluster.answers.over.get(i) == "cancelled"]
        there = {w.name for w, _ in running_tasks(cluster, *answered)} & lost if answered else set()
        cluster.observed["cancelled on an unreachable machine"] += len(there)
        await restart(cluster, index, 2.0)
        cluster.observed["the leader changed"] += 1
        await anyio.sleep(LEASE_S)
        went_on = [w for w in running_machines(cluster) if w.name in lost and w.epoch == 1]
        cluster.observed["went on within its lease"] += len(went_on)
        await anyio.sleep(2 * LEASE_S)
        cluster.network.heal()
        # What waited for the capacity starts before the rest is cancelled.
        short = [i for i in ids if cluster.specs[i]["expect_s"] < LONG_TASK_S]
        assert not await cluster.until_done(short, 90.0), "capacity is free and work waits"
        await cancel_all_and_recover(cluster, [i for i in ids if i not in short])

    expected = ["at the limit", "cancelled on an unreachable machine", "the leader changed"]
    if way == "hang and go on":
        expected.append("went on within its lease")
    run_and_expect(cluster, main, *expected)
