"""Tests of the decision that an attempt has ended, and of the detection of a wrong one."""

import ast
from pathlib import Path
from typing import Any

import anyio
import pytest

from helpers import LIMITS, accept, commit
from sandladder.agents import Reconciler, reported_ends
from sandladder.agents.agent_session import AgentSession
from sandladder.agents.end_contradictions import EndContradictions, uncommitted_stops
from sandladder.jobs import end, start
from sandladder.model import AgentHeartbeat, EndedAttempt, EndEvidence, Placement, TaskStatus
from sandladder.state import StateCache, Transaction
from simulation import SimulatedCluster, job, run
from simulation.fault_scenarios import LONG_TASK_S, running_tasks, wait_until
from simulation.faults import running_machines
from simulation.workloads import wait_until_healthy

TOKEN = 5
SOURCES = Path(__file__).resolve().parent.parent / "src" / "sandladder"


def heartbeat(sequence: int, *states: str, epoch: int = 1) -> AgentHeartbeat:
    """Return a heartbeat of vm-1 with attempt 1 of the job's tasks in these states."""
    tasks = [
        TaskStatus("job-000001", task, 1, state, "", False) for task, state in enumerate(states)
    ]
    return AgentHeartbeat(
        "vm-1", "vm-1:1", "small", "north", False, epoch, sequence, TOKEN, None, tuple(tasks)
    )


def session_with_task(cache: StateCache, state: str) -> AgentSession:
    """Return the session of vm-1, which reports a committed attempt in a state."""
    accept(cache, entries=1)
    transaction = Transaction(cache)
    start(transaction, "job-000001", [Placement(0, "vm-1", "north", 1)], LIMITS)
    commit(cache, transaction)
    reconciler = Reconciler()
    reconciler.adopt_fencing_token(TOKEN)
    session = reconciler.receive_heartbeat(heartbeat(1, state), 0.0, direct=False).agent
    session.synced = True
    return session


def record_as_lost(cache: StateCache) -> None:
    """Commit the end of the attempt on vm-1 as lost."""
    attempt = cache.jobs["job-000001"].live[0]
    transaction = Transaction(cache)
    ended = EndedAttempt("job-000001", 0, attempt, "lost", EndEvidence.LEASE_EXPIRED)
    assert end(transaction, [ended], 0.0)
    commit(cache, transaction)


def contradictions_after(cache: StateCache, session: AgentSession, response: AgentHeartbeat) -> int:
    """Return the contradictions that the response to the session's pending commands shows."""
    reconciler = Reconciler()
    contradictions = EndContradictions(cache)
    stops = uncommitted_stops(session, cache, reconciler.direct_batch(session, cache).commands)
    contradictions.check(stops, response)
    return contradictions.count


def test_an_attempt_that_runs_after_its_end_was_recorded_is_logged_with_both_attempts(
    caplog: pytest.LogCaptureFixture,
) -> None:
    cache = StateCache()
    session = session_with_task(cache, "running")
    record_as_lost(cache)
    transaction = Transaction(cache)
    start(transaction, "job-000001", [Placement(0, "vm-2", "north", 1)], LIMITS)
    commit(cache, transaction)
    assert contradictions_after(cache, session, heartbeat(2, "exited")) == 1
    assert "job-000001/0 ran on machine vm-1 (epoch 1, attempt 1)" in caplog.text
    assert "its live attempt: 2 on vm-2" in caplog.text


@pytest.mark.parametrize(
    "response",
    [heartbeat(2, "exited", epoch=2), heartbeat(3, "exited"), heartbeat(2)],
    ids=["a later epoch", "a report in between", "a forgotten attempt"],
)
def test_no_contradiction_is_counted_if_the_attempt_may_have_ended_before(
    response: AgentHeartbeat,
) -> None:
    cache = StateCache()
    session = session_with_task(cache, "running")
    record_as_lost(cache)
    assert contradictions_after(cache, session, response) == 0


@pytest.mark.parametrize("state", ["running", "exited"])
def test_no_contradiction_is_counted_for_committed_or_exited_attempts(state: str) -> None:
    cache = StateCache()
    session = session_with_task(cache, state)
    if state == "exited":
        record_as_lost(cache)
    assert contradictions_after(cache, session, heartbeat(2, "exited")) == 0


def test_each_end_names_its_evidence() -> None:
    cache = StateCache()
    session = session_with_task(cache, "exited")
    assert [ended.evidence for ended in reported_ends(session, cache)] == [
        EndEvidence.EXIT_REPORTED
    ]
    session.apply_heartbeat(heartbeat(2, epoch=2), 0.0, direct=False)
    assert [ended.evidence for ended in reported_ends(session, cache)] == [EndEvidence.LATER_EPOCH]


def test_no_path_decides_an_end_outside_the_module_of_these_decisions() -> None:
    """The only other place decodes the ends that a peer has decided."""
    places = set()
    for path in SOURCES.rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text("utf-8"))):
            if isinstance(node, ast.Call) and getattr(node.func, "id", "") == "EndedAttempt":
                places.add(str(path.relative_to(SOURCES)))
    assert places == {"agents/attempt_ends.py", "peers/peer_service.py"}


MALFORMED_FIELDS: dict[str, dict[str, Any]] = {
    "no epoch": {"shift": None},
    "an epoch that is no number": {"shift": "9"},
    "a negative sequence number": {"tally": -1},
    "no token": {"seal": None},
    "tasks that are no list": {"entries": {}},
    "a task that is no map": {"entries": ["job-000001/0"]},
    "a task without an attempt": {"entries": [{"entry": "job-000001/0", "standing": "exited"}]},
    "a task without a number": {
        "entries": [{"entry": "job-000001", "try": 1, "standing": "exited"}]
    },
    "an attempt twice": {
        "entries": [
            {"entry": "job-000001/0", "try": 1, "standing": "exited", "cause": "error"},
            {"entry": "job-000001/0", "try": 1, "standing": "running"},
        ]
    },
    "a state that is no text": {"entries": [{"entry": "job-000001/0", "try": 1, "standing": 7}]},
}


def test_malformed_heartbeats_record_no_end_and_start_nothing(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Each would otherwise be the newest heartbeat of the machine."""
    cluster = SimulatedCluster(6)
    statuses: dict[str, set[int]] = {}

    async def main() -> None:
        await wait_until_healthy(cluster)
        spec = job(1, entries=4, vcpus=3.0, expect_s=LONG_TASK_S)
        assert await cluster.submit(spec) == 201
        await wait_until(lambda: len(running_tasks(cluster)) == 4, 60.0, 0.2)
        await anyio.sleep(5.0)
        record = cluster.store.items["s/j/job-000001"]
        for description, fields in MALFORMED_FIELDS.items():
            for machine in running_machines(cluster):
                body = machine.heartbeat() | {"tally": machine.sequence + 1000} | fields
                responses = [
                    await cluster.ask("POST", "/v1/report", body, node)
                    for node in range(cluster.count)
                ]
                statuses.setdefault(description, set()).update(r.status for r in responses)
        await anyio.sleep(5.0)
        assert cluster.store.items["s/j/job-000001"] == record

    run(cluster, main)
    assert statuses == {description: {400} for description in MALFORMED_FIELDS}
    assert "rejecting a malformed heartbeat: entries: an attempt is listed twice" in caplog.text
    assert cluster.violations == []
    assert sum(cluster.starts.values()) == 4


def test_a_planted_wrong_end_is_found_by_the_controllers() -> None:
    cluster = SimulatedCluster(5)

    async def main() -> None:
        await wait_until_healthy(cluster)
        spec = job(1, entries=4, vcpus=3.0, expect_s=LONG_TASK_S)
        assert await cluster.submit(spec) == 201
        await wait_until(lambda: len(running_tasks(cluster)) == 4, 60.0, 0.2)
        for node in cluster.nodes.values():
            lost_attempts = node.agent_service._expiry._lost_attempts
            lost_attempts._ended_epochs = lambda machine, now: {1: EndEvidence.LEASE_EXPIRED}
        await anyio.sleep(2.0)

    run(cluster, main)
    rules = {violation.split()[1] for violation in cluster.violations}
    assert "ended_running:" in rules
