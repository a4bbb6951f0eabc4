"""Cancellations on lost machines while teams are at their limit.

Quota is released only when the end of the cancelled tasks is proved; then waiting tasks start.
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

# Teams and their limits in CPUs.
LIMITS = (("red", 48), ("blue", 32))
MACHINE_FAILURES = ["cut off", "hang", "hang and resume"]


async def fill_teams_to_limit(
    cluster: SimulatedCluster, teams: list[str], waiting: bool
) -> list[str]:
    """Submit long tasks until these teams are at their limits, and, if `waiting`, more tasks."""
    specs = []
    for team, cpus in LIMITS:
        job_count = cpus // 4 if team in teams else 2
        for number in range(job_count):
            # Gangs write checkpoints; arrays do not.
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
        # Enough tasks to compete for all released quota after the failover.
        for _ in range(10):
            specs.append(
                job(len(specs), bureau=team, vcpus=2.0, ram_gb=2.0, entries=1, expect_s=3.0)
            )
            assert await cluster.submit(specs[-1]) == 201
    return [spec["id"] for spec in specs]


def team_tasks(cluster: SimulatedCluster, team: str) -> set[str]:
    """Return the running tasks of a team."""
    return {
        name for _, name in running_tasks(cluster) if cluster.specs[name[:10]]["bureau"] == team
    }


def teams_at_limit(cluster: SimulatedCluster) -> set[str]:
    """Return the teams whose tasks use their full CPU limit."""
    used = {"red": 0.0, "blue": 0.0}
    for _, task in cluster.tasks_on_machines():
        used[task.spec["bureau"]] += task.spec["vcpus"]
    return {team for team, cpus in LIMITS if used[team] == cpus}


@pytest.mark.parametrize("teams", [["red", "blue"], ["blue"]], ids=["every team", "one team"])
@pytest.mark.parametrize("failure", MACHINE_FAILURES)
def test_quota_of_cancelled_jobs_on_lost_machines_is_released_once_their_end_is_proved(
    failure: str, teams: list[str]
) -> None:
    """The leader fails over before the ends are proved."""
    seed = 1030 + 10 * len(teams) + MACHINE_FAILURES.index(failure)
    cluster = SimulatedCluster(seed, cancel_s=CANCEL_S)
    cluster.cloud.capacity = 12

    async def main() -> None:
        await wait_until_healthy(cluster)
        ids = await fill_teams_to_limit(cluster, teams, waiting=True)
        assert teams_at_limit(cluster) >= set(teams)
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
            if failure == "cut off":
                for node in range(cluster.count):
                    cluster.network.cut(name, f"node-{node}", cluster.rng.choice(["drop", "hold"]))
            else:
                # A machine that hangs for much longer than a third of its lease is scaled in.
                short_hang_s = cluster.rng.uniform(2.5, 5.0)
                hang_s = short_hang_s if failure == "hang and resume" else 2 * LEASE_S
                cluster.cloud.workers[name].hung_until = now() + hang_s
        # Jobs of each of these teams, so that each has free quota once their ends are proved.
        chosen = [
            job_id
            for team in teams
            for job_id in sorted(i for i in on_lost if cluster.specs[i]["bureau"] == team)[:3]
        ]
        for job_id in chosen:
            cluster.network.tasks.start_soon(cluster.cancel, job_id, 240)
        await anyio.sleep(cluster.rng.uniform(0.2, 1.0))
        answered = [i for i in chosen if cluster.answers.final_states.get(i) == "cancelled"]
        unreachable = (
            {w.name for w, _ in running_tasks(cluster, *answered)} & lost if answered else set()
        )
        cluster.observed["cancelled on an unreachable machine"] += len(unreachable)
        await restart(cluster, index, 2.0)
        cluster.observed["the leader changed"] += 1
        await anyio.sleep(LEASE_S)
        resumed = [w for w in running_machines(cluster) if w.name in lost and w.epoch == 1]
        cluster.observed["resumed within its lease"] += len(resumed)
        await anyio.sleep(2 * LEASE_S)
        cluster.network.heal()
        # The waiting tasks must start before the remaining jobs are cancelled.
        short_jobs = [i for i in ids if cluster.specs[i]["expect_s"] < LONG_TASK_S]
        assert not await cluster.until_done(short_jobs, 90.0), "capacity is free and work waits"
        await cancel_all_and_recover(cluster, [i for i in ids if i not in short_jobs])

    expected = ["at the limit", "cancelled on an unreachable machine", "the leader changed"]
    if failure == "hang and resume":
        expected.append("resumed within its lease")
    run_and_expect(cluster, main, *expected)
