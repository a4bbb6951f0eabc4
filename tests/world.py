"""A stand-in world in virtual time: state service, cloud, workers, users and a bad network.

Real controllers run in it.  After every step of a worker or a user the protocol's rules are
checked; a broken rule is collected in `World.broken`.  Everything is drawn from one seed.
"""

import asyncio
import contextlib
import contextvars
import functools
import itertools
import json
import sys
from collections import Counter, deque
from collections.abc import Awaitable, Callable
from random import Random
from typing import Any
from urllib.parse import parse_qs, urlsplit

import anyio
import cbor2
import msgspec

import production
from answers import OVER, Answers, lacking, misfit, over_limit
from sandladder.config import Settings
from sandladder.config import settings as settings_module
from sandladder.controller import controller as controller_module
from sandladder.transport import HttpError, Request, Response, http, peer_messages

ZONES = ["north", "south"]
TYPES = {
    "small": {"vcpus": 4.0, "gpus": 0.0, "ram_gb": 16.0, "boot_s": 8.0, "price": 0.2},
    "large": {"vcpus": 16.0, "gpus": 2.0, "ram_gb": 64.0, "boot_s": 6.0, "price": 0.7},
}
TEAMS = [
    {"name": "red", "cpus": 16.0, "cpus_max": 48.0, "gpus": 2.0, "gpus_max": 4.0},
    {"name": "blue", "cpus": 16.0, "cpus_max": 32.0},
]


WRITE_RPS = 30.0
REPORT_S = 2.0
CANCEL_S = 36.0  # what a cancellation has, unless the world is told otherwise
TODAY = production.Version(
    control=controller_module, http=http, mesh=peer_messages, settings=settings_module
)
# What the state service takes some time after an upgrade.
NEXT = {"write_rps": 20.0, "value_kb": 2.0, "txn_ops": 4}


def teams(grown: bool) -> list[dict[str, Any]]:
    """The teams and what they may use."""
    factor = 10.0 if grown else 1.0
    return [{k: v if k == "name" else v * factor for k, v in t.items()} for t in TEAMS]


class Processor:
    """What one controller's routines run on: it may stand still, or take time for each step."""

    def __init__(self) -> None:
        self.frozen = False
        self.step_s = 0.0  # what each step of a routine takes
        self.busy_until = 0.0
        self.held: deque[Callable[[], object]] = deque()

    def thaw(self) -> None:
        """Go on with what came meanwhile; the clocks ran on."""
        self.frozen = False
        loop = asyncio.get_running_loop()
        held, self.held = self.held, deque()
        for step in held:
            loop.call_soon(step)


# Whose routine runs; None for the world itself.
PROCESSOR: contextvars.ContextVar[Processor | None] = contextvars.ContextVar("p", default=None)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock jumps to the next timer.

    The routines of a controller take turns on its `Processor`.
    """

    def __init__(self) -> None:
        super().__init__()
        self._virtual = 1000.0

    def call_soon(self, callback: Any, *args: Any, context: Any = None) -> Any:
        context = context or contextvars.copy_context()
        if context.get(PROCESSOR) is None:
            return super().call_soon(callback, *args, context=context)
        cell: list[asyncio.Handle] = []
        cell.append(super().call_soon(self._step, callback, args, context, cell, context=context))
        return cell[0]

    def call_at(self, when: float, callback: Any, *args: Any, context: Any = None) -> Any:
        context = context or contextvars.copy_context()
        if context.get(PROCESSOR) is None:
            return super().call_at(when, callback, *args, context=context)
        cell: list[asyncio.Handle] = []
        cell.append(
            super().call_at(when, self._step, callback, args, context, cell, context=context)
        )
        return cell[0]

    def _step(self, callback: Any, args: Any, context: Any, cell: Any, due: bool = False) -> None:
        """One step of a controller's routine: now, or when its processor comes to it."""
        processor = context[PROCESSOR]
        if cell[0].cancelled():
            return
        if processor.frozen:
            processor.held.append(
                lambda: context.run(self._step, callback, args, context, cell, due)
            )
        elif due or not processor.step_s:
            callback(*args)
        else:
            processor.busy_until = max(self._virtual, processor.busy_until) + processor.step_s
            again = (callback, args, context, cell, True)
            super().call_at(processor.busy_until, self._step, *again, context=context)

    def time(self) -> float:
        return self._virtual

    def _run_once(self) -> None:
        if not self._ready:
            assert self._scheduled, "the world stands still"
            self._virtual = max(self._virtual, self._scheduled[0]._when)
        super()._run_once()


def run(world: "World", main: Callable[[], Awaitable[None]]) -> None:
    """Run a test's main routine in a world, in virtual time."""

    async def body() -> None:
        async with anyio.create_task_group() as tasks:
            world.start(tasks)
            try:
                await main()
            finally:
                # What stands still could not end.
                for processor in world.processors.values():
                    processor.thaw()
                tasks.cancel_scope.cancel()

    anyio.run(body, backend_options={"loop_factory": VirtualLoop})


def now() -> float:
    return asyncio.get_running_loop().time()


class Trace:
    """Tells a listener of each event of a play in its order; silent while nobody listens."""

    def __init__(self) -> None:
        self.listener: Callable[[str], None] | None = None

    def note(self, event: str, *details: object) -> None:
        """Tell of one event, with the virtual time in seconds."""
        if self.listener is not None:
            self.listener(f"{now():.6f} {event} {' '.join(map(str, details))}")


TRACE = Trace()


def settings(
    index: int = 0,
    count: int = 3,
    grown: bool = False,
    version: Any = TODAY,
    cancel_s: float = CANCEL_S,
    limits: list[dict[str, Any]] | None = None,
    **state: Any,
) -> Settings:
    """Settings of one of the world's controllers; grown: ten times the teams, small values."""
    names = [f"node-{i}" for i in range(count)]
    raw = {
        "node_name": names[index],
        "location": ZONES[index % 2],
        "api_addr": f"{names[index]}:80",
        "mesh_addr": f"{names[index]}:81",
        "peers": [{"node_name": n, "addr": f"{n}:81"} for n in names if n != names[index]],
        "external": {"cloud": "cloud:1", "state": "state:1"},
        "deployment": {
            "zones": ZONES,
            "teams": teams(grown) if limits is None else limits,
            "objectives": [{"kind": "wait", "class": "web", "within_s": 1.0, "share": 0.9}],
            "workers": {
                "report_s": REPORT_S,
                "lease_s": 12.0,
                "cancel_s": cancel_s,
                "gang_wait_s": 30.0,
                "gang_peer_s": 4.0,
            },
            "state": {
                "rps": 150.0,
                "write_rps": WRITE_RPS,
                "value_kb": 2.0 if grown else 8.0,
                "txn_ops": 12,
            }
            | state,
            "cloud": {"rps": 5.0, "list_lag_s": 3.0},
        },
    }
    kinds = version.settings
    return kinds.Settings(msgspec.convert(raw, kinds.Platform), kinds.Operator())


def job(number: int, **fields: Any) -> dict[str, Any]:
    """A submission with sensible fields."""
    return {
        "id": f"job-{number:06d}",
        "docket": "batch",
        "bureau": "red",
        "form": "array",
        "rank": "normal",
        "entries": 2,
        "vcpus": 2.0,
        "gpus": 0.0,
        "ram_gb": 4.0,
        "parcel": "img-1",
        "image_gb": 1.0,
        "breeds": None,
        "district": None,
        "same_place": False,
        "apart": False,
        "loaners": True,
        "expect_s": 5.0,
        "bookmark_s": 0.0,
        "stamp_s": 0.0,
        "due_s": None,
        "awaits": None,
    } | fields


class Network:
    """Carries requests with delays; cuts drop them or hold them back."""

    def __init__(self, rng: Random) -> None:
        self.rng = rng
        self.handlers: dict[str, Callable[[str, Request], Awaitable[Response]]] = {}
        self.cuts: dict[frozenset[str], str] = {}  # pair of hosts -> "drop" or "hold"
        self.one_way: dict[tuple[str, str], str] = {}  # the same, from the first to the second
        self.refused: set[frozenset[str]] = set()  # pairs of controllers that refuse each other
        # Told of each request before and after it is carried out: (when, source, target, request).
        self.trap: Callable[[str, str, str, Request], None] | None = None
        self.tasks: Any = None
        self.delay_s = 0.01  # how long a message takes at most
        self.met: Counter[str] | None = None  # counts commands that were held up
        self.ordered: Callable[[list[dict[str, Any]]], None] | None = None  # told of direct orders

    def cut(self, one: str, other: str, mode: str) -> None:
        self.cuts[frozenset((one, other))] = mode

    def heal(self) -> None:
        self.cuts.clear()
        self.one_way.clear()
        self.refused.clear()

    def between(self, one: str, other: str) -> str | None:
        return self.one_way.get((one, other)) or self.cuts.get(frozenset((one, other)))

    def start(self, routine: Callable[[], Awaitable[None]]) -> None:
        """Begin a routine of the world's own, whoever's turn it is."""
        context = contextvars.copy_context()
        context.run(PROCESSOR.set, None)
        context.run(self.tasks.start_soon, routine)

    async def call(self, source: str, target: str, request: Request, timeout: float) -> Response:
        box: list[Response] = []
        arrived = anyio.Event()
        TRACE.note("request", source, target, request.method, request.path, request.body)

        async def carry() -> None:
            await anyio.sleep(self.rng.uniform(0.0005, self.delay_s))
            held = now()
            while (mode := self.between(source, target)) is not None:
                if mode == "drop":
                    return
                await anyio.sleep(0.5)
            if self.met is not None and request.path == "/do" and now() - held > timeout:
                self.met["late command"] += 1
            if self.trap is not None:
                self.trap("before", source, target, request)
            handler = self.handlers.get(target)
            if handler is None:
                return
            answer = await handler(source, request)
            TRACE.note(
                "answer",
                target,
                source,
                request.path,
                answer.status,
                answer.retry_after,
                answer.body,
            )
            if self.trap is not None:
                self.trap("after", source, target, request)
            await anyio.sleep(self.rng.uniform(0.0005, self.delay_s))
            if self.between(target, source) is None:
                box.append(answer)
                arrived.set()

        self.start(carry)
        with anyio.move_on_after(timeout):
            await arrived.wait()
        if not box:
            raise HttpError("no answer")
        return box[0]


class FakeClient:
    """Stands in for `http.Client` on a controller."""

    def __init__(self, network: Network, source: str, host: str, failure: type) -> None:
        self._network, self._source, self._host = network, source, host
        self._failure = failure

    async def request(
        self, method: str, target: str, body: bytes = b"", *, timeout: float
    ) -> Response:
        request = Request(method, target, body)
        if target == "/do" and self._network.ordered is not None:
            self._network.ordered(cbor2.loads(body)["orders"])
        try:
            return await self._network.call(self._source, self._host, request, timeout)
        except HttpError as error:
            raise self._failure(str(error)) from None

    async def aclose(self) -> None:
        pass


class FakeLink:
    """Stands in for `mesh.PeerConnection`."""

    def __init__(self, world: "World", source: str, target: str, mesh: Any) -> None:
        self._world, self._source, self._target, self._mesh = world, source, target, mesh
        self.refused = False
        self._queue: list[Any] = []  # what came since the last try to connect
        self.heard_at = float("-inf")
        self.store_reachable = self.state_ok = False
        self.demand = 0
        self.schema_version = self.form = 1  # the version in production calls it `form`

    def probe(self) -> None:
        """Notice whether anybody listens there, as a connection does."""
        pair = frozenset((self._source, self._target))
        refused = self._target not in self._world.nodes or pair in self._world.network.refused
        if refused != self.refused:
            self.refused = refused
            peers = self._world.nodes[self._source].peers
            if hasattr(peers, "connection_changed"):  # the version before looks at the link itself
                peers.connection_changed(self._target, refused)
        # As the real link: what was queued since the last try goes out once it is connected.
        queue, self._queue = self._queue, []
        for message in [] if refused else queue:
            self.send(message)

    def flush(self) -> None:
        sign = self._world.nodes[self._source].peers.heartbeat()
        if sign is not None:
            self.send(sign)

    nudge = flush  # as the version in production calls it

    def send(self, message: Any) -> None:
        if self.refused:
            self._queue.append(message)
            return
        if self._world.frames is not None:
            self._world.frames(self._source, self._target, message)
        body = self._mesh._encoder.encode(message)
        TRACE.note("frame", self._source, self._target, body)

        async def carry() -> None:
            await anyio.sleep(self._world.rng.uniform(0.001, 0.01))
            node = self._world.nodes.get(self._target)
            if node is None or self._world.network.between(self._source, self._target) is not None:
                return
            try:
                message = node.version.mesh._decoder.decode(body)
            except msgspec.DecodeError as error:
                self._world.breaks("mesh", f"{self._target} cannot read {body!r}: {error}")
            else:
                node.on_processor(lambda: node.peers.handle(message))

        self._world.network.start(carry)


@functools.cache
def controller(version: Any) -> Any:
    """The class of a version's controllers, with the world's sockets."""

    class WorldController(version.control.Controller):  # type: ignore[misc]
        def __init__(self, world: "World", settings: Settings) -> None:
            self._world, self.version = world, version
            failure = version.http.HttpError
            super().__init__(
                settings,
                Random(world.rng.random()),
                connect=lambda host, port, keep=4: FakeClient(
                    world.network, settings.node, host, failure
                ),
                wall=lambda: now() + 1e6,
            )
            connections = {
                n: FakeLink(world, self.node, n, version.mesh) for n in self.nodes if n != self.node
            }

            if hasattr(self, "mirror"):
                self._add_todays_names()
                self.peers.links = connections
            self.peers.connections = connections

        def _add_todays_names(self) -> None:
            """Let the simulation use a controller of the version in production like today's."""
            self.cache, self.job_api = self.mirror, self.users
            self.heartbeat_interval_s = self.beat_s
            self.peers.heartbeat, self.peers.handle = self.peers.beat, self.peers.hear
            if hasattr(self.peers, "_link_changed"):
                self.peers.connection_changed = self.peers._link_changed

        def _duty_failed(self, name: str) -> None:
            self._world.breaks("duty", f"{name}: {sys.exc_info()[1]!r}")

        def on_processor(self, step: Callable[[], object]) -> None:
            """Have something done as one of this controller's own steps."""
            context = contextvars.copy_context()
            context.run(PROCESSOR.set, self._world.processors[self.node])
            asyncio.get_running_loop().call_soon(step, context=context)

        def _listen(self, tasks: Any) -> None:
            async def beats() -> None:
                while True:
                    for link in self.peers.connections.values():
                        link.probe()
                        if (sign := self.peers.heartbeat()) is not None:
                            link.send(sign)
                    await anyio.sleep(self.heartbeat_interval_s)

            tasks.start_soon(beats)

    return WorldController


class Store:
    """The state service."""

    def __init__(self, world: "World") -> None:
        self.world = world
        self.revision = 0
        self.items: dict[str, tuple[Any, int, int | None]] = {}
        self.log: deque[tuple[int, str, Any]] = deque(maxlen=500)
        self.leases: dict[int, tuple[float, float]] = {}  # id -> (ends, ttl)
        self.lease_ids = itertools.count(1)
        self.down = False
        self.refuses: set[str] = set()
        self.late: dict[str, float] = {}  # how late a controller's transactions are answered
        # The share of transactions that get no answer and are carried out 2 to 12 s later.
        self.late_writes = 0.0
        self.late_if: Callable[[Any], bool] = bool  # of which transactions
        self.late_sure = 0  # so many of these first, whatever the share
        self.on_lost: Callable[[str], None] | None = None  # told of the writer at once
        self.at_once = False  # such a transaction is carried out at once, only its answer is lost
        self.slow_s = 0.0
        self.largest = 0
        self.history: list[tuple[float, str, Any]] = []
        self.writes: Counter[str] = Counter()  # by the beginning of the key
        self.over = 0  # requests refused for the rate
        self.too_large = 0  # transactions refused for their size
        self.txn_ops, self.value_bytes, self.write_rps = 12, 8 * 1024.0, WRITE_RPS
        self._tokens, self._at = WRITE_RPS, 0.0

    def _change(self, key: str, value: Any, lease: int | None) -> None:
        self.writes[key[:4]] += 1
        self.history.append((now(), key, value))
        if value is None:
            self.items.pop(key, None)
        else:
            self.items[key] = value, self.revision, lease
        self.log.append((self.revision, key, value))

    def expire(self) -> None:
        for lease in [i for i, (ends, _) in self.leases.items() if ends < now()]:
            self.end(lease)

    def end(self, lease: int) -> None:
        self.leases.pop(lease, None)
        keys = [k for k, item in self.items.items() if item[2] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self._change(key, None, None)

    def outage(self, down: bool) -> None:
        self.down = down
        if not down:
            self.leases = {i: (now() + ttl, ttl) for i, (_, ttl) in self.leases.items()}

    async def handle(self, source: str, request: Request) -> Response:
        if self.down or source in self.refuses:
            return Response(503)
        if self.slow_s:
            await anyio.sleep(self.world.rng.uniform(0.0, 2 * self.slow_s))
        self.expire()
        url = urlsplit(request.path)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        body = cbor2.loads(request.body) if request.body else {}
        late = self.late_writes and url.path == "/commit" and self.late_if(body["apply"])
        if late and (self.late_sure > 0 or self.world.rng.random() < self.late_writes):
            self.late_sure -= 1
            if self.at_once:
                status, _ = self._commit(body)
                if status == 200:
                    self.world.met["answer lost"] += 1
                    self.world.network.start(functools.partial(self._lost, source, self.revision))
            else:
                self.world.network.start(functools.partial(self._later, body))
            await anyio.sleep(1e6)
        status, answer = self._answer(request.method, url.path, query, body)
        if source in self.late and url.path == "/commit":
            await anyio.sleep(self.late[source])
        return Response(status, cbor2.dumps(answer))

    async def _lost(self, writer: str, revision: int) -> None:
        """The writer does not know yet; what becomes of it, and whether others read it meanwhile."""
        if self.on_lost is not None:
            self.on_lost(writer)
        await anyio.sleep(0.8)
        others = [node for name, node in self.world.nodes.items() if name != writer]
        seen = any(node.cache.revision >= revision for node in others)
        self.world.met["read by others while its writer did not know"] += seen

    async def _later(self, body: Any) -> None:
        """Carry out a transaction whose sender has long given it up."""
        await anyio.sleep(self.world.rng.uniform(2.0, 12.0))
        while self.down:
            await anyio.sleep(0.5)
        self.expire()
        status, _ = self._commit(body)
        self.world.met["late write " + ("taken" if status == 200 else "refused")] += 1

    def _answer(
        self, method: str, path: str, query: dict[str, str], body: Any
    ) -> tuple[int, dict[str, Any]]:
        if path == "/commit":
            return self._commit(body)
        if path == "/follow":
            after = int(query["after"])
            if self.log and after < self.log[0][0] - 1:
                return 410, {}
            log = [
                {"drop": k, "edition": r} if v is None else {"put": k, "v": v, "edition": r}
                for r, k, v in self.log
                if r > after and k.startswith(query["prefix"])
            ]
            return 200, {"ledger": self.revision, "log": log}
        if path == "/holds":
            lease, ttl = next(self.lease_ids), body["ttl_ms"] / 1000
            self.leases[lease] = now() + ttl, ttl
            return 200, {"tenure": lease}
        if path.endswith("/renew"):
            lease = int(path.split("/")[2])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][1]
            self.leases[lease] = now() + ttl, ttl
            return 200, {"tenure": lease}
        if path == "/store":
            keys = sorted(
                k
                for k in self.items
                if k.startswith(query["prefix"]) and k > query.get("after", "")
            )
            most = int(query["most"])
            page = [
                {"key": k, "v": self.items[k][0], "edition": self.items[k][1]} for k in keys[:most]
            ]
            return 200, {"items": page, "more": len(keys) > most, "ledger": self.revision}
        item = self.items.get(path.removeprefix("/store/"))
        if item is None:
            return 404, {"ledger": self.revision}
        return 200, {"key": path, "v": item[0], "edition": item[1]}

    def _commit(self, body: Any) -> tuple[int, dict[str, Any]]:
        for change in body["apply"]:
            if change.get("tenure") is not None and change["tenure"] not in self.leases:
                return 400, {"error": "no such lease"}
        sizes = [len(json.dumps(c["v"], separators=(",", ":"))) for c in body["apply"] if "v" in c]
        if (
            len(body["apply"]) > self.txn_ops
            or len(body["guards"]) > 4 * self.txn_ops
            or any(size > self.value_bytes for size in sizes)
        ):
            self.too_large += 1
            return 400, {"error": "too large"}
        rate = self.write_rps
        self._tokens = min(rate, self._tokens + (now() - self._at) * rate)
        self._at = now()
        if self._tokens < len(body["apply"]):
            self.over += 1
            return 429, {}
        self._tokens -= len(body["apply"])
        failed = [
            g["key"] for g in body["guards"] if self.items.get(g["key"], (0, 0))[1] != g["edition"]
        ]
        if failed:
            return 409, {"failed": failed, "ledger": self.revision}
        if body["apply"]:
            self.revision += 1
        self.largest = max([self.largest, *sizes])
        for change in body["apply"]:
            self._check_start(change.get("put", ""), change.get("v"))
            if "put" in change:
                self._change(change["put"], change["v"], change.get("tenure"))
            else:
                self._change(change["drop"], None, None)
        return 200, {"ledger": self.revision}

    def _check_start(self, key: str, value: Any) -> None:
        """No start is committed of a job of which a user was told that it is cancelled."""
        if not key.startswith("s/j/job-"):
            return
        before, _, _ = self.items.get(key, (None, 0, None))
        told = self.world.cancelled_at.get(key[len("s/j/") :])
        if told is not None and told < now() and starts(value) > starts(before):
            self.world.breaks("started_cancelled", f"{key} by a commit")


def starts(value: Any) -> int:
    """How often tasks of a job were started, by its record: each start takes the next attempt."""
    return int(value["n"]) if isinstance(value, dict) else 0


class Task:
    """A task on a machine."""

    def __init__(self, world: "World", name: str, attempt: int) -> None:
        self.spec = world.specs[name.partition("/")[0]]
        self.name, self.attempt = name, attempt
        self.state, self.cause, self.saved = "fetching", "", False
        self.ready_at = now() + 0.5 * self.spec["image_gb"]
        self.left = (
            0.0 if name in world.done else world.run_s(self.spec, name) - world.saved.get(name, 0)
        )
        self.flushed_at = 0.0
        self.waits_since = 0.0

    @property
    def there(self) -> bool:
        """Whether it is on its machine in the sense of the rules."""
        return self.state in ("waiting", "running", "flushing")


class Worker:
    """A machine with its worker."""

    def __init__(self, world: "World", name: str, kind: str, zone: str, spot: bool) -> None:
        self.world, self.name, self.kind, self.zone, self.spot = world, name, kind, zone, spot
        self.born = now()
        self.boots_at = now() + world.rng.uniform(0.6, 1.5) * TYPES[kind]["boot_s"]
        self.gone_at: float | None = None
        self.state = "starting"
        self.session, self.seq, self.token = 1, 0, 0
        self.tasks: dict[str, Task] = {}
        self.lease_from = 0.0
        self.hung_until = 0.0
        self.deaf_until = 0.0  # its reports arrive; answers and direct commands to it are lost
        self.mute_until = 0.0  # it reaches no controller; direct commands reach it
        self.sick = False
        self.notice_until: float | None = None
        self.changed = anyio.Event()
        self.reporting_controller = world.rng.randrange(world.count)

    def report(self) -> dict[str, Any]:
        self.seq += 1
        entries = []
        for task in self.tasks.values():
            entry = {"entry": task.name, "try": task.attempt, "standing": task.state}
            if task.state == "exited":
                entry |= {"cause": task.cause} | ({"saved": True} if task.saved else {})
            entries.append(entry)
        notice = None if self.notice_until is None else self.notice_until - now()
        return {
            "rung": self.name,
            "addr": f"{self.name}:9000",
            "breed": self.kind,
            "district": self.zone,
            "loaners": self.spot,
            "shift": self.session,
            "tally": self.seq,
            "seal": self.token,
            "recall_s": notice,
            "entries": entries,
        }

    def free(self) -> tuple[float, float, float]:
        kind = TYPES[self.kind]
        live = [t.spec for t in self.tasks.values() if t.state != "exited"]
        return tuple(kind[k] - sum(s[k] for s in live) for k in ("vcpus", "gpus", "ram_gb"))  # type: ignore[return-value]

    def obey(self, orders: list[dict[str, Any]]) -> None:
        for order in orders:
            name, attempt = order["entry"], order["try"]
            key = f"{name}#{attempt}"
            if order["verb"] == "run":
                if key not in self.tasks:
                    self._begin(name, attempt, key)
            elif order["verb"] == "halt":
                task = self.tasks.get(key)
                if task is not None and task.state != "exited":
                    self._halt(task, order["mercy_s"])
            elif key in self.tasks and self.tasks[key].state == "exited":
                del self.tasks[key]
        self.step()

    def _begin(self, name: str, attempt: int, key: str) -> None:
        task = Task(self.world, name, attempt)
        spec = task.spec
        cpus, gpus, memory = self.free()
        if any(t.name == name and t.state != "exited" for t in self.tasks.values()):
            task.state, task.cause = "exited", "in_use"
        elif spec["vcpus"] > cpus or spec["gpus"] > gpus or spec["ram_gb"] > memory:
            task.state, task.cause = "exited", "full"
            self.world.full += 1
        elif self.sick or spec["docket"] == "broken":
            task.state, task.cause = "exited", "error"
            self.world.errors += 1
        self.tasks[key] = task
        self.changed.set()

    def _halt(self, task: Task, grace: float) -> None:
        if (
            task.state == "running"
            and task.spec["bookmark_s"] > 0
            and grace >= task.spec["stamp_s"]
        ):
            task.state, task.flushed_at = "flushing", now() + task.spec["stamp_s"]
        elif task.state != "flushing" or grace == 0:
            self._exit(task, "halted")

    def _exit(self, task: Task, cause: str, saved: bool = False) -> None:
        task.state, task.cause, task.saved = "exited", cause, saved
        self.changed.set()

    def step(self) -> None:
        """Let time pass on this machine, and check the rules."""
        if self.state != "running":
            return
        # The lease runs out on a hanging machine as well: it may go on only within it.
        # Seen in a search: what it had run counted as there, and a true proof of loss as false.
        if now() - self.lease_from > 12.0:
            self.tasks.clear()
            self.session += 1
            self.lease_from = now()
            self.world.lapsed += 1
            self.changed.set()
        if now() >= self.hung_until:
            for task in list(self.tasks.values()):
                self._advance(task)
        self.world.check()

    def _advance(self, task: Task) -> None:
        spec, world = task.spec, self.world
        if task.state == "fetching" and now() >= task.ready_at:
            if task.name in world.done:
                self._exit(task, "done")  # the result is kept
                return
            world.check_start(self, task)
            task.state = "waiting" if spec["form"] == "group" else "running"
            task.ready_at = task.waits_since = now()
            self.changed.set()
        elif task.state == "waiting":
            mates = world.mates(task)
            if len(mates) == spec["entries"]:
                for mate in mates:
                    mate.state, mate.ready_at = "running", now()
            elif now() - task.waits_since > 30.0:
                self._exit(task, "alone")
        elif task.state == "running":
            whole = spec["form"] != "group" or len(world.mates(task)) == spec["entries"]
            finished = spec["form"] != "service" and now() - task.ready_at >= task.left
            if finished and (whole or task.name in world.done):
                for mate in world.mates(task) if spec["form"] == "group" else [task]:
                    world.done.add(mate.name)
                self._exit(task, "done")
                if world.is_done(spec["id"]):
                    world.ended(spec["id"])
            elif task.name in world.done:
                self._exit(task, "done")
            elif not whole:
                self._exit(task, "mates_gone")
        elif task.state == "flushing" and now() >= task.flushed_at:
            world.saved[task.name] = world.saved.get(task.name, 0) + now() - task.ready_at
            self._exit(task, "halted", True)

    async def live(self) -> None:
        """Boot, then report until gone."""
        await anyio.sleep(self.boots_at - now())
        if self.gone_at is not None:
            return
        self.state, self.lease_from = "running", now()
        self.world.network.handlers[self.name] = self.handle
        self.world.network.tasks.start_soon(self._tick)
        while self.state == "running":
            if now() >= self.hung_until:
                await self._talk()
            self.changed = anyio.Event()
            with anyio.move_on_after(self.world.rng.uniform(1.5, 2.5)):
                await self.changed.wait()
                await anyio.sleep(0.3)

    async def _tick(self) -> None:
        while self.state == "running":
            await anyio.sleep(0.1)
            self.step()

    async def _talk(self) -> None:
        if now() < self.mute_until:
            self.world.met["mute"] += bool(self.tasks)
            await anyio.sleep(1.0)
            self.reporting_controller = (self.reporting_controller + 1) % self.world.count
            return
        sent, session = now(), self.session
        request = Request("POST", "/v1/report", cbor2.dumps(self.report()))
        target = f"node-{self.reporting_controller}"
        self.world.note_copy(self, request)
        try:
            answer = await self.world.network.call(self.name, target, request, 4.0)
        except HttpError:
            answer = Response(0)
        if self.world.late_reports and self.world.rng.random() < self.world.late_reports:
            self.world.network.start(functools.partial(self._again, request, target))
        if self.state != "running" or now() < self.hung_until:
            return
        if now() < self.deaf_until:
            self.world.met["deaf"] += answer.status == 200
            answer = Response(0)
        if answer.status == 200:
            body = cbor2.loads(answer.body)
            if body["seal"] < self.token or session != self.session:
                return
            self._take(body["seal"])
            self.lease_from = sent
            self.obey(body["orders"])
            return
        named = cbor2.loads(answer.body).get("clerk") if answer.status == 421 else None
        if named is not None and named != target:
            self.reporting_controller = int(named.rpartition("-")[2])
            return
        await anyio.sleep(1.0)
        self.reporting_controller = (self.reporting_controller + 1) % self.world.count

    async def _again(self, request: Request, target: str) -> None:
        """A copy of a report arrives once more, up to well over a lease later."""
        await anyio.sleep(self.world.rng.uniform(2.0, 18.0))
        if target in self.world.nodes:
            self.world.met["copy"] += 1
            await self.world.deliver(self.name, target, request)

    def _take(self, token: int) -> None:
        if token > self.token:
            self.token = token
            self.changed.set()

    async def handle(self, source: str, request: Request) -> Response:
        while now() < self.hung_until:
            await anyio.sleep(0.5)
        if self.state != "running" or now() < self.deaf_until:
            await anyio.sleep(1e6)
        if request.path == "/do":
            body = cbor2.loads(request.body)
            if body["seal"] < self.token or body["shift"] != self.session:
                return Response(409, cbor2.dumps(self.report()))
            self.world.met["told while mute"] += bool(now() < self.mute_until and body["orders"])
            self._take(body["seal"])
            self.obey(body["orders"])
        return Response(200, cbor2.dumps(self.report()))

    def vanish(self, listed: bool) -> None:
        """The machine ends, with everything on it."""
        self.state = "failed" if listed else "deleted"
        self.gone_at = now()
        self.tasks.clear()
        self.world.network.handlers.pop(self.name, None)


class Cloud:
    """Rents machines; its list lags."""

    def __init__(self, world: "World") -> None:
        self.world = world
        self.workers: dict[str, Worker] = {}
        self.hires: dict[str, list[str]] = {}
        self.numbers = itertools.count(1)
        self.history: deque[tuple[float, list[dict[str, Any]]]] = deque(maxlen=200)
        self.most = 8
        self.full_zones: set[str] = set()  # where nothing can be rented now
        self.quick = 0.0  # the share of machines that are up within two seconds
        self.duds = 0  # so many of the first machines never boot

    async def watch(self) -> None:
        while True:
            self.history.append((now(), [self._describe(w) for w in self._listed()]))
            await anyio.sleep(0.5)

    def _listed(self) -> list[Worker]:
        return [w for w in self.workers.values() if w.state != "deleted"]

    @staticmethod
    def _describe(worker: Worker) -> dict[str, Any]:
        dead = worker.state == "failed" and now() - (worker.gone_at or 0) > 15
        alive = "starting" if worker.state == "starting" else "running"
        return {
            "id": worker.name,
            "addr": f"{worker.name}:9000",
            "breed": worker.kind,
            "district": worker.zone,
            "loaners": worker.spot,
            "standing": "failed" if dead else alive,
            "age_s": now() - worker.born,
        }

    async def handle(self, source: str, request: Request) -> Response:
        url = urlsplit(request.path)
        if url.path == "/catalog":
            breeds = [
                {"label": name, "cache_gb": 20.0, "pull_gb_per_s": 2.0, "districts": ZONES}
                | {"market_price": kind["price"] / 3}
                | kind
                for name, kind in TYPES.items()
            ]
            return Response(200, cbor2.dumps({"breeds": breeds}))
        if request.method == "GET":
            lag = self.world.rng.uniform(0.0, 6.0)
            past = [page for at, page in self.history if at <= now() - lag]
            return Response(200, cbor2.dumps({"rungs": past[-1] if past else [], "more": False}))
        body = cbor2.loads(request.body)
        if url.path == "/machines/return":
            for name in body["rungs"]:
                if name in self.workers:
                    self.workers[name].vanish(False)
            return Response(200, cbor2.dumps({}))
        if body["hire"] not in self.hires:
            room = self.most - len([w for w in self._listed() if w.state != "failed"])
            if room <= 0 or body["district"] in self.full_zones:
                return Response(503, cbor2.dumps({"error": "no capacity"}))
            self.hires[body["hire"]] = [
                self.add(body["breed"], body["district"], body["loaners"])
                for _ in range(min(room, body["count"]))
            ]
        return Response(200, cbor2.dumps({"rungs": self.hires[body["hire"]]}))

    def add(self, kind: str, zone: str, spot: bool) -> str:
        name = f"vm-{next(self.numbers):06d}"
        worker = self.workers[name] = Worker(self.world, name, kind, zone, spot)
        if len(self.workers) <= self.duds:
            worker.boots_at = now() + 1e6
        elif self.quick and self.world.rng.random() < self.quick:
            worker.boots_at = now() + self.world.rng.uniform(0.1, 2.0)
        self.world.network.tasks.start_soon(worker.live)
        return name


class World:
    """Everything together, with the rules."""

    def __init__(
        self,
        seed: int,
        count: int = 3,
        grown: bool = False,
        old: bool = False,
        cancel_s: float = CANCEL_S,
        limits: list[dict[str, Any]] | None = None,
        **state: Any,
    ) -> None:
        self.teams = teams(grown) if limits is None else limits
        self.rng = Random(seed)
        self.count = count
        self.cancel_s = cancel_s
        self.grown = grown
        self.network = Network(self.rng)
        self.store = Store(self)
        self.cloud = Cloud(self)
        self.network.handlers["state"] = self.store.handle
        self.network.handlers["cloud"] = self.cloud.handle
        # The version that each controller is started with, and what the settings say of the
        # state service beyond the ordinary.
        self.versions = [production.load() if old else TODAY] * count
        self.state = state
        self.nodes: dict[str, Any] = {}
        self.processors: dict[str, Processor] = {}
        self._scopes: dict[str, anyio.CancelScope] = {}
        self.specs: dict[str, dict[str, Any]] = {}
        self.done: set[str] = set()
        self.saved: dict[str, float] = {}
        self.accepted: set[str] = set()
        self.answers = Answers(self.breaks)
        self.cancelled_at: dict[str, float] = {}
        self.broken: list[str] = []
        self.close_looks = 0.0  # of that share of what is accepted, done or cancelled
        self.cancel_at_end = 0.0  # that share of the jobs is called off as its last task ends
        self.keep_copies = 0.0  # of that share of the reports a copy is kept for the next leader
        self.copies: list[tuple[Worker, int, Request]] = []  # with the session that it tells
        self.starts: Counter[str] = Counter()
        self.full = 0
        self.errors = 0
        self.lapsed = 0
        # Told of each message between controllers: source, target, message.
        self.frames: Callable[[str, str, Any], None] | None = None
        self.late_reports = 0.0  # the share of reports of which a copy arrives again
        self.met: Counter[str] = Counter()  # troubles that were really on
        self.network.met = self.met
        self.network.ordered = self.ordered

    def start(self, tasks: Any) -> None:
        self.network.tasks = tasks
        tasks.start_soon(self.cloud.watch)
        for index in range(self.count):
            self.boot(index)

    def boot(self, index: int, twin: bool = False) -> None:
        """Start a controller that does not run.

        The platform never runs two processes of one controller; `twin` breaks that word.
        Seen here: two troubles started the same one, and the first was never ended.
        """
        name = f"node-{index}"
        if name in self._scopes and not twin:
            return
        scope = anyio.CancelScope()
        self._scopes[f"{name} too" if twin else name] = scope

        async def live() -> None:
            with scope:
                if scope.cancel_called:
                    return
                version = self.versions[index]
                node = controller(version)(
                    self,
                    settings(
                        index,
                        self.count,
                        self.grown,
                        version,
                        self.cancel_s,
                        self.teams,
                        **self.state,
                    ),
                )
                self.nodes[node.node] = node

                async def handle(source: str, request: Request) -> Response:
                    box: list[Response] = []
                    answered = anyio.Event()

                    async def serve() -> None:
                        box.append(await node.job_api.handle(request))
                        answered.set()

                    if node.tasks is None:
                        await anyio.sleep(1e6)
                    node.on_processor(lambda: node.tasks.start_soon(serve))
                    await answered.wait()
                    if request.path == "/v1/report" and box[0].status == 200:
                        self.ordered(cbor2.loads(box[0].body)["orders"])
                    return box[0]

                self.network.handlers[node.node] = handle
                await node.run()

        processor = self.processors[name] = Processor()
        context = contextvars.copy_context()
        context.run(PROCESSOR.set, processor)
        context.run(self.network.tasks.start_soon, live)

    def freeze(self, index: int) -> None:
        """A controller stands still; its clocks and the rest of the world go on."""
        self.processors[f"node-{index}"].frozen = True

    def thaw(self, index: int) -> None:
        self.processors[f"node-{index}"].thaw()

    def slow(self, index: int, step_s: float) -> None:
        """Each step of a controller's routines takes so long from now on; 0: no time."""
        self.processors[f"node-{index}"].step_s = step_s

    def crash(self, index: int) -> None:
        name = f"node-{index}"
        if name in self._scopes:
            self.processors[name].thaw()
            self.processors[name].step_s = 0.0
            self._scopes.pop(name).cancel()
            self.nodes.pop(name, None)
            self.network.handlers.pop(name, None)
            # Whoever was connected to it is told at once.
            for node in self.nodes.values():
                node.peers.connections[name].probe()

    def ordered(self, orders: list[dict[str, Any]]) -> None:
        """A controller sends orders to a machine."""
        for order in orders:
            told = self.cancelled_at.get(order["entry"].partition("/")[0])
            if order["verb"] == "run" and told is not None and told < now():
                self.met["start ordered after its job was told cancelled"] += 1

    def note_copy(self, worker: Worker, request: Request) -> None:
        if self.keep_copies and self.rng.random() < self.keep_copies:
            self.copies.append((worker, worker.session, request))

    def release_copies(self) -> None:
        """The copies of old reports that were kept arrive, each at every controller."""
        copies, self.copies = self.copies, []
        for worker, session, request in copies:
            self.met["old report at every controller"] += len(self.nodes) == self.count
            self.met["of an earlier session"] += worker.session > session
            for node in self.nodes:
                self.network.start(functools.partial(self.deliver, worker.name, node, request))

    async def deliver(self, source: str, target: str, request: Request) -> None:
        with contextlib.suppress(HttpError):
            await self.network.call(source, target, request, 4.0)

    def ended(self, job_id: str) -> None:
        """The last task of a job has ended on its machine."""
        self.look(job_id, "ended")
        if self.cancel_at_end and self.rng.random() < self.cancel_at_end:
            self.met["cancelled at its end"] += 1
            self.network.start(functools.partial(self.cancel, job_id, 240))

    def shrink(self) -> None:
        """The state service's limits to come begin."""
        self.store.txn_ops = NEXT["txn_ops"]
        self.store.value_bytes = NEXT["value_kb"] * 1024
        self.store.write_rps = NEXT["write_rps"]

    def needed(self, job_id: str) -> set[str]:
        """The jobs that a job needs, directly or through others."""
        found: set[str] = set()
        stack = [job_id]
        while stack:
            for name in self.specs.get(stack.pop(), {}).get("awaits") or ():
                if name not in found:
                    found.add(name)
                    stack.append(name)
        return found

    def is_done(self, job_id: str) -> bool:
        tasks = range(self.specs[job_id]["entries"])
        return all(f"{job_id}/{task}" in self.done for task in tasks)

    def run_s(self, spec: dict[str, Any], task: str = "/0") -> float:
        """How long a task runs; `far_s`: each runs so much longer than the one before."""
        return spec["expect_s"] * 1.2 + spec.get("far_s", 0.0) * int(task.partition("/")[2])

    def breaks(self, rule: str, detail: str) -> None:
        self.broken.append(f"{now():.2f} {rule}: {detail}")

    def present(self) -> list[tuple[Worker, Task]]:
        return [
            (w, t)
            for w in self.cloud.workers.values()
            if w.gone_at is None
            for t in w.tasks.values()
            if t.there
        ]

    def left_waiting(self) -> list[str]:
        """Jobs with a task that waits though a machine that fits has room and the team may use more."""
        used: Counter[str] = Counter()
        gpus: Counter[str] = Counter()
        placed: Counter[str] = Counter()
        for worker in self.cloud.workers.values():
            for task in worker.tasks.values():
                if task.state != "exited":
                    used[task.spec["bureau"]] += task.spec["vcpus"]
                    gpus[task.spec["bureau"]] += task.spec["gpus"]
                    placed[task.spec["id"]] += 1
        limits = {team["name"]: team for team in self.teams}
        found = []
        for job_id in sorted(self.accepted):
            spec = self.specs[job_id]
            if self.cancelled_at.keys() & {job_id, *self.needed(job_id)}:
                continue
            if not all(self.is_done(name) for name in spec.get("awaits") or ()):
                continue
            done = sum(f"{job_id}/{task}" in self.done for task in range(spec["entries"]))
            waiting = spec["entries"] - done - placed[job_id]
            need = spec["entries"] if spec["form"] == "group" else 1
            team = limits[spec["bureau"]]
            if (
                waiting >= need
                and not over_limit(
                    team,
                    used[team["name"]] + need * spec["vcpus"],
                    gpus[team["name"]] + need * spec["gpus"],
                )
                and self._places(spec) >= need
            ):
                found.append(job_id)
        return found

    def _places(self, spec: dict[str, Any]) -> int:
        """For how many of a job's tasks there is room on machines that run."""
        zones: Counter[str] = Counter()
        for worker in self.cloud.workers.values():
            if worker.state != "running" or worker.sick or worker.notice_until is not None:
                continue
            if worker.spot and not spec["loaners"] or spec["district"] not in (None, worker.zone):
                continue
            if spec["breeds"] is not None and worker.kind not in spec["breeds"]:
                continue
            sizes = zip(worker.free(), ("vcpus", "gpus", "ram_gb"), strict=True)
            zones[worker.zone] += int(min(free / spec[s] for free, s in sizes if spec[s]))
        if spec["same_place"]:
            return max(zones.values(), default=0)
        if spec["apart"]:
            zones = Counter({z: min(n, (spec["entries"] + 1) // 2) for z, n in zones.items()})
        return sum(zones.values())

    def mates(self, task: Task) -> list[Task]:
        prefix = task.name.partition("/")[0] + "/"
        return [
            t for _, t in self.present() if t.attempt == task.attempt and t.name.startswith(prefix)
        ]

    def check_start(self, worker: Worker, task: Task) -> None:
        """The rules about a task that starts."""
        spec = task.spec
        self.starts[task.name] += 1
        zones = [worker.zone]
        for other, there in self.present():
            if there.name == task.name and there is not task:
                self.breaks("ran_twice", f"{task.name} on {worker.name} and {other.name}")
            elif there.name.startswith(spec["id"] + "/"):
                zones.append(other.zone)
        for name in spec.get("awaits") or ():
            if not self.is_done(name):
                self.breaks("too_early", f"{task.name} before {name}")
        if spec["breeds"] is not None and worker.kind not in spec["breeds"]:
            self.breaks("wrong_place", f"{task.name} on type {worker.kind}")
        if spec["district"] not in (None, worker.zone) or (worker.spot and not spec["loaners"]):
            self.breaks("wrong_place", f"{task.name} on {worker.name}")
        if spec["same_place"] and len(set(zones)) > 1:
            self.breaks("wrong_place", f"{task.name} not in the zone of the others")
        if spec["apart"] and zones.count(worker.zone) > (spec["entries"] + 1) // 2:
            self.breaks("wrong_place", f"{task.name} not spread")

    def check(self) -> None:
        """The rules about everything that is on a machine."""
        used: Counter[str] = Counter()
        gpus: Counter[str] = Counter()
        for _, task in self.present():
            spec = task.spec
            used[spec["bureau"]] += spec["vcpus"]
            gpus[spec["bureau"]] += spec["gpus"]
            for name in (spec["id"], *self.needed(spec["id"])):
                told = self.cancelled_at.get(name)
                if told is not None and now() - told > self.cancel_s:
                    self.breaks("ran_cancelled", task.name)
        for team in self.teams:
            if over_limit(team, used[team["name"]], gpus[team["name"]]):
                self.breaks("quota", f"{team['name']} uses {used[team['name']]}")

    # Users

    async def ask(
        self, method: str, path: str, body: Any = None, node: int | None = None
    ) -> Response:
        """One request of a user to some controller."""
        target = f"node-{self.rng.randrange(self.count) if node is None else node}"
        raw = b"" if body is None else cbor2.dumps(body)
        try:
            return await self.network.call("user", target, Request(method, path, raw), 5.0)
        except HttpError:
            return Response(0)

    async def submit(self, spec: dict[str, Any], tries: int = 40) -> int:
        """Submit until accepted or refused for good; the last status."""
        self.specs[spec["id"]] = spec
        for _ in range(tries):
            status = await self.offer(spec)
            if status in (200, 201, 400, 422):
                return status
            await anyio.sleep(1.0)
        return status

    async def offer(self, spec: dict[str, Any], node: int | None = None) -> int:
        """Send a submission once, and check the answer; its status."""
        job_id, asked = spec["id"], now()
        known = job_id in self.answers.accepted_at
        answer = await self.ask("POST", "/work", spec, node)
        if answer.status in (200, 201):
            if answer.status == 201:
                self.answers.anew(job_id, asked)
                if lacking(spec) or misfit(spec, TYPES, ZONES, self.teams):
                    self.breaks("accepted_bad", f"{job_id} can't run or lacks a field")
            first = job_id not in self.accepted
            self.accepted.add(job_id)
            self._told(job_id, self._standing(job_id, answer), asked)
            if first:
                self.look(job_id, "accepted")
        elif answer.status in (400, 422) and known:
            self.answers.unknown(job_id, asked, answer.status)
        return answer.status

    async def poll(self, job_id: str, node: int | None = None) -> dict[str, Any] | None:
        """Ask for a job's state, and check the answer."""
        asked = now()
        answer = await self.ask("GET", f"/work/{job_id}", node=node)
        if answer.status == 404:
            self.answers.unknown(job_id, asked, 404)
        if answer.status != 200:
            return None
        if job_id not in self.specs:
            self.breaks("invented", job_id)
            return None
        body: dict[str, Any] = cbor2.loads(answer.body)
        self._told(job_id, self._standing(job_id, answer), asked)
        if body["standing"] in ("pending", "running"):
            for name in self.needed(job_id):
                if asked - self.cancelled_at.get(name, asked) > self.cancel_s:
                    self.breaks("orphaned", f"{job_id} after {name}")
        return body

    def _standing(self, job_id: str, answer: Response) -> str:
        """How a job stands by an answer, which must be about this job."""
        body = cbor2.loads(answer.body)
        if body["id"] != job_id:
            self.breaks("mixed_up", f"{job_id} was asked for, {body['id']} answered")
        return str(body["standing"])

    def _told(self, job_id: str, state: str, asked: float) -> None:
        """A user is told how a job stands."""
        first = job_id not in self.answers.over
        self.answers.told(job_id, state, asked, now())
        if state == "cancelled":
            if not self.cancelled_at.keys() & {job_id, *self.needed(job_id)}:
                self.breaks("went_back", f"{job_id} was not cancelled by its user")
            # Whichever answer says so first: a question's counts as well as the cancellation's.
            if job_id in self.cancelled_at:
                self.cancelled_at[job_id] = min(self.cancelled_at[job_id], now())
        if state == "done" and not self.is_done(job_id):
            self.breaks("not_done", job_id)
        if first and state in OVER:
            self.look(job_id, state)

    def look(self, job_id: str, event: str) -> None:
        """Users look closely: they ask at all nodes within milliseconds, and submit once more."""
        if not self.close_looks or self.rng.random() >= self.close_looks:
            return
        self.met[f"looked at when {event}"] += 1
        for node in range(self.count):
            for ask in (self.poll(job_id, node), self.offer(self.specs[job_id], node)):
                self.network.start(functools.partial(self._soon, ask))
        if event == "accepted" and self.rng.random() < 0.3:
            self.network.start(functools.partial(self.cancel, job_id, 240))

    async def _soon(self, ask: Awaitable[Any]) -> None:
        await anyio.sleep(self.rng.uniform(0.0, 0.005))
        await ask

    async def cancel(self, job_id: str, tries: int = 40, node: int | None = None) -> str | None:
        """Cancel until answered; the state told."""
        for _ in range(tries):
            asked = now()
            self.cancelled_at.setdefault(job_id, float("inf"))
            answer = await self.ask("POST", f"/work/{job_id}/cancel", node=node)
            if answer.status == 200:
                state = self._standing(job_id, answer)
                if state not in OVER:
                    self.breaks("went_back", f"{job_id} is {state} to who cancels it")
                self._told(job_id, state, asked)
                return state
            if answer.status == 404:
                self.answers.unknown(job_id, asked, 404)
            await anyio.sleep(max(0.0, asked + 1.0 - now()))
        return None

    async def until_running(self, job_id: str, replicas: int, seconds: float = 30.0) -> None:
        """Poll until a service is whole: a trouble that ended just now may have cost it replicas."""
        with anyio.fail_after(seconds):
            while (await self.poll(job_id) or {}).get("running") != replicas:
                await anyio.sleep(1.0)

    async def until_done(self, ids: list[str], seconds: float) -> list[str]:
        """Poll until these jobs are over; those that are not in time."""
        end = now() + seconds
        left = list(ids)
        while left and now() < end:
            for job_id in list(left):
                body = await self.poll(job_id)
                if body is not None and body["standing"] in ("done", "cancelled"):
                    left.remove(job_id)
            await anyio.sleep(1.0)
        return left
