"""Sizes of messages and records, counted in bytes.

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


def reported_tasks(tasks: int) -> list[TaskStatus]:
    """The status of so many running tasks."""
    return [TaskStatus(f"job-{n % 40:06d}", n, 1, "running", "", False) for n in range(tasks)]


def heartbeat_body(tasks: int) -> bytes:
    """A worker's heartbeat as it is sent."""
    found = controller_state.heartbeat(7, reported_tasks(tasks))
    items = [
        {"entry": f"{e.job}/{e.task}", "try": e.attempt, "standing": e.state} for e in found.tasks
    ]
    return dumps(
        {
            "rung": found.machine, "addr": found.addr, "breed": found.type,
            "district": found.zone, "loaners": found.spot, "shift": 1, "tally": 88,
            "seal": 41, "recall_s": None, "entries": items,
        }
    )  # fmt: skip


def command_body(number: int) -> bytes:
    """So many commands to start tasks as they are sent."""
    starts = [Command("start", f"job-{n % 40:06d}", n, 1) for n in range(number)]
    return agent_messages.direct_commands_body(1, 41, starts)


def peer_heartbeat(controllers: int) -> bytes:
    """A heartbeat between controllers as it is sent."""
    peers = [f"node-{n}" for n in range(controllers - 1)]
    heard = dict.fromkeys(peers, LinkObservation(0.123, False))
    echoes = {name: ClockReading(1 << 39, 12345.678) for name in peers}
    found = peer_messages.PeerHeartbeat(
        "node-8", True, 10, 2, 9, 9, 0.01, 144, False, heard, 1 << 39, 12345.678, echoes, [], True
    )
    return peer_messages.encode_frame(found)


def inventory(machines: int) -> MachineInventory:
    """A controller's inventory of so many machines."""
    status = {
        controller_state.machine_name(n): MachineStatus(
            "worker", controller_state.ZONES[n % 4], True, 1, n % 40 / 10, None, 0,
            tuple(f"img-{(n + i) % 31}" for i in range(4)),
        )
        for n in range(machines)
    }  # fmt: skip
    return MachineInventory(7, 99.5, 1234567, status, 2, 1 << 39)


def sizes_of_messages(run: str) -> Iterator[Row]:
    """Sizes of messages and records in bytes; they repeat exactly."""

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
        around = len(request_bytes(bytes(size))) - size
        around += len(http_exchange(request_bytes(bytes(size)), Response(200, bytes(100)))()) - 100
        yield row("HTTP around a report and its answer", "bytes of the body", size, around)
    for controllers in (3, 5, 7, 9, 12):
        yield row("beat", "controllers", controllers, len(peer_heartbeat(controllers)))
        roster = {f"node-{n}": list(Member(n, 0, "in", 1e9, 0, "")) for n in range(controllers)}
        yield row("roster", "controllers", controllers, len(controller_state.encoded(roster)))
    for machines in (50, 100, 150, 200, 300):
        whole = sum(
            len(controller_state.encoded(v)) for v in inventory_values_v2(inventory(machines), 1e9)
        )
        yield row("room summary", "workers", machines, whole)
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
        built = controller_state.build(tasks)
        ids = controller_state.add_jobs(built, 1, tasks)
        controller_state.start_all(built, ids, tasks)
        transaction = Transaction(built.cache)
        assert transaction.job(ids[0]) is not None
        value = transaction.changes()[0][1]
        yield row("job record", "live tasks", tasks, len(controller_state.encoded(value)))


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
