"""Dependencies between jobs: index, start premises, submission, and simulations under faults."""

from random import Random

import anyio
import cbor2
import pytest

from helpers import LIMITS, accept, commit, scheduler_with_two_machines, spec
from sandladder.jobs import SubmittedDependencies, archive_job, cancel, end, start, submit
from sandladder.model import (
    SCHEMA_V2,
    AttemptOutcome,
    DependencyOutcome,
    EndedAttempt,
    FinishedJob,
    Job,
    Placement,
    SchedulingPriority,
    TeamAssignment,
)
from sandladder.protocol import MalformedMessageError, job_messages
from sandladder.scheduling import Outcome, PremiseKind
from sandladder.state import PreconditionFailedError, StateCache, Transaction, job_value, read_job
from simulation import SimulatedCluster, job, now, run
from simulation.faults import (
    Fault,
    all_faults,
    controller_crashes,
    machine_failures,
    network_cuts,
    store_outage,
)
from simulation.workloads import pipeline, submit_in_order, wait_until_healthy

OWN_ASSIGNMENT = TeamAssignment("node-0", 1)


def use_schema_v2(cache: StateCache) -> None:
    """Switch to schema version 2, with both teams assigned to this controller."""
    cache.schema_version = SCHEMA_V2
    cache.apply(1, [(f"s/t/{team}", {"p": "node-0", "n": 1}, 1) for team in ("red", "blue")])


def submit_job(cache: StateCache, number: int, *dependencies: str, **fields: object) -> Job:
    transaction = Transaction(cache)
    submit(transaction, spec(number, **fields), 10.0, SubmittedDependencies(dependencies))
    commit(cache, transaction)
    return cache.jobs[f"job-{number:06d}"]


def start_waiting_tasks(cache: StateCache, job: Job) -> None:
    """Start all waiting tasks of a job."""
    transaction = Transaction(cache)
    placements = [Placement(task, "vm-1", "north", 1) for task in job.pending()]
    start(transaction, job.id, placements, LIMITS, OWN_ASSIGNMENT)
    commit(cache, transaction)


def end_live_tasks(cache: StateCache, job_id: str, at: float) -> None:
    """End all live tasks of a job as done, at this time of day."""
    live = cache.jobs[job_id].live
    transaction = Transaction(cache)
    ended = [EndedAttempt(job_id, task, a, AttemptOutcome.DONE) for task, a in live.items()]
    assert end(transaction, ended, at)
    commit(cache, transaction)


def complete(cache: StateCache, job: Job, at: float) -> None:
    """Start and end all tasks of a job, at this time of day."""
    start_waiting_tasks(cache, job)
    end_live_tasks(cache, job.id, at)


def test_a_job_starts_only_after_all_its_dependencies_are_committed_as_done() -> None:
    cache = StateCache()
    use_schema_v2(cache)
    one, two = submit_job(cache, 1), submit_job(cache, 2)
    dependent = submit_job(cache, 3, one.id, two.id)
    dependency_index = cache.dependency_index
    placements = [Placement(0, "vm-1", "north", 1)]
    for awaited, at in ((one, 20.0), (two, 35.0)):
        assert dependency_index.outcome(cache.jobs[dependent.id]) is DependencyOutcome.WAITING
        with pytest.raises(PreconditionFailedError):
            start(Transaction(cache), dependent.id, placements, LIMITS, OWN_ASSIGNMENT)
        complete(cache, awaited, at)
    assert dependency_index.outcome(cache.jobs[dependent.id]) is DependencyOutcome.READY
    transaction = Transaction(cache)
    assert archive_job(transaction, one.id) and transaction.size == 2
    commit(cache, transaction)
    assert cache.finished_jobs[one.id].archived and set(cache.unarchived) == {two.id}
    assert dependency_index.ready_since(cache.jobs[dependent.id]) == 35.0
    transaction = Transaction(cache)
    start(transaction, dependent.id, placements, LIMITS, OWN_ASSIGNMENT)
    # The commit is conditional on the records of both outcomes, archived or not.
    assert {f"s/f/{one.id}", f"s/j/{two.id}"} <= transaction.expected_versions.keys()
    commit(cache, transaction)
    started = read_job(cbor2.loads(cbor2.dumps(job_value(cache.jobs[dependent.id]))))
    assert (
        started.dependencies == () and started.ready == 35.0 and not dependency_index.unresolved()
    )


def test_a_dependency_of_unknown_outcome_blocks_its_dependents() -> None:
    """After a restart, a finished dependency is not cached and must be read from the store."""
    cluster_view, planner, cache, _ = scheduler_with_two_machines()
    use_schema_v2(cache)
    dependent = submit_job(cache, 3, "job-000001", entries=1)
    assert cache.dependency_index.outcome(dependent) is DependencyOutcome.UNKNOWN
    assert cache.dependency_index.unresolved() == ["job-000001"]
    assert planner.plan([dependent], {}) == []
    cache.add_finished_job("job-000001", FinishedJob("done", 2, 21.0, 4))
    pending_start = planner.plan([cache.jobs[dependent.id]], {})[0]
    gate = cluster_view.gate
    assert gate.revalidate([("job", "job-000001")], cluster_view)[0].outcome is Outcome.KEEP
    cache.dependency_index._finished.clear()
    verdict = gate.revalidate([("job", "job-000001")], cluster_view)[0]
    assert (
        verdict.outcome is Outcome.BLOCK and verdict.failed_premise is PremiseKind.DEPENDENCY_DONE
    )
    assert pending_start.key not in gate.pending


def test_an_outcome_that_was_archived_before_a_full_read_is_read_again() -> None:
    """Guards against a start that conflicts forever, as it is bound to the record before that."""
    cache = StateCache()
    use_schema_v2(cache)
    one = submit_job(cache, 1)
    dependent = submit_job(cache, 2, one.id, entries=1)
    complete(cache, one, 20.0)
    assert cache.finished_job(one.id) == FinishedJob("done", 2, 20.0, cache.revision, False)
    # The log no longer has the archiving, and a full read does not include the archive.
    record = job_value(cache.jobs[dependent.id])
    cache.reset(50, [(f"s/j/{dependent.id}", record, 45)])
    assert cache.finished_job(one.id) is None
    assert cache.dependency_index.unresolved() == [one.id]
    cache.add_finished_job(one.id, FinishedJob("done", 2, 20.0, 48))
    assert cache.dependency_index.finished_job(one.id) == FinishedJob("done", 2, 20.0, 48)
    cache.apply(51, [(f"s/j/{one.id}", None, 51)])
    assert cache.dependency_index.finished_job(one.id) is not None


class RandomHistory:
    """Random submissions, cancellations and completions, with a reference model of the outcomes."""

    def __init__(self, seed: int) -> None:
        self.rng = Random(seed)
        self.cache = StateCache()
        use_schema_v2(self.cache)
        self.dependencies: dict[str, list[str]] = {}  # by job ID, as submitted

    def final_state(self, job_id: str) -> str | None:
        """Return the final state of a job regardless of its dependencies, or None if still open."""
        job = self.cache.jobs.get(job_id)
        if job is None:
            return self.cache.finished_jobs[job_id].state
        return "cancelled" if job.cancelled else None

    def must_be_cancelled(self, job_id: str) -> bool:
        """Return whether any direct or indirect dependency of a job is cancelled."""
        return any(
            self.final_state(name) == "cancelled" or self.must_be_cancelled(name)
            for name in self.dependencies[job_id]
        )

    def step(self, now: float) -> None:
        """Submit, cancel, start or complete one job."""
        live = list(self.cache.jobs.values())
        if self.rng.random() < 0.45 or not live:
            self._submit(now)
            return
        job, action = self.rng.choice(live), self.rng.random()
        may_start = not job.live and self.cache.dependency_index.ready(job)
        if action < 0.2 and not job.cancelled:
            self._cancel(job, now)
        elif job.live:
            # Also ends the tasks of cancelled jobs.
            end_live_tasks(self.cache, job.id, now)
        elif may_start and action < 0.5:
            start_waiting_tasks(self.cache, job)
        elif may_start:
            complete(self.cache, job, now)

    def _cancel(self, job: Job, now: float) -> None:
        transaction = Transaction(self.cache)
        cancel(transaction, job.id, now)
        commit(self.cache, transaction)

    def _submit(self, now: float) -> None:
        number = len(self.dependencies)
        job_ids = list(self.dependencies)
        names = self.rng.sample(job_ids, min(number, self.rng.choice([0, 1, 1, 2, 3])))
        job_id = f"job-{number:06d}"
        self.dependencies[job_id] = names
        dependencies = SubmittedDependencies(
            tuple(name for name in names if name in self.cache.jobs),
            self.must_be_cancelled(job_id),
        )
        transaction = Transaction(self.cache)
        submit(transaction, spec(number, entries=1), now, dependencies)
        commit(self.cache, transaction)

    def reloaded_cache(self) -> StateCache:
        """Return a new cache with the live jobs and the finished jobs that these depend on."""
        reloaded = StateCache()
        items = [(f"s/j/{job.id}", job_value(job), 1) for job in self.cache.jobs.values()]
        self.rng.shuffle(items)
        reloaded.reset(2, items)
        for name in reloaded.dependency_index.unresolved():
            reloaded.add_finished_job(name, self.cache.finished_jobs[name])
        return reloaded


def test_the_index_matches_the_reference_model_on_random_histories() -> None:
    """A job is cancelled if any direct or indirect dependency is, and ready if all are done."""
    cancelled_while_running = 0
    for seed in range(60):
        history = RandomHistory(seed)
        cache = history.cache
        for step in range(40):
            history.step(float(step))
            cancelled_while_running += any(job.cancelled for job in cache.jobs.values())
            for job_id, dependent in cache.jobs.items():
                outcome = cache.dependency_index.outcome(dependent)
                cancelled = history.must_be_cancelled(job_id)
                assert (outcome is DependencyOutcome.CANCELLED) == cancelled, (seed, job_id)
                if outcome is DependencyOutcome.READY:
                    names = history.dependencies[job_id]
                    assert all(history.final_state(name) == "done" for name in names)
            reloaded = history.reloaded_cache()
            assert not reloaded.dependency_index.unresolved()
            for job_id, dependent in reloaded.jobs.items():
                expected = cache.dependency_index.outcome(cache.jobs[job_id])
                assert reloaded.dependency_index.outcome(dependent) is expected, (seed, job_id)
    assert cancelled_while_running > 100


def test_a_job_inherits_priority_and_due_time_from_its_live_dependents() -> None:
    cache = StateCache()
    use_schema_v2(cache)
    first = submit_job(cache, 1, rank="idle")
    middle = submit_job(cache, 2, first.id, rank="normal")
    scheduling_priority = cache.dependency_index.scheduling_priority
    assert scheduling_priority(first, lambda s: 5.0) == SchedulingPriority(1, float("inf"))
    last = submit_job(cache, 3, middle.id, rank="urgent", due_s=60.0)
    assert scheduling_priority(first, lambda s: 5.0) == SchedulingPriority(2, 60.0)
    assert scheduling_priority(middle, lambda s: 5.0) == SchedulingPriority(2, 65.0)
    transaction = Transaction(cache)
    cancel(transaction, last.id, 12.0)
    commit(cache, transaction)
    assert scheduling_priority(first, lambda s: 5.0) == SchedulingPriority(1, float("inf"))


def test_a_dependency_cycle_in_the_records_causes_no_infinite_recursion() -> None:
    """Submissions cannot create a cycle, but a corrupt record can."""
    cache = StateCache()
    use_schema_v2(cache)
    for one, other in ((1, 2), (2, 1)):
        value = job_value(Job(spec(one), 0.0, (f"job-{other:06d}",)))
        cache.apply(cache.revision + 1, [(f"s/j/job-{one:06d}", value, cache.revision + 1)])
    job_in_cycle = cache.jobs["job-000001"]
    assert cache.dependency_index.outcome(job_in_cycle) is DependencyOutcome.WAITING
    assert cache.dependency_index.scheduling_priority(job_in_cycle, lambda s: 1.0).priority == 1
    assert cache.dependency_index.unresolved_dependencies(job_in_cycle) == []


def test_jobs_with_unfinished_dependencies_cause_no_scale_out() -> None:
    from sandladder.autoscaling import ScalingPolicy

    cluster_view, planner, cache, _ = scheduler_with_two_machines()
    use_schema_v2(cache)
    first = accept(cache, number=1, entries=1)
    submit_job(cache, 2, first.id, entries=40, rank="urgent")
    policy = ScalingPolicy(cluster_view)
    assert policy.scale_out_requests(1e6) == []
    assert {i.spec.id for i in planner.plan(list(cache.jobs.values()), {})} == {first.id}


def test_malformed_dependencies_are_rejected() -> None:
    assert job_messages.parse_submission(
        cbor2.dumps(job(9, awaits=["job-000001"] * 2))
    ).dependencies == ("job-000001",)
    assert job_messages.parse_submission(cbor2.dumps(job(9, awaits=[]))).dependencies == ()
    for bad in ("job-000001", {"a": 1}, [7], ["nonsense"], [f"job-{n:06d}" for n in range(200)]):
        with pytest.raises(MalformedMessageError):
            job_messages.parse_submission(cbor2.dumps(job(9, awaits=bad)))


def test_submissions_with_dependencies_get_the_documented_responses() -> None:
    cluster = SimulatedCluster(71)

    async def main() -> None:
        await wait_until_healthy(cluster)
        service = job(900, form="service", entries=1, rank="prod", docket="web", loaners=False)
        await cluster.submit(service)
        await cluster.submit(job(1, entries=1))
        for awaits, status, text in (
            (["job-777777"], 422, b"job-777777 was never accepted"),
            (["job-000002"], 422, b"wait for itself"),
            ([service["id"]], 422, b"service"),
            (["job-000001", 5], 400, b"awaits"),
            ("job-000001", 400, b"awaits"),
        ):
            answer = await cluster.ask("POST", "/work", job(2, awaits=awaits))
            assert answer.status == status and text in answer.body, answer
        assert await cluster.submit(job(2, awaits=["job-000001"], bureau="blue")) == 201
        # A repeated submission returns the accepted job's state, even with other dependencies.
        answer = await cluster.ask("POST", "/work", job(2, awaits=["job-777777"]))
        assert answer.status == 200
        assert not await cluster.until_done(["job-000002"], 60.0)
        # Finished jobs are valid dependencies.
        assert await cluster.submit(job(3, awaits=["job-000001", "job-000002"])) == 201
        assert not await cluster.until_done(["job-000003"], 60.0)
        await cluster.submit(job(4, expect_s=300.0))
        assert await cluster.cancel("job-000004") == "cancelled"
        for number, awaits in ((5, ["job-000004", "job-000001"]), (6, ["job-000005"])):
            assert await cluster.submit(job(number, awaits=awaits)) == 201
        body = await cluster.poll("job-000006")
        assert body is not None and body["standing"] == "cancelled"
        # Cancelling a job that is already done does not affect its dependents.
        assert await cluster.cancel("job-000001") == "done"
        assert not await cluster.until_done(["job-000003"], 5.0)

    run(cluster, main)
    assert cluster.violations == []


async def pipelines_under_fault(cluster: SimulatedCluster, fault: Fault) -> None:
    """Submit pipelines during a fault, cancel some jobs, and check that all others complete."""
    await wait_until_healthy(cluster)
    cluster.store.reads_late = True
    pipelines = [pipeline(cluster, 100 * n) for n in range(1, 6)]
    cancelled = [jobs[cluster.rng.randrange(len(jobs) - 1)]["id"] for jobs in pipelines[:2]]

    async def submit_pipeline(jobs: list[dict[str, object]], delay_s: float) -> None:
        await anyio.sleep(delay_s)
        last_job_late = cluster.rng.random() < 0.3
        await submit_in_order(cluster, jobs[:-1] if last_job_late else jobs)
        for name in cancelled:
            if any(spec["id"] == name for spec in jobs):
                await anyio.sleep(cluster.rng.uniform(0.0, 12.0))
                await cluster.cancel(name)
        if last_job_late:
            await cluster.until_done([str(spec["id"]) for spec in jobs[:-1]], 400.0)
            await submit_in_order(cluster, jobs[-1:])

    async with anyio.create_task_group() as tasks:
        for number, jobs in enumerate(pipelines):
            tasks.start_soon(submit_pipeline, jobs, 5.0 * number)
        tasks.start_soon(fault, cluster)
    cluster.network.heal()
    ids = [str(spec["id"]) for jobs in pipelines for spec in jobs]
    unfinished = await cluster.until_done(ids, 300.0)
    assert not unfinished, [(i, await cluster.poll(i)) for i in unfinished]
    for name in ids:
        if cluster.dependencies(name) & {
            n for n in cancelled if cluster.answers.final_states.get(n) == "cancelled"
        }:
            assert cluster.answers.final_states[name] == "cancelled"
        elif name not in cancelled:
            assert cluster.answers.final_states[name] == "done", name


@pytest.mark.parametrize(
    ("seed", "fault"),
    [
        (807, controller_crashes),
        (806, store_outage),
        (804, network_cuts),
        (808, machine_failures),
        (810, all_faults),
    ],
)
def test_dependency_invariants_hold_under_faults(seed: int, fault: Fault) -> None:
    play_pipelines(seed, fault)


def play_pipelines(seed: int, fault: Fault) -> None:
    """Run pipelines under a fault and check every invariant of the simulation."""
    cluster = SimulatedCluster(seed)
    run(cluster, lambda: pipelines_under_fault(cluster, fault))
    assert cluster.violations == []
    assert cluster.store.too_large == 0


def test_dependents_are_cancelled_after_all_controllers_crash() -> None:
    """Every controller crashes after acknowledging a cancellation and before the next write."""
    cluster = SimulatedCluster(81)

    async def main() -> None:
        await wait_until_healthy(cluster)
        jobs = pipeline(cluster, 100)
        jobs[0]["expect_s"] = 500.0
        await submit_in_order(cluster, jobs)
        await anyio.sleep(5.0)
        assert await cluster.cancel(jobs[0]["id"]) == "cancelled"
        for index in range(3):
            cluster.crash(index)
        crashed_at = now()
        await anyio.sleep(3.0)
        for index in range(3):
            cluster.boot(index)
        await wait_until_healthy(cluster)
        for submitted in jobs:
            body = await cluster.poll(submitted["id"])
            assert body is None or body["standing"] == "cancelled"
        while any(node.cache.jobs for node in cluster.nodes.values()):
            await anyio.sleep(0.5)
            assert now() - crashed_at < 30.0

    run(cluster, main)
    assert cluster.violations == []


def test_a_dependent_starts_within_two_seconds_of_its_dependencys_end() -> None:
    cluster = SimulatedCluster(82)

    async def main() -> None:
        await wait_until_healthy(cluster)
        for number, team in ((1, "red"), (2, "blue")):
            await cluster.submit(job(number, entries=4, bureau=team))
        await anyio.sleep(20.0)
        await cluster.submit(job(3, entries=2, bureau="red", expect_s=4.0))
        await cluster.submit(job(4, entries=2, bureau="blue", awaits=["job-000003"]))
        while not cluster.is_done("job-000003"):
            await anyio.sleep(0.05)
        ended_at = now()
        while not any(name.startswith("job-000004") for name in cluster.starts):
            await anyio.sleep(0.05)
        # Covers a heartbeat, two commits, a change notice, a command and a 0.5 s image fetch.
        assert now() - ended_at < 2.0

    run(cluster, main)
    assert cluster.violations == []
