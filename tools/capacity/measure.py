"""The measurements: bytes counted, and processor time in steps measured in the same run."""

import gc
import hashlib
import time
import tracemalloc
from collections.abc import Callable, Iterator
from statistics import median

import h11

from capacity import scene as scenes
from capacity.rows import Row
from sandladder.autoscaling import ScalingPolicy
from sandladder.config import TeamLimits
from sandladder.jobs import end, start
from sandladder.model import (
    AgentHeartbeat,
    ClockReading,
    Command,
    EndedAttempt,
    Machine,
    MachineInventory,
    MachineStatus,
    Member,
    Placement,
    ReportedTask,
)
from sandladder.protocol import wire
from sandladder.state import JOB, StateCache, Transaction, fold_inventory, instances_value
from sandladder.transport import Response, peer_messages
from sandladder.transport.http_server import encode_response

# The step that processor time is given in: a hash over so many bytes.
_REFERENCE_BYTES = 1 << 16
# How often a step is measured; the median counts.
_TIMES = 7


class Stopwatch:
    """Processor time in reference steps."""

    def __init__(self) -> None:
        block = bytes(_REFERENCE_BYTES)
        self.reference_s = self._seconds(lambda: hashlib.sha256(block).digest(), 200)

    @staticmethod
    def _seconds(step: Callable[[], object], repeat: int) -> float:
        found = []
        for _ in range(_TIMES):
            gc.collect()
            began = time.process_time()
            for _ in range(repeat):
                step()
            found.append((time.process_time() - began) / repeat)
        return median(found)

    def steps(self, step: Callable[[], object], repeat: int = 20) -> float:
        """How many reference steps one call takes."""
        return self._seconds(step, repeat) / self.reference_s


def entries(tasks: int) -> list[ReportedTask]:
    return [ReportedTask(f"job-{n % 40:06d}", n, 1, "running", "", False) for n in range(tasks)]


def report_body(tasks: int) -> bytes:
    """A worker's report as it is sent."""
    found: AgentHeartbeat = scenes.report(7, entries(tasks))
    items = [
        {"entry": f"{e.job}/{e.task}", "try": e.attempt, "standing": e.state} for e in found.entries
    ]
    return wire.dumps(
        {
            "rung": found.machine, "addr": found.addr, "breed": found.type,
            "district": found.zone, "loaners": found.spot, "shift": 1, "tally": 88,
            "seal": 41, "recall_s": None, "entries": items,
        }
    )  # fmt: skip


def commands(number: int) -> bytes:
    orders = [Command("start", f"job-{n % 40:06d}", n, 1) for n in range(number)]
    return wire.dumps(wire.commands_value(41, orders) | {"shift": 1})


def heartbeat(controllers: int) -> bytes:
    peers = [f"node-{n}" for n in range(controllers - 1)]
    heard = dict.fromkeys(peers, (0.123, False))
    echoes = {name: ClockReading(1 << 39, 12345.678) for name in peers}
    found = peer_messages.PeerHeartbeat(
        "node-8", True, 10, 2, 9, 9, 0.01, 144, False, heard, 1 << 39, 12345.678, echoes, [], True
    )
    return peer_messages.encode_frame(found)


def inventory(machines: int) -> MachineInventory:
    seen = {
        scenes.machine_name(n): MachineStatus(
            "worker", scenes.ZONES[n % 4], True, 1, n % 40 / 10, None, 0,
            tuple(f"img-{(n + i) % 31}" for i in range(4)),
        )
        for n in range(machines)
    }  # fmt: skip
    return MachineInventory(7, 99.5, 1234567, seen, 2, 1 << 39)


def sizes_of_messages(run: str) -> Iterator[Row]:
    """What is counted in bytes; it repeats exactly."""

    def row(quantity: str, varied: str, size: float, value: float) -> Row:
        return Row(run, quantity, varied, size, value, "bytes")

    for tasks in (0, 4, 8, 16, 32, 64):
        yield row("report", "tasks on the worker", tasks, len(report_body(tasks)))
        yield row("commands", "starts", tasks, len(commands(tasks)))
        ends = [
            peer_messages.EndedTask(f"job-{n:06d}", n, scenes.machine_name(n), "a1", 1, 1, "done")
            for n in range(tasks)
        ]
        yield row(
            "ends told",
            "ends",
            tasks,
            len(peer_messages.encode_frame(peer_messages.EndedTasks(ends))),
        )
    for size in (0, 400, 800, 1600, 3200):
        around = len(request_bytes(bytes(size))) - size
        around += len(http_exchange(request_bytes(bytes(size)), Response(200, bytes(100)))()) - 100
        yield row("HTTP around a report and its answer", "bytes of the body", size, around)
    for controllers in (3, 5, 7, 9, 12):
        yield row("beat", "controllers", controllers, len(heartbeat(controllers)))
        roster = {f"node-{n}": list(Member(n, 0, "in", 1e9, 0, "")) for n in range(controllers)}
        yield row("roster", "controllers", controllers, len(scenes.encoded(roster)))
    for machines in (50, 100, 150, 200, 300):
        whole = sum(len(scenes.encoded(v)) for v in fold_inventory(inventory(machines), 1e9))
        yield row("room summary", "workers", machines, whole)
        fleet = {
            scenes.machine_name(n): Machine("worker", "a1", True, "rented", 1e9)
            for n in range(machines)
        }
        yield row("fleet record", "workers", machines, len(scenes.encoded(instances_value(fleet))))
    for tasks in (10, 50, 100, 200, 400):
        built = scenes.build(tasks)
        ids = scenes.add_jobs(built, 1, tasks)
        scenes.start_all(built, ids, tasks)
        transaction = Transaction(built.cache)
        assert transaction.job(ids[0]) is not None
        value = transaction.changes()[0][1]
        yield row("job record", "live tasks", tasks, len(scenes.encoded(value)))


def request_bytes(body: bytes) -> bytes:
    """A worker's request as it goes over its connection."""
    client = h11.Connection(h11.CLIENT)
    headers = [
        (b"host", b"10.0.0.1:8080"),
        (b"content-type", b"application/cbor"),
        (b"content-length", str(len(body)).encode()),
    ]
    head = client.send(h11.Request(method="POST", target="/v1/report", headers=headers)) or b""
    return head + body


def http_exchange(raw: bytes, answer: Response) -> Callable[[], bytes]:
    """One request read and one answer written on a kept connection."""
    server = h11.Connection(h11.SERVER)

    def step() -> bytes:
        server.receive_data(raw)
        while type(server.next_event()) is not h11.EndOfMessage:
            pass
        written = encode_response(server, answer)
        server.start_next_cycle()
        return written

    return step


def times_of_steps(run: str) -> Iterator[Row]:
    """Processor time of the steps that the load is made of."""
    watch = Stopwatch()

    def row(quantity: str, varied: str, size: float, value: float) -> Row:
        return Row(run, quantity, varied, size, value, "steps")

    for tasks in (0, 4, 8, 16, 32):
        body = report_body(tasks)
        parsed = watch.steps(lambda body=body: wire.parse_report(wire.loads(body)), 300)
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
    """The orders and ends that follow from a report of a worker with so many tasks."""
    built = scenes.build(1)
    ids = scenes.add_jobs(built, max(1, tasks), 1)
    scenes.start_all(built, ids[:tasks], 1)
    seq = 1

    def step() -> None:
        nonlocal seq
        seq += 1
        running = [ReportedTask(name, 0, 1, "running", "", False) for name in ids[:tasks]]
        found = scenes.report(0, running, seq)
        agent = built.reconciler.heard(found, 1.0, direct=False).agent
        built.cluster_view.heard(agent)
        agent.synced = True
        built.reconciler.ends(agent, built.cache)
        built.reconciler.answer(agent, built.cache)

    return watch.steps(step, 100)


def _change(watch: Stopwatch, tasks: int) -> tuple[float, float]:
    """One end and one start of a job, written; and what each other controller spends on it."""
    built = scenes.build(tasks)
    ids = scenes.add_jobs(built, 1, 2 * tasks)
    job_id = ids[0]
    job = built.cache.jobs[job_id]
    first = [Placement(n, scenes.machine_name(n), "a1", 1) for n in range(tasks)]
    transaction = Transaction(built.cache)
    limits = TeamLimits(job.spec.team)
    start(transaction, job_id, first, limits, scenes.PLACER)
    scenes.apply(built.cache, [(key, value) for key, value, _ in transaction.changes()])
    ended = EndedAttempt(job_id, 0, built.cache.jobs[job_id].live[0], "done")
    place = [Placement(tasks, scenes.machine_name(0), "a1", 1)]

    def write() -> list[tuple[str, object]]:
        change = Transaction(built.cache)
        end(change, [ended], 1.0)
        start(change, job_id, place, limits, scenes.PLACER)
        changes = change.changes()
        wire.commit_body(change.expected_versions.items(), changes, [])
        return [(key, value) for key, value, _ in changes]

    value = dict(write())[JOB + job_id]
    other = scenes.build(1).cache
    number = 0

    def read() -> None:
        nonlocal number
        number += 1
        other.apply(1000 + number, [(JOB + job_id, value, 1000 + number)])

    return watch.steps(write, 20), watch.steps(read, 20)


def _rounds(watch: Stopwatch, machines: int) -> tuple[float, float, float]:
    """Rounds of planning with and without room, and of renting, over so many workers."""
    built = scenes.build(machines)
    ids = scenes.add_jobs(built, 24, 1)
    jobs = [built.cache.jobs[name] for name in ids]

    def plan() -> None:
        built.planner.plan(jobs, {})
        for pending_start in list(built.cluster_view.gate.pending.values()):
            built.cluster_view.gate.withdraw(pending_start)

    planned = watch.steps(plan, 3)
    full = scenes.build(machines)
    filler = scenes.add_jobs(full, machines, int(scenes.TYPE.cpus / scenes.TASK_CPUS))
    start_full(full, filler)
    waiting = [full.cache.jobs[n] for n in scenes.add_jobs(full, 24, 1, first=machines)]
    nothing = watch.steps(lambda: full.planner.plan(waiting, {}), 3)
    renter = ScalingPolicy(full.cluster_view)
    rented = watch.steps(lambda: renter.rental_requests(1.0), 3)
    return planned, nothing, rented


def start_full(full: scenes.Scene, job_ids: list[str]) -> None:
    """Each job fills one machine."""
    for number, job_id in enumerate(job_ids):
        name, zone = scenes.machine_name(number), scenes.ZONES[number % len(scenes.ZONES)]
        tasks = full.cache.jobs[job_id].spec.tasks
        places = [Placement(task, name, zone, 1) for task in range(tasks)]
        transaction = Transaction(full.cache)
        start(transaction, job_id, places, TeamLimits(scenes.team_name(0)), scenes.PLACER)
        scenes.apply(full.cache, [(key, value) for key, value, _ in transaction.changes()])
        full.cluster_view.touch(name)


def _restart(watch: Stopwatch, jobs: int) -> float:
    """A controller reads the records of so many jobs with six live tasks each."""
    built = scenes.build(1)
    ids = scenes.add_jobs(built, jobs, 6)
    scenes.start_all(built, ids, 100)
    items = []
    for job_id in ids:
        transaction = Transaction(built.cache)
        assert transaction.job(job_id) is not None
        items.append((JOB + job_id, transaction.changes()[0][1], 5))
    return watch.steps(lambda: StateCache().reset(10, items), 1)


def memory(run: str) -> Iterator[Row]:
    """Bytes of memory that state takes in a controller."""

    def row(quantity: str, varied: str, size: float, value: float) -> Row:
        return Row(run, quantity, varied, size, value, "bytes of memory")

    for jobs in (100, 300, 600, 1000, 1500):
        yield row("a job with one live task", "live jobs", jobs, _held(lambda n=jobs: _jobs(n)))
    for tasks in (100, 200, 400, 800, 1000):
        held = _held(lambda n=tasks: _one_job(n))
        yield row("a live task of a job", "live tasks", tasks, held)
    for machines in (100, 300, 600, 1000, 1300):
        yield row("a worker", "workers", machines, _held(lambda n=machines: scenes.build(n)))


def _jobs(number: int) -> scenes.Scene:
    built = scenes.build(1)
    scenes.start_all(built, scenes.add_jobs(built, number, 1), 100)
    return built


def _one_job(tasks: int) -> scenes.Scene:
    built = scenes.build(1)
    scenes.start_all(built, scenes.add_jobs(built, 1, tasks), 100)
    return built


def _held(make: Callable[[], object]) -> float:
    """Bytes that what is made keeps."""
    gc.collect()
    tracemalloc.start()
    made = make()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del made
    return float(size)


KINDS = {"bytes": sizes_of_messages, "steps": times_of_steps, "memory": memory}
__all__ = ["KINDS", "Stopwatch"]
