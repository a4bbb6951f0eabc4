"""No controller returns an older job state than any controller returned before.

Requests of every kind are sent to all nodes; `simulation.answer_consistency` compares the answers.
`docs/combined-faults.md` lists the tested combinations of faults.
"""

from typing import Any

import anyio
import cbor2
import pytest

from sandladder.transport import peer_messages
from simulation import SimulatedCluster, job, now
from simulation.answer_consistency import REQUIRED_FIELDS
from simulation.fault_scenarios import (
    CANCEL_S,
    FaultScenario,
    check_recovery,
    leader,
    run_and_expect,
    run_with_faults,
    running_tasks,
    wait_until,
)
from simulation.faults import restart
from simulation.workloads import pipeline, wait_until_healthy


async def no_fault(cluster: SimulatedCluster) -> None:
    await anyio.sleep(20.0)


async def leader_restarts(cluster: SimulatedCluster) -> None:
    for _ in range(3):
        await anyio.sleep(cluster.rng.uniform(2.0, 5.0))
        await restart(cluster, leader(cluster), cluster.rng.uniform(0.2, 3.0))


async def slow_store(cluster: SimulatedCluster) -> None:
    cluster.store.mean_delay_s = 0.2
    await anyio.sleep(20.0)
    cluster.store.mean_delay_s = 0.0


async def delayed_commit_responses(cluster: SimulatedCluster) -> None:
    """Delay the store's responses to each controller's transactions in turn."""
    for _ in range(2):
        for index in range(cluster.count):
            cluster.store.commit_response_delay_s = {f"node-{index}": 0.9}
            await anyio.sleep(4.0)
    cluster.store.commit_response_delay_s = {}


async def refused_in_turn(cluster: SimulatedCluster) -> None:
    """Let the store refuse each controller in turn, so that it forwards its requests."""
    for index in range(cluster.count):
        cluster.store.refused_sources = {f"node-{index}"}
        await anyio.sleep(4.0)
        cluster.store.refused_sources = set()
        await anyio.sleep(1.0)


SCENARIOS: list[FaultScenario] = [
    no_fault,
    leader_restarts,
    slow_store,
    delayed_commit_responses,
    refused_in_turn,
]


@pytest.mark.parametrize("count", [3, 7])
@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda scenario: scenario.__name__)
def test_concurrent_reads_at_all_nodes_never_return_older_states(
    scenario: FaultScenario, count: int
) -> None:
    cluster = SimulatedCluster(900 + SCENARIOS.index(scenario), count, cancel_s=CANCEL_S)
    cluster.concurrent_read_share = 1.0
    events = ("accepted", "ended", "done", "cancelled")
    run_and_expect(
        cluster,
        lambda: run_with_faults(cluster, (scenario,), 20),
        *(f"read concurrently when {event}" for event in events),
    )


def short_job(cluster: SimulatedCluster, number: int) -> dict[str, Any]:
    """Return a short job: an array or a gang, some with checkpoints."""
    small = {"vcpus": 1.0, "ram_gb": 2.0, "parcel": f"img-{number % 2}", "image_gb": 0.2}
    kind = cluster.rng.choice(
        [
            {"entries": 1, "expect_s": 1.0},
            {"entries": 3, "expect_s": 2.0, "far_s": 1.5, "rank": "urgent"},
            {"entries": 3, "form": "group", "expect_s": 3.0, "bureau": "blue"},
            {"entries": 2, "form": "group", "expect_s": 3.0, "bookmark_s": 1.0, "stamp_s": 1.0},
        ]
    )
    return job(number, **small | kind)


@pytest.mark.parametrize("seed", [920, 921])
def test_a_cancellation_races_with_the_end_of_the_last_task(seed: int) -> None:
    """Status queries and repeated submissions are sent at the same time."""
    cluster = SimulatedCluster(seed, cancel_s=CANCEL_S)
    cluster.cancel_at_end_share, cluster.concurrent_read_share = 0.6, 1.0

    async def main() -> None:
        await run_with_faults(cluster, (no_fault,), 30, short_job, cancels=0.0)
        # Both outcomes of the race must occur.
        for state in set(cluster.answers.final_states.values()):
            cluster.observed[f"was {state} at the end"] += 1

    observations = ("cancelled at completion", "read concurrently when ended")
    run_and_expect(cluster, main, *observations, "was done at the end", "was cancelled at the end")


def test_dependents_match_the_answered_state_of_their_dependency() -> None:
    """A job with dependents is cancelled as its last task ends."""
    cluster = SimulatedCluster(930, cancel_s=CANCEL_S)
    cluster.cancel_at_end_share, cluster.concurrent_read_share = 0.35, 1.0

    async def main() -> None:
        await wait_until_healthy(cluster)
        pipelines = [pipeline(cluster, 10 * number) for number in range(8)]
        for specs in pipelines:
            for spec in specs:
                assert await cluster.submit(spec) in (200, 201)
        ids = [spec["id"] for specs in pipelines for spec in specs]
        await check_recovery(cluster, ids)
        final_states = cluster.answers.final_states
        for job_id in ids:
            dependencies = {final_states[name] for name in cluster.dependencies(job_id)}
            if "cancelled" in dependencies:
                assert final_states[job_id] == "cancelled", job_id
                cluster.observed["followed a cancelled job"] += 1
            elif final_states[job_id] == "done":
                cluster.observed["followed jobs that are done"] += bool(dependencies)

    run_and_expect(
        cluster,
        main,
        "cancelled at completion",
        "followed a cancelled job",
        "followed jobs that are done",
    )


def test_a_service_cancelled_as_it_starts_stays_cancelled() -> None:
    cluster = SimulatedCluster(931, cancel_s=CANCEL_S)
    cluster.concurrent_read_share = 1.0

    async def main() -> None:
        await wait_until_healthy(cluster)
        for number in range(6):
            spec = job(number, form="service", rank="prod", entries=1, expect_s=0.0)
            assert await cluster.submit(spec) == 201
        ids = list(cluster.specs)
        for job_id in ids:
            with anyio.fail_after(60.0):
                while not running_tasks(cluster, job_id) and job_id not in cluster.cancelled_at:
                    await anyio.sleep(0.02)
            assert await cluster.cancel(job_id) == "cancelled"
        await check_recovery(cluster, ids)

    run_and_expect(cluster, main, "read concurrently when cancelled")


# Changes that make a submission malformed (400), and ones that make it never runnable (422).
FieldChanges = dict[str, Any]
MALFORMED: list[FieldChanges] = [
    *({field: None} for field in REQUIRED_FIELDS if field != "id"),
    {"entries": 0},
    {"entries": 100_001},
    {"entries": 1.5},
    {"entries": True},
    {"vcpus": -1.0},
    {"vcpus": float("inf")},
    {"vcpus": "2"},
    {"ram_gb": float("nan")},
    {"form": "heap"},
    {"rank": "first"},
    {"loaners": 1},
    {"breeds": "small"},
    {"due_s": -1.0},
]
NEVER_RUNNABLE: list[FieldChanges] = [
    {"bureau": "green"},
    {"vcpus": 17.0},
    {"gpus": 3.0},
    {"ram_gb": 65.0},
    {"breeds": []},
    {"breeds": ["huge"]},
    {"breeds": ["small"], "vcpus": 5.0},
    {"district": "west"},
    {"gpus": 2.0, "form": "group", "entries": 3},
    {"form": "group", "entries": 25},
    {"form": "service", "entries": 17, "bureau": "blue"},
]


async def statuses(
    cluster: SimulatedCluster, method: str, path: str, body: Any = None
) -> list[tuple[int, str | None]]:
    """Return the status code from each node, and the job's state if the answer has one."""
    found: list[tuple[int, str | None]] = []
    for node in range(cluster.count):
        answer = await cluster.ask(method, path, body, node)
        standing = cbor2.loads(answer.body).get("standing") if answer.status in (200, 201) else None
        assert answer.status != 503 or answer.retry_after, "a 503 needs Retry-After"
        found.append((answer.status, standing))
    return found


async def check_invalid_requests(
    cluster: SimulatedCluster, job_states: dict[str, str], records_unreadable: bool
) -> None:
    """Send invalid and repeated requests to all nodes; allow 503 if `records_unreadable`."""

    def allow(found: list[tuple[int, str | None]], *wanted: tuple[int, str | None]) -> None:
        allowed = {*wanted, (503, None)} if records_unreadable else set(wanted)
        assert set(found) <= allowed, (found, wanted)

    number = cluster.rng.randrange(500_000, 900_000)
    for fields, status in [(f, 400) for f in MALFORMED] + [(f, 422) for f in NEVER_RUNNABLE]:
        number += 1
        spec = {k: v for k, v in (job(number) | fields).items() if v is not None}
        allow(await statuses(cluster, "POST", "/work", spec), (status, None))
        allow(await statuses(cluster, "GET", f"/work/{spec['id']}"), (404, None))
        allow(await statuses(cluster, "POST", f"/work/{spec['id']}/cancel"), (404, None))
    for body in (["a", "list"], "text", 7, {"id": "job-1"}, {}):
        allow(await statuses(cluster, "POST", "/work", body), (400, None))
    for path in ("/work/job-1", "/work/none", "/work/job-000000/0", "/work/../x"):
        allow(await statuses(cluster, "GET", path), (404, None))
    for job_id, state in job_states.items():
        changes: list[FieldChanges] = [
            {"entries": 9},
            {"bureau": "green"},
            {"vcpus": None},
            {"form": "heap"},
        ]
        for fields in changes:
            spec = {k: v for k, v in (cluster.specs[job_id] | fields).items() if v is not None}
            allow(await statuses(cluster, "POST", "/work", spec), (200, state))
        allow(await statuses(cluster, "GET", f"/work/{job_id}"), (200, state))
        if state != "running":
            allow(await statuses(cluster, "POST", f"/work/{job_id}/cancel"), (200, state))
        cluster.observed[f"invalid requests for a job that is {state}"] += 1


def test_invalid_requests_get_the_documented_status_at_every_node() -> None:
    """Before the machine types are known, in normal operation, in a store outage and after it."""
    cluster = SimulatedCluster(940, cancel_s=CANCEL_S)
    cloud = cluster.cloud.handle

    async def main() -> None:
        cluster.network.handlers.pop("cloud")
        await wait_until(lambda: len(cluster.nodes) == cluster.count, 10.0)
        # No job may be refused with 422 while no node knows the machine types.
        await check_requests_without_machine_types(cluster)
        cluster.network.handlers["cloud"] = cloud
        await wait_until_healthy(cluster)
        specs = [job(1, entries=1, expect_s=1.0), job(2, expect_s=500.0), job(3, expect_s=500.0)]
        for spec in specs:
            assert await cluster.submit(spec) == 201
        assert not await cluster.until_done(["job-000001"], 60.0)
        with anyio.fail_after(60.0):
            while len(running_tasks(cluster, "job-000002", "job-000003")) < 4:
                await anyio.sleep(0.2)
        assert await cluster.cancel("job-000003") == "cancelled"
        job_states = {"job-000001": "done", "job-000002": "running", "job-000003": "cancelled"}
        await anyio.sleep(3.0)
        await check_invalid_requests(cluster, job_states, records_unreadable=False)
        cluster.store.outage(True)
        await anyio.sleep(2.0)
        await check_invalid_requests(cluster, job_states, records_unreadable=True)
        cluster.store.outage(False)
        await wait_until_healthy(cluster)
        await check_invalid_requests(cluster, job_states, records_unreadable=False)
        assert cluster.specs["job-000002"]["entries"] == 2
        assert await cluster.cancel("job-000002") == "cancelled"
        assert not await cluster.until_done(list(job_states), 60.0)
        started = {name.partition("/")[0] for name in cluster.starts}
        assert started <= job_states.keys(), "a job that was never accepted ran"

    states = ("done", "running", "cancelled")
    run_and_expect(
        cluster, main, *(f"invalid requests for a job that is {state}" for state in states)
    )


async def check_requests_without_machine_types(cluster: SimulatedCluster) -> None:
    """Send invalid submissions while no node knows the machine types."""
    deadline = now() + 4.0
    while now() < deadline:
        spec = job(777)
        found = await statuses(cluster, "POST", "/work", spec)
        assert {status for status, _ in found} <= {503}, found
        found = await statuses(cluster, "POST", "/work", spec | {"vcpus": 500.0})
        assert {status for status, _ in found} <= {503}, found
        incomplete = {k: v for k, v in spec.items() if k != "rank"}
        found = await statuses(cluster, "POST", "/work", incomplete)
        assert {status for status, _ in found} <= {400, 503}, found
        cluster.observed["asked before the machine types are known"] += 1
        await anyio.sleep(0.5)
    assert cluster.observed["asked before the machine types are known"]


@pytest.mark.parametrize("seed", [950, 951, 952])
def test_a_response_to_an_ended_process_is_not_matched_by_its_successor(seed: int) -> None:
    """A frozen peer answers a forwarded request after the controller that sent it restarted."""
    cluster = SimulatedCluster(seed, cancel_s=CANCEL_S)
    forwarded_to: list[str] = []  # peers that received a request from node-0

    def record_message(source: str, target: str, message: Any) -> None:
        if source == "node-0" and isinstance(message, peer_messages.ForwardedRequest):
            forwarded_to.append(target)
        if (
            target == "node-0"
            and isinstance(message, peer_messages.ForwardedResponse)
            and len(forwarded_to) > 1
        ):
            # The response to the first request arrives while the second request is pending.
            cluster.observed["a response came late"] += bool(
                cluster.nodes["node-0"].peers.forwarder.pending
            )

    async def main() -> None:
        await wait_until_healthy(cluster)
        cluster.on_peer_message = record_message
        cluster.store.refused_sources = {"node-0"}
        await anyio.sleep(3.0)
        cluster.specs |= {f"job-{number:06d}": job(number) for number in range(2)}
        cluster.network.tasks.start_soon(cluster.ask, "POST", "/work", job(0), 0)
        await wait_until(lambda: bool(forwarded_to), 3.0, 0.001)
        await anyio.sleep(0.011)
        index = int(forwarded_to[0][-1])
        cluster.freeze(index)
        cluster.crash(0)
        cluster.store.refused_sources = set()
        cluster.boot(0)
        await wait_until(
            lambda: "node-0" in cluster.nodes and cluster.nodes["node-0"].controller_lease.alive(),
            6.0,
        )
        cluster.store.refused_sources = {"node-0"}
        cluster.store.commit_response_delay_s = {f"node-{i}": 1.4 for i in (1, 2)}
        with anyio.move_on_after(8.0):
            while len(forwarded_to) < 2:
                cluster.network.tasks.start_soon(cluster.submit_once, job(1), 0)
                await anyio.sleep(0.2)
        cluster.thaw(index)
        await anyio.sleep(3.0)
        cluster.store.commit_response_delay_s, cluster.store.refused_sources = {}, set()
        await check_recovery(
            cluster, [spec["id"] for spec in map(job, range(2)) if await cluster.submit(spec)]
        )

    run_and_expect(cluster, main, "a response came late")
