"""Processor time of a controller's operations, in reference steps.

Quantities keep the names under which the rows in docs/capacity/ were recorded.
"""

from collections.abc import Iterator
from functools import partial

from capacity import controller_state
from capacity.controller_state import ControllerState
from capacity.message_sizes import heartbeat_body, http_exchange, request_bytes
from capacity.rows import Row
from capacity.stopwatch import Stopwatch
from sandladder.agents import reported_ends
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
    """Yield the processor time of each kind of operation."""
    stopwatch = Stopwatch()

    def row(quantity: str, varied: str, size: float, value: float) -> Row:
        return Row(run, quantity, varied, size, value, "steps")

    for tasks in (0, 4, 8, 16, 32):
        body = heartbeat_body(tasks)
        parsed = stopwatch.steps(partial(_parse, body), 300)
        yield row("report parsed", "tasks on the worker", tasks, parsed)
        yield row(
            "report answered",
            "tasks on the worker",
            tasks,
            _heartbeat_response_time(stopwatch, tasks),
        )
    for size in (0, 400, 800, 1600, 3200):
        exchange = http_exchange(request_bytes(bytes(size)), Response(200, bytes(100)))
        yield row(
            "request read and answered", "bytes of the body", size, stopwatch.steps(exchange, 300)
        )
    for tasks in (10, 50, 100, 200, 400):
        evaluated, read = _change_times(stopwatch, tasks)
        yield row("change evaluated and written", "live tasks", tasks, evaluated)
        yield row("change read by another", "live tasks", tasks, read)
    for machines in (100, 300, 600, 1000, 1300):
        planned, without_capacity, scaled = _planning_times(stopwatch, machines)
        yield row("round of planning that starts 24 tasks", "workers", machines, planned)
        yield row("round of planning without room", "workers", machines, without_capacity)
        yield row("round of renting", "workers", machines, scaled)
    for jobs in (100, 300, 600, 1000, 1500):
        yield row("records read at a start", "live jobs", jobs, _record_load_time(stopwatch, jobs))
    reference_s = stopwatch.reference_s
    for size in range(1, 6):
        yield Row(run, "reference step", "nothing", size, reference_s * 1e6, "microseconds")


def _heartbeat_response_time(stopwatch: Stopwatch, tasks: int) -> float:
    """Measure the processing of a heartbeat into commands and proved ends of tasks."""
    state = controller_state.build(1)
    ids = controller_state.add_jobs(state, max(1, tasks), 1)
    controller_state.start_all(state, ids[:tasks], 1)
    seq = 1

    def step() -> None:
        nonlocal seq
        seq += 1
        running = [TaskStatus(name, 0, 1, "running", "", False) for name in ids[:tasks]]
        heartbeat = controller_state.heartbeat(0, running, seq)
        agent = state.reconciler.receive_heartbeat(heartbeat, 1.0, direct=False).agent
        state.cluster_view.record_heartbeat(agent)
        agent.synced = True
        reported_ends(agent, state.cache)
        state.reconciler.response_batch(agent, state.cache)

    return stopwatch.steps(step, 100)


def _change_times(stopwatch: Stopwatch, tasks: int) -> tuple[float, float]:
    """Measure the write of an end and a start of a job, and its read by another controller."""
    state = controller_state.build(tasks)
    ids = controller_state.add_jobs(state, 1, 2 * tasks)
    job_id = ids[0]
    job = state.cache.jobs[job_id]
    placements = [Placement(n, controller_state.machine_name(n), "a1", 1) for n in range(tasks)]
    transaction = Transaction(state.cache)
    limits = TeamLimits(job.spec.team)
    start(transaction, job_id, placements, limits, controller_state.ASSIGNMENT)
    controller_state.apply(state.cache, [(key, value) for key, value, _ in transaction.changes()])
    ended = EndedAttempt(job_id, 0, state.cache.jobs[job_id].live[0], "done")
    placement = [Placement(tasks, controller_state.machine_name(0), "a1", 1)]

    def write() -> list[tuple[str, object]]:
        change = Transaction(state.cache)
        end(change, [ended], 1.0)
        start(change, job_id, placement, limits, controller_state.ASSIGNMENT)
        changes = change.changes()
        store_messages.commit_body(change.expected_versions.items(), changes, [])
        return [(key, value) for key, value, _ in changes]

    value = dict(write())[JOB_PREFIX + job_id]
    other_cache = controller_state.build(1).cache
    number = 0

    def read() -> None:
        nonlocal number
        number += 1
        other_cache.apply(1000 + number, [(JOB_PREFIX + job_id, value, 1000 + number)])

    return stopwatch.steps(write, 20), stopwatch.steps(read, 20)


def _planning_times(stopwatch: Stopwatch, machines: int) -> tuple[float, float, float]:
    """Measure a planning round with and without free capacity, and a scale-out decision."""
    state = controller_state.build(machines)
    ids = controller_state.add_jobs(state, 24, 1)
    jobs = [state.cache.jobs[name] for name in ids]

    def plan() -> None:
        state.planner.plan(jobs, {})
        for pending_start in list(state.cluster_view.gate.pending.values()):
            state.cluster_view.gate.withdraw(pending_start)

    planned = stopwatch.steps(plan, 3)
    full = controller_state.build(machines)
    filler_ids = controller_state.add_jobs(
        full, machines, int(controller_state.TYPE.cpus / controller_state.TASK_CPUS)
    )
    _fill_machines(full, filler_ids)
    pending = [full.cache.jobs[n] for n in controller_state.add_jobs(full, 24, 1, first=machines)]
    without_capacity = stopwatch.steps(lambda: full.planner.plan(pending, {}), 3)
    policy = ScalingPolicy(full.cluster_view)
    scaled = stopwatch.steps(lambda: policy.scale_out_requests(1.0), 3)
    return planned, without_capacity, scaled


def _fill_machines(state: ControllerState, job_ids: list[str]) -> None:
    """Start all tasks of each job on a machine of its own, which they fill."""
    for number, job_id in enumerate(job_ids):
        name, zone = (
            controller_state.machine_name(number),
            controller_state.ZONES[number % len(controller_state.ZONES)],
        )
        tasks = state.cache.jobs[job_id].spec.tasks
        placements = [Placement(task, name, zone, 1) for task in range(tasks)]
        transaction = Transaction(state.cache)
        start(
            transaction,
            job_id,
            placements,
            TeamLimits(controller_state.team_name(0)),
            controller_state.ASSIGNMENT,
        )
        controller_state.apply(
            state.cache, [(key, value) for key, value, _ in transaction.changes()]
        )
        state.cluster_view.machine_changed(name)


def _record_load_time(stopwatch: Stopwatch, jobs: int) -> float:
    """Measure the load of the records of jobs with six live tasks each into a cache."""
    state = controller_state.build(1)
    ids = controller_state.add_jobs(state, jobs, 6)
    controller_state.start_all(state, ids, 100)
    items = []
    for job_id in ids:
        transaction = Transaction(state.cache)
        assert transaction.job(job_id) is not None
        items.append((JOB_PREFIX + job_id, transaction.changes()[0][1], 5))
    return stopwatch.steps(lambda: StateCache().reset(10, items), 1)
