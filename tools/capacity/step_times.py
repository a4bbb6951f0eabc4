"""Processor time of the steps of a controller, in reference steps.

Quantities keep the names under which the rows in docs/capacity/ were recorded.
"""

from collections.abc import Iterator
from functools import partial

from capacity import controller_state
from capacity.controller_state import ControllerState
from capacity.message_sizes import heartbeat_body, http_exchange, request_bytes
from capacity.rows import Row
from capacity.stopwatch import Stopwatch
from sandladder.autoscaling import ScalingPolicy
from sandladder.config import TeamLimits
from sandladder.jobs import end, start
from sandladder.model import EndedAttempt, Placement, TaskStatus
from sandladder.protocol import agent_messages, loads, store_messages
from sandladder.state import JOB_PREFIX, StateCache, Transaction
from sandladder.transport import Response


def _parse(body: bytes) -> object:
    return agent_messages.parse_heartbeat(loads(body))


def times_of_steps(run: str) -> Iterator[Row]:
    """Processor time of the steps that the load is made of, in reference steps."""
    watch = Stopwatch()

    def row(quantity: str, varied: str, size: float, value: float) -> Row:
        return Row(run, quantity, varied, size, value, "steps")

    for tasks in (0, 4, 8, 16, 32):
        body = heartbeat_body(tasks)
        parsed = watch.steps(partial(_parse, body), 300)
        yield row("report parsed", "tasks on the worker", tasks, parsed)
        yield row("report answered", "tasks on the worker", tasks, _answered(watch, tasks))
    for size in (0, 400, 800, 1600, 3200):
        exchange = http_exchange(request_bytes(bytes(size)), Response(200, bytes(100)))
        yield row(
            "request read and answered", "bytes of the body", size, watch.steps(exchange, 300)
        )
    for tasks in (10, 50, 100, 200, 400):
        evaluated, read = _change(watch, tasks)
        yield row("change evaluated and written", "live tasks", tasks, evaluated)
        yield row("change read by another", "live tasks", tasks, read)
    for machines in (100, 300, 600, 1000, 1300):
        planned, nothing, rented = _rounds(watch, machines)
        yield row("round of planning that starts 24 tasks", "workers", machines, planned)
        yield row("round of planning without room", "workers", machines, nothing)
        yield row("round of renting", "workers", machines, rented)
    for jobs in (100, 300, 600, 1000, 1500):
        yield row("records read at a start", "live jobs", jobs, _restart(watch, jobs))
    seconds = watch.reference_s
    for size in range(1, 6):
        yield Row(run, "reference step", "nothing", size, seconds * 1e6, "microseconds")


def _answered(watch: Stopwatch, tasks: int) -> float:
    """The commands and ends that follow from a heartbeat of a worker with so many tasks."""
    built = controller_state.build(1)
    ids = controller_state.add_jobs(built, max(1, tasks), 1)
    controller_state.start_all(built, ids[:tasks], 1)
    seq = 1

    def step() -> None:
        nonlocal seq
        seq += 1
        running = [TaskStatus(name, 0, 1, "running", "", False) for name in ids[:tasks]]
        heartbeat = controller_state.heartbeat(0, running, seq)
        agent = built.reconciler.receive_heartbeat(heartbeat, 1.0, direct=False).agent
        built.cluster_view.record_heartbeat(agent)
        agent.synced = True
        built.reconciler.proved_ends(agent, built.cache)
        built.reconciler.response_commands(agent, built.cache)

    return watch.steps(step, 100)


def _change(watch: Stopwatch, tasks: int) -> tuple[float, float]:
    """One end and one start of a job, written; and what each other controller spends on it."""
    built = controller_state.build(tasks)
    ids = controller_state.add_jobs(built, 1, 2 * tasks)
    job_id = ids[0]
    job = built.cache.jobs[job_id]
    first = [Placement(n, controller_state.machine_name(n), "a1", 1) for n in range(tasks)]
    transaction = Transaction(built.cache)
    limits = TeamLimits(job.spec.team)
    start(transaction, job_id, first, limits, controller_state.ASSIGNMENT)
    controller_state.apply(built.cache, [(key, value) for key, value, _ in transaction.changes()])
    ended = EndedAttempt(job_id, 0, built.cache.jobs[job_id].live[0], "done")
    placement = [Placement(tasks, controller_state.machine_name(0), "a1", 1)]

    def write() -> list[tuple[str, object]]:
        change = Transaction(built.cache)
        end(change, [ended], 1.0)
        start(change, job_id, placement, limits, controller_state.ASSIGNMENT)
        changes = change.changes()
        store_messages.commit_body(change.expected_versions.items(), changes, [])
        return [(key, value) for key, value, _ in changes]

    value = dict(write())[JOB_PREFIX + job_id]
    other = controller_state.build(1).cache
    number = 0

    def read() -> None:
        nonlocal number
        number += 1
        other.apply(1000 + number, [(JOB_PREFIX + job_id, value, 1000 + number)])

    return watch.steps(write, 20), watch.steps(read, 20)


def _rounds(watch: Stopwatch, machines: int) -> tuple[float, float, float]:
    """Rounds of planning with and without room, and of renting, over so many workers."""
    built = controller_state.build(machines)
    ids = controller_state.add_jobs(built, 24, 1)
    jobs = [built.cache.jobs[name] for name in ids]

    def plan() -> None:
        built.planner.plan(jobs, {})
        for pending_start in list(built.cluster_view.gate.pending.values()):
            built.cluster_view.gate.withdraw(pending_start)

    planned = watch.steps(plan, 3)
    full = controller_state.build(machines)
    filler = controller_state.add_jobs(
        full, machines, int(controller_state.TYPE.cpus / controller_state.TASK_CPUS)
    )
    _start_full(full, filler)
    waiting = [full.cache.jobs[n] for n in controller_state.add_jobs(full, 24, 1, first=machines)]
    nothing = watch.steps(lambda: full.planner.plan(waiting, {}), 3)
    policy = ScalingPolicy(full.cluster_view)
    rented = watch.steps(lambda: policy.scale_out_requests(1.0), 3)
    return planned, nothing, rented


def _start_full(full: ControllerState, job_ids: list[str]) -> None:
    """Each job fills one machine."""
    for number, job_id in enumerate(job_ids):
        name, zone = (
            controller_state.machine_name(number),
            controller_state.ZONES[number % len(controller_state.ZONES)],
        )
        tasks = full.cache.jobs[job_id].spec.tasks
        placements = [Placement(task, name, zone, 1) for task in range(tasks)]
        transaction = Transaction(full.cache)
        start(
            transaction,
            job_id,
            placements,
            TeamLimits(controller_state.team_name(0)),
            controller_state.ASSIGNMENT,
        )
        controller_state.apply(
            full.cache, [(key, value) for key, value, _ in transaction.changes()]
        )
        full.cluster_view.machine_changed(name)


def _restart(watch: Stopwatch, jobs: int) -> float:
    """A controller reads the records of so many jobs with six live tasks each."""
    built = controller_state.build(1)
    ids = controller_state.add_jobs(built, jobs, 6)
    controller_state.start_all(built, ids, 100)
    items = []
    for job_id in ids:
        transaction = Transaction(built.cache)
        assert transaction.job(job_id) is not None
        items.append((JOB_PREFIX + job_id, transaction.changes()[0][1], 5))
    return watch.steps(lambda: StateCache().reset(10, items), 1)
