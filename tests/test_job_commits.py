"""What waits to be committed of jobs: proved ends, pending starts, and jobs that back off."""

from collections.abc import Iterable

import pytest

from helpers import LIMITS, accept, commit, scene
from sandladder import clock
from sandladder.concurrency import Signal
from sandladder.config import AgentSettings
from sandladder.jobs import cancel, start
from sandladder.jobs.backoff import JobBackoff
from sandladder.jobs.end_announcer import EndAnnouncer
from sandladder.jobs.end_queue import EndQueue
from sandladder.jobs.start_queue import StartQueue
from sandladder.model import AttemptOutcome, EndedAttempt, Job, Placement
from sandladder.scheduling import ClusterView
from sandladder.state import StateCache, Transaction
from sandladder.transport import peer_transport

MAX_WAIT_S = 4.0
WORKERS = AgentSettings(report_s=3.0, lease_s=12.0, cancel_s=40.0)


def started_job(cache: StateCache, tasks: int, running: Iterable[int]) -> Job:
    """An array job whose tasks are small enough not to come near its team's limit."""
    found = accept(cache, entries=tasks, vcpus=0.1, ram_gb=0.1)
    transaction = Transaction(cache)
    placements = [Placement(task, "vm-1", "north", 1) for task in running]
    start(transaction, found.id, placements, LIMITS)
    commit(cache, transaction)
    return cache.jobs[found.id]


def ended(job: Job, task: int, outcome: AttemptOutcome = AttemptOutcome.DONE) -> EndedAttempt:
    return EndedAttempt(job.id, task, job.live[task], outcome)


def test_an_end_that_nothing_waits_for_is_kept_back_for_a_while() -> None:
    _, planner, cache, _ = scene()
    job = started_job(cache, 3, range(3))
    queue = EndQueue(planner, MAX_WAIT_S)
    assert not queue.add(ended(job, 0), now=10.0)
    assert not queue.add(ended(job, 1), now=11.0)
    assert queue.due_jobs(now=13.9) == [] and queue.due_jobs(now=14.0) == [job.id]
    assert [item.task for item in queue.pop(job.id)] == [0, 1]
    assert queue.due_jobs(now=99.0) == [] and not queue.of(job.id)


def test_the_last_end_of_a_job_is_committed_at_once_with_those_kept_back() -> None:
    _, planner, cache, _ = scene()
    job = started_job(cache, 2, range(2))
    queue = EndQueue(planner, MAX_WAIT_S)
    assert not queue.add(ended(job, 0), now=10.0) and not queue.end_all(job)
    assert queue.add(ended(job, 1), now=10.0) and queue.end_all(job)
    assert queue.due_jobs(now=10.0) == [job.id] and len(queue.of(job.id)) == 2


@pytest.mark.parametrize("outcome", [o for o in AttemptOutcome if o != AttemptOutcome.DONE])
def test_an_end_that_calls_for_another_start_is_committed_at_once(outcome: AttemptOutcome) -> None:
    _, planner, cache, _ = scene()
    job = started_job(cache, 3, range(3))
    queue = EndQueue(planner, MAX_WAIT_S)
    assert queue.add(ended(job, 0, outcome), now=10.0)
    # Repeated by the next heartbeat, it does not ask for another commit.
    assert not queue.add(ended(job, 0, outcome), now=10.5)


def test_an_end_that_is_repeated_waits_no_longer_and_is_there_once() -> None:
    _, planner, cache, _ = scene()
    job = started_job(cache, 3, range(3))
    queue = EndQueue(planner, MAX_WAIT_S)
    for now in (10.0, 12.0, 13.0):
        assert not queue.add(ended(job, 0), now)
    assert queue.due_jobs(now=14.0) == [job.id] and len(queue.of(job.id)) == 1


def test_only_starts_whose_premises_still_hold_are_released() -> None:
    cluster_view, planner, cache, _ = scene()
    job = accept(cache, entries=2)
    queue = StartQueue(cluster_view)
    pending_starts = planner.plan([job], {})
    assert queue.add(pending_starts) == [job.id] and job.id in queue
    assert queue.release(job.id) == pending_starts
    transaction = Transaction(cache)
    cancel(transaction, job.id, 0.0)
    commit(cache, transaction)
    assert queue.release(job.id) == [] and not cluster_view.gate.pending


def test_what_is_left_in_the_queue_is_what_was_neither_committed_nor_withdrawn() -> None:
    cluster_view, planner, cache, _ = scene()
    job = accept(cache, entries=3)
    queue = StartQueue(cluster_view)
    first, second, third = planner.plan([job], {})
    queue.add([first, second, third])
    queue.withdraw([second])
    assert queue.pop(job.id, committed=[first]) == [third]
    assert job.id not in queue and queue.pop(job.id, committed=[]) == []


def test_a_job_backs_off_longer_with_each_machine_that_it_failed_on() -> None:
    cluster_view, planner, cache, _ = scene()
    job = started_job(cache, 1, range(1))
    backoff = JobBackoff(planner, WORKERS)
    cluster_view.now = 100.0
    delays = []
    for number in range(8):
        attempt = job.live[0]._replace(machine=f"vm-{number}")
        backoff.note(EndedAttempt(job.id, 0, attempt, AttemptOutcome.ERROR))
        delays.append(backoff.until[job.id] - cluster_view.now)
    assert delays == [1.0, 2.0, 4.0, 8.0, 16.0, 24.0, 24.0, 24.0]
    assert planner.failed_machines[job.id] == {f"vm-{number}" for number in range(8)}
    backoff.forget_expired(now=123.0)
    assert job.id in backoff.until
    backoff.forget_expired(now=124.0)
    assert not backoff.until


def test_a_refused_start_is_held_against_the_machine_and_not_against_the_job() -> None:
    cluster_view, planner, cache, _ = scene()
    job = started_job(cache, 1, range(1))
    backoff = JobBackoff(planner, WORKERS)
    for _ in range(5):
        backoff.note(ended(job, 0, AttemptOutcome.BUSY))
    assert backoff.until[job.id] - cluster_view.now == 1.0 and not planner.failed_machines
    capacity = cluster_view.free_capacity("vm-1")
    assert capacity is not None and not capacity.usable


def test_a_job_that_was_stopped_does_not_back_off() -> None:
    _, planner, cache, _ = scene()
    job = started_job(cache, 1, range(1))
    backoff = JobBackoff(planner, WORKERS)
    backoff.note(ended(job, 0, AttemptOutcome.STOPPED))
    assert not backoff.until


class Connection:
    """Keeps what is sent to a peer."""

    def __init__(self) -> None:
        self.sent: list[peer_transport.Message] = []

    def send(self, message: peer_transport.Message) -> None:
        self.sent.append(message)


class Peers:
    """The two peers of node-0, and the controller to which every team is assigned."""

    def __init__(self, assigned_to: str) -> None:
        self.assigned_to = assigned_to
        self.connections = {"node-1": Connection(), "node-2": Connection()}

    def assignee(self, team: str) -> str:
        return self.assigned_to

    def sent(self) -> list[int]:
        return [len(connection.sent) for connection in self.connections.values()]


class Announcing:
    """An announcer of node-0 at a time that the test sets, and what it had committed."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, assigned_to: str) -> None:
        self.now = 10.0
        monkeypatch.setattr(clock, "now", lambda: self.now)
        self.cluster_view, _, cache, _ = scene()
        self.job = started_job(cache, 3, range(3))
        self.peers = Peers(assigned_to)
        self.committed: list[int] = []
        self.announcer = EndAnnouncer(
            "node-0", self.cluster_view, self.peers, Signal(), MAX_WAIT_S, self._commit
        )

    def _commit(self, ended: EndedAttempt) -> None:
        self.committed.append(ended.task)


def free_cpus(cluster_view: ClusterView) -> float:
    capacity = cluster_view.free_capacity("vm-1")
    assert capacity is not None
    return capacity.cpus


def test_a_proved_end_frees_capacity_and_is_sent_to_all_peers_once(monkeypatch) -> None:
    scenario = Announcing(monkeypatch, "node-1")
    before = free_cpus(scenario.cluster_view)
    for _ in range(3):
        scenario.announcer.collect_ends([ended(scenario.job, 0), ended(scenario.job, 1)])
    assert free_cpus(scenario.cluster_view) == pytest.approx(before + 0.2)
    assert scenario.peers.sent() == [1, 1] and scenario.committed == []


def test_an_end_is_sent_again_to_the_controller_that_takes_the_team_over(monkeypatch) -> None:
    scenario = Announcing(monkeypatch, "node-1")
    for assignee in ("node-1", "node-2", "node-2"):
        scenario.peers.assigned_to = assignee
        scenario.announcer.collect_ends([ended(scenario.job, 0)])
    assert scenario.peers.sent() == [1, 2]


def test_an_end_that_its_assignee_does_not_commit_in_time_is_committed_here(monkeypatch) -> None:
    scenario = Announcing(monkeypatch, "node-1")
    scenario.announcer.collect_ends([ended(scenario.job, 0)])
    scenario.now += 3 * MAX_WAIT_S
    scenario.announcer.collect_ends([ended(scenario.job, 0)])
    assert scenario.committed == []
    scenario.now += 0.1
    scenario.announcer.collect_ends([ended(scenario.job, 0)])
    assert scenario.committed == [0]


@pytest.mark.parametrize(("assigned_to", "committed"), [("node-0", [0]), ("node-1", [])])
def test_only_the_assignee_commits_an_end_that_a_peer_has_proved(
    monkeypatch, assigned_to: str, committed: list[int]
) -> None:
    scenario = Announcing(monkeypatch, assigned_to)
    before = free_cpus(scenario.cluster_view)
    scenario.announcer.receive(ended(scenario.job, 0))
    assert scenario.committed == committed and scenario.peers.sent() == [0, 0]
    assert free_cpus(scenario.cluster_view) == pytest.approx(before + 0.1)


def test_what_was_proved_long_ago_is_forgotten(monkeypatch) -> None:
    scenario = Announcing(monkeypatch, "node-0")
    scenario.announcer.collect_ends([ended(scenario.job, 0)])
    scenario.announcer.forget(now=57.9, after_s=48.0)
    assert len(scenario.announcer.proved) == 1
    scenario.announcer.forget(now=58.0, after_s=48.0)
    assert not scenario.announcer.proved
