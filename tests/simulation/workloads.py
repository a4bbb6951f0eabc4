"""Jobs that users submit to a simulated cluster, drawn from its random generator."""

from typing import Any

import anyio

from simulation.cluster import SimulatedCluster
from simulation.deployment import job

# Interval between health checks, in seconds, and their maximum number.
_HEALTH_CHECK_INTERVAL_S = 0.5
_MAX_HEALTH_CHECKS = 60


async def wait_until_healthy(cluster: SimulatedCluster) -> None:
    """Wait until all controllers are healthy.

    Raises:
        AssertionError: Not all controllers become healthy within 30 seconds.
    """
    for _ in range(_MAX_HEALTH_CHECKS):
        responses = [await cluster.ask("GET", "/healthz", node=i) for i in range(cluster.count)]
        if all(response.status == 200 for response in responses):
            return
        await anyio.sleep(_HEALTH_CHECK_INTERVAL_S)
    raise AssertionError("the controllers never became healthy")


def mixed_job(cluster: SimulatedCluster, number: int) -> dict[str, Any]:
    """Return a short random job: an array or a gang, with various constraints."""
    rng = cluster.rng
    fields: dict[str, Any] = rng.choice(
        [
            {"entries": rng.randint(1, 6), "image_gb": 1.0},
            {"entries": rng.randint(1, 4), "rank": "urgent", "bureau": "blue", "loaners": False},
            {"entries": 3, "form": "group", "same_place": rng.random() < 0.5},
            {"entries": 2, "form": "group", "bookmark_s": 2.0, "stamp_s": 0.5, "expect_s": 8.0},
            {"entries": 3, "apart": True, "district": None},
            {"entries": 2, "breeds": ["large"], "gpus": 1.0, "district": "south"},
        ]
    )
    return job(number, parcel=f"img-{rng.randrange(3)}", **fields)


def staggered_job(cluster: SimulatedCluster, number: int) -> dict[str, Any]:
    """Return a random job: tasks with different run times, long tasks or a gang."""
    rng = cluster.rng
    small: dict[str, Any] = {"vcpus": 1.0, "ram_gb": 2.0, "parcel": f"img-{number % 3}"}
    fields: dict[str, Any] = rng.choice(
        [
            {"entries": rng.randint(2, 3), "expect_s": 3.0, "far_s": rng.uniform(5.0, 15.0)},
            {"entries": rng.randint(2, 3), "expect_s": 2.0, "far_s": 8.0, "rank": "urgent"},
            {"entries": 2, "expect_s": rng.uniform(20.0, 50.0), "bureau": "blue"},
            {"entries": 2, "form": "group", "expect_s": 10.0, "bookmark_s": 2.0, "stamp_s": 1.0},
            {"entries": 3, "form": "group", "expect_s": 8.0, "bureau": "blue"},
        ]
    )
    return job(number, **small | fields)


def pipeline(
    cluster: SimulatedCluster, first_number: int, **last_fields: Any
) -> list[dict[str, Any]]:
    """Return a DAG: a first job, two or three that depend on it, one that joins them, and a last.

    The jobs are numbered from `first_number`; `last_fields` are fields of the last one.
    """
    rng = cluster.rng
    small: dict[str, Any] = {"vcpus": 1.0, "ram_gb": 2.0, "rank": "idle", "expect_s": 3.0}
    teams = ["red", "blue"]
    jobs = [job(first_number, entries=rng.randint(1, 3), bureau=rng.choice(teams), **small)]
    width = rng.randint(2, 3)
    for number in range(width):
        awaits = [jobs[0]["id"]]
        jobs.append(
            job(first_number + 1 + number, entries=rng.randint(1, 6), awaits=awaits, **small)
        )
    parallel = [spec["id"] for spec in jobs[1:]]
    # A duplicate dependency must have no effect.
    awaits = [*parallel, parallel[0]]
    jobs.append(
        job(first_number + width + 1, awaits=awaits, bureau=rng.choice(teams), expect_s=4.0)
    )
    fields: dict[str, Any] = {"rank": "urgent", "expect_s": 2.0, "due_s": 120.0} | last_fields
    jobs.append(job(first_number + width + 2, entries=2, awaits=[jobs[-1]["id"]], **fields))
    return jobs


async def submit_in_order(
    cluster: SimulatedCluster, jobs: list[dict[str, Any]], tries: int = 120
) -> None:
    """Submit jobs one after another, each after its dependencies are accepted."""
    for spec in jobs:
        assert await cluster.submit(spec, tries) in (200, 201), spec
