"""Sizes of messages and records, in bytes.

Quantities keep the names under which the rows in docs/capacity/ were recorded.
"""

from collections.abc import Callable, Iterator

import h11

from capacity import controller_state
from capacity.rows import Row
from sandladder.model import (
    ClockReading,
    Command,
    Machine,
    MachineInventory,
    MachineStatus,
    Member,
    TaskStatus,
)
from sandladder.protocol import agent_messages, dumps
from sandladder.state import Transaction, instances_value, inventory_values_v2
from sandladder.transport import LinkObservation, Response, peer_messages
from sandladder.transport.http_server import encode_response


def running_tasks(number: int) -> list[TaskStatus]:
    """Return the status of a number of running tasks."""
    return [TaskStatus(f"job-{n % 40:06d}", n, 1, "running", "", False) for n in range(number)]


def heartbeat_body(tasks: int) -> bytes:
    """Return an encoded heartbeat of a worker with a number of running tasks."""
    heartbeat = controller_state.heartbeat(7, running_tasks(tasks))
    items = [
        {"entry": f"{e.job}/{e.task}", "try": e.attempt, "standing": e.state}
        for e in heartbeat.tasks
    ]
    return dumps(
        {
            "rung": heartbeat.machine, "addr": heartbeat.addr, "breed": heartbeat.type,
            "district": heartbeat.zone, "loaners": heartbeat.spot, "shift": 1, "tally": 88,
            "seal": 41, "recall_s": None, "entries": items,
        }
    )  # fmt: skip


def command_body(number: int) -> bytes:
    """Return an encoded message with a number of commands to start tasks."""
    starts = [Command("start", f"job-{n % 40:06d}", n, 1) for n in range(number)]
    return agent_messages.direct_commands_body(1, 41, starts)


def peer_heartbeat(controllers: int) -> bytes:
    """Return an encoded heartbeat between controllers."""
    peers = [f"node-{n}" for n in range(controllers - 1)]
    links = dict.fromkeys(peers, LinkObservation(0.123, False))
    readings = {name: ClockReading(1 << 39, 12345.678) for name in peers}
    heartbeat = peer_messages.PeerHeartbeat(
        "node-8", True, 10, 2, 9, 9, 0.01, 144, False, links, 1 << 39, 12345.678, readings, [], True
    )
    return peer_messages.encode_frame(heartbeat)


def inventory(machines: int) -> MachineInventory:
    """Return a controller's inventory with a number of machines."""
    status = {
        controller_state.machine_name(n): MachineStatus(
            "worker", controller_state.ZONES[n % 4], True, 1, n % 40 / 10, None, 0,
            tuple(f"img-{(n + i) % 31}" for i in range(4)),
        )
        for n in range(machines)
    }  # fmt: skip
    return MachineInventory(7, 99.5, 1234567, status, 2, 1 << 39)


def sizes_of_messages(run: str) -> Iterator[Row]:
    """Yield the sizes of messages and records, which are the same in each run."""

    def row(quantity: str, varied: str, size: float, value: float) -> Row:
        return Row(run, quantity, varied, size, value, "bytes")

    for tasks in (0, 4, 8, 16, 32, 64):
        yield row("report", "tasks on the worker", tasks, len(heartbeat_body(tasks)))
        yield row("commands", "starts", tasks, len(command_body(tasks)))
        ends = [
            peer_messages.EndedTask(
                f"job-{n:06d}", n, controller_state.machine_name(n), "a1", 1, 1, "done"
            )
            for n in range(tasks)
        ]
        yield row(
            "ends told",
            "ends",
            tasks,
            len(peer_messages.encode_frame(peer_messages.EndedTasks(ends))),
        )
    for size in (0, 400, 800, 1600, 3200):
        overhead = len(request_bytes(bytes(size))) - size
        overhead += (
            len(http_exchange(request_bytes(bytes(size)), Response(200, bytes(100)))()) - 100
        )
        yield row("HTTP around a report and its answer", "bytes of the body", size, overhead)
    for controllers in (3, 5, 7, 9, 12):
        yield row("beat", "controllers", controllers, len(peer_heartbeat(controllers)))
        roster = {f"node-{n}": list(Member(n, 0, "in", 1e9, 0, "")) for n in range(controllers)}
        yield row("roster", "controllers", controllers, len(controller_state.encoded(roster)))
    for machines in (50, 100, 150, 200, 300):
        total = sum(
            len(controller_state.encoded(v)) for v in inventory_values_v2(inventory(machines), 1e9)
        )
        yield row("room summary", "workers", machines, total)
        instances = {
            controller_state.machine_name(n): Machine("worker", "a1", True, "rented", 1e9)
            for n in range(machines)
        }
        yield row(
            "fleet record",
            "workers",
            machines,
            len(controller_state.encoded(instances_value(instances))),
        )
    for tasks in (10, 50, 100, 200, 400):
        state = controller_state.build(tasks)
        ids = controller_state.add_jobs(state, 1, tasks)
        controller_state.start_all(state, ids, tasks)
        transaction = Transaction(state.cache)
        assert transaction.job(ids[0]) is not None
        value = transaction.changes()[0][1]
        yield row("job record", "live tasks", tasks, len(controller_state.encoded(value)))


def request_bytes(body: bytes) -> bytes:
    """Return a worker's HTTP request as sent on its connection."""
    client = h11.Connection(h11.CLIENT)
    headers = [
        (b"host", b"10.0.0.1:8080"),
        (b"content-type", b"application/cbor"),
        (b"content-length", str(len(body)).encode()),
    ]
    head = client.send(h11.Request(method="POST", target="/v1/report", headers=headers)) or b""
    return head + body


def http_exchange(request: bytes, response: Response) -> Callable[[], bytes]:
    """Return a step that reads a request and writes a response on a persistent connection."""
    server = h11.Connection(h11.SERVER)

    def step() -> bytes:
        server.receive_data(request)
        while type(server.next_event()) is not h11.EndOfMessage:
            pass
        written = encode_response(server, response)
        server.start_next_cycle()
        return written

    return step
