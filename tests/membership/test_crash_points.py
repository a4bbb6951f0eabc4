"""Crashes of a controller at each step of its work; the other controllers must complete it.

Each point is one row of the table in docs/membership.md.
"""

from collections.abc import Callable
from typing import Any

import anyio
import cbor2
import pytest

from sandladder.transport import Request
from simulation import SimulatedCluster, job, now, run
from simulation.workloads import wait_until_healthy

# Returns whether a controller crashes at a request.  The arguments are "before" or "after" the
# request is served, its source, its target, and the request.  The source crashes if it is a
# controller, otherwise the target.
CrashPoint = Callable[[str, str, str, Request], bool]


def _job_records(request: Request) -> list[Any]:
    """Return the job records that a commit writes."""
    if request.path != "/commit":
        return []
    changes = cbor2.loads(request.body)["apply"]
    return [c["v"] for c in changes if c.get("put", "").startswith("s/j/job-")]


def _is_job_record(value: Any) -> bool:
    return isinstance(value, dict) and "s" in value


def start_committed(when: str, source: str, target: str, request: Request) -> bool:
    return when == "after" and any(_is_job_record(v) and v.get("l") for v in _job_records(request))


def start_not_committed(when: str, source: str, target: str, request: Request) -> bool:
    return when == "before" and any(_is_job_record(v) and v.get("l") for v in _job_records(request))


def end_committed(when: str, source: str, target: str, request: Request) -> bool:
    return when == "after" and any(not _is_job_record(v) for v in _job_records(request))


def _has_command(request: Request, verb: str) -> bool:
    return request.path == "/do" and any(
        command["verb"] == verb for command in cbor2.loads(request.body)["orders"]
    )


def run_sent(when: str, source: str, target: str, request: Request) -> bool:
    return when == "before" and _has_command(request, "run")


def run_delivered(when: str, source: str, target: str, request: Request) -> bool:
    return when == "after" and _has_command(request, "run")


def halt_sent(when: str, source: str, target: str, request: Request) -> bool:
    return when == "before" and _has_command(request, "halt")


def exit_reported(when: str, source: str, target: str, request: Request) -> bool:
    if when != "before" or request.path != "/v1/report":
        return False
    return any(e["standing"] == "exited" for e in cbor2.loads(request.body)["entries"])


def submission_committed(when: str, source: str, target: str, request: Request) -> bool:
    return when == "after" and any(
        _is_job_record(v) and not v.get("l") for v in _job_records(request)
    )


def machines_rented(when: str, source: str, target: str, request: Request) -> bool:
    return when == "after" and request.path == "/machines"


CRASH_POINTS: list[CrashPoint] = [
    start_not_committed,
    start_committed,
    end_committed,
    run_sent,
    run_delivered,
    halt_sent,
    exit_reported,
    submission_committed,
    machines_rented,
]


@pytest.mark.parametrize("point", CRASH_POINTS, ids=lambda p: p.__name__)
def test_work_in_progress_at_a_crash_is_completed_by_other_controllers(point: CrashPoint) -> None:
    cluster = SimulatedCluster(80 + CRASH_POINTS.index(point))
    crashes: list[tuple[float, str]] = []  # when, and of which controller
    # Skip the first occurrences, so that there is work in progress.
    occurrences_to_skip = cluster.rng.randrange(4)
    web = job(900, form="service", entries=2, rank="prod", docket="web", loaners=False)

    def crash_at_point(when: str, source: str, target: str, request: Request) -> None:
        nonlocal occurrences_to_skip
        if len(crashes) >= 3 or not point(when, source, target, request):
            return
        node = source if source.startswith("node-") else target
        if not node.startswith("node-") or node not in cluster.nodes:
            return
        occurrences_to_skip -= 1
        if occurrences_to_skip < 0 and (not crashes or now() - crashes[-1][0] > 12.0):
            crashes.append((now(), node))
            cluster.crash(int(node[-1]))

    async def restart() -> None:
        while True:
            await anyio.sleep(0.5)
            for index in range(cluster.count):
                crashed_at = [at for at, node in crashes if node == f"node-{index}"]
                if f"node-{index}" not in cluster.nodes and now() - crashed_at[-1] > 5.0:
                    cluster.boot(index)

    async def main() -> None:
        await wait_until_healthy(cluster)
        cluster.network.on_request = crash_at_point
        cluster.network.start(restart)
        ids = [f"job-{n:06d}" for n in range(10)]
        await cluster.submit(web)
        for number in range(10):
            cluster.network.tasks.start_soon(cluster.submit, job(number, entries=4, expect_s=4.0))
            await anyio.sleep(3.0)
            if number % 4 == 2:
                machines = [
                    w for w, t in cluster.tasks_on_machines() if t.name.startswith(web["id"])
                ]
                if machines:  # the replica must move, so that a stop is in progress
                    machines[0].notice_until = now() + 12.0
        assert not await cluster.until_done(ids, 150.0)
        assert await cluster.cancel(web["id"]) == "cancelled"
        await anyio.sleep(45.0)
        cluster.check()
        assert not cluster.tasks_on_machines()

    run(cluster, main)
    assert cluster.violations == []
    assert crashes, "the point was never reached"
    # No task is started again unless its machine or controller was lost.
    tasks = [name for name in cluster.starts if not name.startswith(web["id"])]
    assert sum(cluster.starts[name] for name in tasks) <= len(tasks) + 4


def test_a_cancellation_committed_before_a_crash_is_completed() -> None:
    """The controller that committed it crashes before it informs any machine or the user."""
    cluster = SimulatedCluster(95)

    async def main() -> None:
        await wait_until_healthy(cluster)
        spec = job(1, entries=6, expect_s=300.0)
        await cluster.submit(spec)
        while len(cluster.tasks_on_machines()) < 6:
            await anyio.sleep(0.5)

        def crash_at_point(when: str, source: str, target: str, request: Request) -> None:
            if when == "after" and any(
                _is_job_record(v) and v.get("c") for v in _job_records(request)
            ):
                cluster.network.on_request = None
                cluster.crash(int(source[-1]))

        cluster.network.on_request = crash_at_point
        cancelled_at = now()
        assert await cluster.cancel(spec["id"]) == "cancelled"
        assert cluster.network.on_request is None
        while cluster.tasks_on_machines():
            await anyio.sleep(0.5)
        assert now() - cancelled_at < 20.0

    run(cluster, main)
    assert cluster.violations == []
