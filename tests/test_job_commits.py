"""Queues of ended attempts and pending starts, job backoff, and announcement of ends to peers."""

from collections.abc import Iterable

import pytest

from helpers import LIMITS, accept, commit, scheduler_with_two_machines
from sandladder import clock
from sandladder.concurrency import Signal
from sandladder.config import AgentSettings
from sandladder.jobs import cancel, start
from sandladder.jobs.backoff import JobBackoff
from sandladder.jobs.end_announcer import EndAnnouncer
from sandladder.jobs.end_queue import EndQueue
from sandladder.jobs.start_queue import StartQueue
from sandladder.model import Attempt, AttemptOutcome, EndedAttempt, Job, Placement
from sandladder.scheduling import ClusterView
from sandladder.state import StateCache, Transaction
from sandladder.transport import peer_messages, peer_transport

MAX_WAIT_S = 4.0
WORKERS = AgentSettings(report_s=3.0, lease_s=12.0, cancel_s=40.0)


def started_job(cache: StateCache, tasks: int, running: Iterable[int]) -> Job:
    """Return a running array job whose tasks stay far below its team's limit."""
    job = accept(cache, entries=tasks, vcpus=0.1, ram_gb=0.1)
    transaction = Transaction(cache)
    placements = [Placement(task, "vm-1", "north", 1) for task in running]
    start(transaction, job.id, placements, LIMITS)
    commit(cache, transaction)
    return cache.jobs[job.id]


def ended(job: Job, task: int, outcome: AttemptOutcome = AttemptOutcome.DONE) -> EndedAttempt:
    return EndedAttempt(job.id, task, job.live[task], outcome)


def test_a_non_urgent_end_is_due_after_the_maximum_wait() -> None:
    _, planner, cache, _ = scheduler_with_two_machines()
    job = started_job(cache, 3, range(3))
    queue = EndQueue(planner, MAX_WAIT_S)
    assert not queue.add(ended(job, 0), now=10.0)
    assert not queue.add(ended(job, 1), now=11.0)
    assert queue.due_jobs(now=13.9) == [] and queue.due_jobs(now=14.0) == [job.id]
    assert [item.task for item in queue.pop(job.id)] == [0, 1]
    assert queue.due_jobs(now=99.0) == [] and not queue.queued_ends(job.id)


def test_the_last_end_of_a_job_is_due_at_once_together_with_delayed_ends() -> None:
    _, planner, cache, _ = scheduler_with_two_machines()
    job = started_job(cache, 2, range(2))
    queue = EndQueue(planner, MAX_WAIT_S)
    assert not queue.add(ended(job, 0), now=10.0) and not queue.covers_all_live(job)
    assert queue.add(ended(job, 1), now=10.0) and queue.covers_all_live(job)
    assert queue.due_jobs(now=10.0) == [job.id] and len(queue.queued_ends(job.id)) == 2


@pytest.mark.parametrize("outcome", [o for o in AttemptOutcome if o != AttemptOutcome.DONE])
def test_an_end_that_requires_a_restart_is_due_at_once(outcome: AttemptOutcome) -> None:
    _, planner, cache, _ = scheduler_with_two_machines()
    job = started_job(cache, 3, range(3))
    queue = EndQueue(planner, MAX_WAIT_S)
    assert queue.add(ended(job, 0, outcome), now=10.0)
    # The next heartbeat repeats the end, which must not cause another commit.
    assert not queue.add(ended(job, 0, outcome), now=10.5)


def test_a_repeated_end_is_queued_once_with_its_original_due_time() -> None:
    _, planner, cache, _ = scheduler_with_two_machines()
    job = started_job(cache, 3, range(3))
    queue = EndQueue(planner, MAX_WAIT_S)
    for now in (10.0, 12.0, 13.0):
        assert not queue.add(ended(job, 0), now)
    assert queue.due_jobs(now=14.0) == [job.id] and len(queue.queued_ends(job.id)) == 1


def test_only_starts_whose_premises_hold_are_released() -> None:
    cluster_view, planner, cache, _ = scheduler_with_two_machines()
    job = accept(cache, entries=2)
    queue = StartQueue(cluster_view)
    pending_starts = planner.plan([job], {})
    assert queue.add(pending_starts) == [job.id] and job.id in queue
    assert queue.release(job.id) == pending_starts
    transaction = Transaction(cache)
    cancel(transaction, job.id, 0.0)
    commit(cache, transaction)
    assert queue.release(job.id) == [] and not cluster_view.gate.pending


def test_pop_returns_starts_that_were_neither_committed_nor_withdrawn() -> None:
    cluster_view, planner, cache, _ = scheduler_with_two_machines()
    job = accept(cache, entries=3)
    queue = StartQueue(cluster_view)
    first, second, third = planner.plan([job], {})
    queue.add([first, second, third])
    queue.withdraw([second])
    assert queue.pop(job.id, committed=[first]) == [third]
    assert job.id not in queue and queue.pop(job.id, committed=[]) == []


def test_backoff_doubles_with_each_failed_machine_up_to_two_leases() -> None:
    cluster_view, planner, cache, _ = scheduler_with_two_machines()
    job = started_job(cache, 1, range(1))
    backoff = JobBackoff(planner, WORKERS)
    cluster_view.now = 100.0
    delays = []
    for number in range(8):
        attempt = job.live[0]._replace(machine=f"vm-{number}")
        backoff.record_end(EndedAttempt(job.id, 0, attempt, AttemptOutcome.ERROR))
        delays.append(backoff.not_before[job.id] - cluster_view.now)
    assert delays == [1.0, 2.0, 4.0, 8.0, 16.0, 24.0, 24.0, 24.0]
    assert planner.failed_machines[job.id] == {f"vm-{number}" for number in range(8)}
    backoff.forget_expired(now=123.0)
    assert job.id in backoff.not_before
    backoff.forget_expired(now=124.0)
    assert not backoff.not_before


def test_a_refused_start_excludes_the_machine_without_extending_the_backoff() -> None:
    cluster_view, planner, cache, _ = scheduler_with_two_machines()
    job = started_job(cache, 1, range(1))
    backoff = JobBackoff(planner, WORKERS)
    for _ in range(5):
        backoff.record_end(ended(job, 0, AttemptOutcome.BUSY))
    assert backoff.not_before[job.id] - cluster_view.now == 1.0 and not planner.failed_machines
    capacity = cluster_view.free_capacity("vm-1")
    assert capacity is not None and not capacity.usable


def test_a_stopped_attempt_causes_no_backoff() -> None:
    _, planner, cache, _ = scheduler_with_two_machines()
    job = started_job(cache, 1, range(1))
    backoff = JobBackoff(planner, WORKERS)
    backoff.record_end(ended(job, 0, AttemptOutcome.STOPPED))
    assert not backoff.not_before


class FakeConnection:
    """Records the messages to a peer."""

    def __init__(self) -> None:
        self.sent: list[peer_transport.Message] = []

    def send(self, message: peer_transport.Message) -> None:
        self.sent.append(message)


class FakePeers:
    """The two peers of node-0; every team is assigned to one controller."""

    def __init__(self, assigned_to: str) -> None:
        self.assigned_to = assigned_to
        self.connections = {"node-1": FakeConnection(), "node-2": FakeConnection()}

    def assignee(self, team: str) -> str:
        return self.assigned_to

    def sent_counts(self) -> list[int]:
        return [len(connection.sent) for connection in self.connections.values()]


class AnnouncerScenario:
    """An announcer on node-0 with a controllable clock; records the ends it commits."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, assigned_to: str) -> None:
        self.now = 10.0
        monkeypatch.setattr(clock, "now", lambda: self.now)
        self.cluster_view, _, cache, _ = scheduler_with_two_machines()
        self.job = started_job(cache, 3, range(3))
        self.peers = FakePeers(assigned_to)
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
    scenario = AnnouncerScenario(monkeypatch, "node-1")
    before = free_cpus(scenario.cluster_view)
    for _ in range(3):
        scenario.announcer.record_ended_attempts([ended(scenario.job, 0), ended(scenario.job, 1)])
    assert free_cpus(scenario.cluster_view) == pytest.approx(before + 0.2)
    assert scenario.peers.sent_counts() == [1, 1] and scenario.committed == []


def test_many_ends_are_sent_in_messages_that_fit_a_frame(monkeypatch) -> None:
    """Guards against ends that no peer reads, as a frame that is too long closes the connection."""
    scenario = AnnouncerScenario(monkeypatch, "node-1")
    name = 128 * "€"
    attempt = Attempt(name, name, 10**6, 10**6)
    ends = [
        EndedAttempt("job-" + 18 * "9", task, attempt, AttemptOutcome.DONE) for task in range(5_000)
    ]
    scenario.announcer.record_ended_attempts(ends)
    for connection in scenario.peers.connections.values():
        assert sum(len(message.ends) for message in connection.sent) == 5_000
        frames = [peer_messages.encode_frame(message) for message in connection.sent]
        assert all(len(frame) <= peer_messages.MAX_FRAME_BYTES for frame in frames)


def test_an_end_is_sent_again_to_the_new_assignee_after_a_reassignment(monkeypatch) -> None:
    scenario = AnnouncerScenario(monkeypatch, "node-1")
    for assignee in ("node-1", "node-2", "node-2"):
        scenario.peers.assigned_to = assignee
        scenario.announcer.record_ended_attempts([ended(scenario.job, 0)])
    assert scenario.peers.sent_counts() == [1, 2]


def test_an_end_that_its_assignee_does_not_commit_in_time_is_committed_locally(monkeypatch) -> None:
    scenario = AnnouncerScenario(monkeypatch, "node-1")
    scenario.announcer.record_ended_attempts([ended(scenario.job, 0)])
    scenario.now += 3 * MAX_WAIT_S
    scenario.announcer.record_ended_attempts([ended(scenario.job, 0)])
    assert scenario.committed == []
    scenario.now += 0.1
    scenario.announcer.record_ended_attempts([ended(scenario.job, 0)])
    assert scenario.committed == [0]


@pytest.mark.parametrize(("assigned_to", "committed"), [("node-0", [0]), ("node-1", [])])
def test_only_the_assignee_commits_an_end_that_a_peer_has_proved(
    monkeypatch, assigned_to: str, committed: list[int]
) -> None:
    scenario = AnnouncerScenario(monkeypatch, assigned_to)
    before = free_cpus(scenario.cluster_view)
    scenario.announcer.handle_peer_end(ended(scenario.job, 0))
    assert scenario.committed == committed and scenario.peers.sent_counts() == [0, 0]
    assert free_cpus(scenario.cluster_view) == pytest.approx(before + 0.1)


def test_ends_are_forgotten_at_the_maximum_age(monkeypatch) -> None:
    scenario = AnnouncerScenario(monkeypatch, "node-0")
    scenario.announcer.record_ended_attempts([ended(scenario.job, 0)])
    scenario.announcer.forget(now=57.9, max_age_s=48.0)
    assert len(scenario.announcer.proved) == 1
    scenario.announcer.forget(now=58.0, max_age_s=48.0)
    assert not scenario.announcer.proved
