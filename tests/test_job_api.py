"""The job API: routing, status codes, idempotent requests and forwarding to peers."""

from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import anyio
import cbor2
import pytest

from helpers import LIMITS, accept, commit, scheduler_with_two_machines, spec
from sandladder import clock
from sandladder.api import (
    AdmissionCheck,
    CancellationService,
    DependencyCheck,
    HealthCheck,
    JobApi,
    JobLookup,
    JobRouter,
    RequestForwarder,
    SubmissionService,
)
from sandladder.api.answers import (
    AcceptedJob,
    Answer,
    Healthy,
    InternalFailure,
    KnownJob,
    MalformedSubmission,
    NeverRunnable,
    RetryLater,
    Unhealthy,
    UnknownJob,
    UnknownPath,
    WrongMethod,
)
from sandladder.jobs import start
from sandladder.model import CANCELLED, DONE, PENDING, SCHEMA_V1, SCHEMA_V2, FinishedJob, Job
from sandladder.state import (
    PendingChange,
    PreconditionFailedError,
    StateCache,
    StoreLimits,
    StoreRequestError,
    Transaction,
    job_value,
)
from sandladder.transport import Request, Response
from simulation import VirtualTimeEventLoop, job, settings

REPORT_S = 2.0
STATUS_QUERY = Request("GET", "/work/job-000001", b"")
OK_HERE, OK_THERE = Response(200, b"here"), Response(200, b"there")


@pytest.mark.parametrize(
    ("answer", "status", "retry_after", "body"),
    [
        (KnownJob("job-000001", PENDING), 200, None, {"id": "job-000001", "standing": "pending"}),
        (
            KnownJob("job-000001", DONE, 3, 0),
            200,
            None,
            {"id": "job-000001", "standing": "done", "done": 3, "running": 0},
        ),
        (
            AcceptedJob("job-000001", PENDING, 0, 0),
            201,
            None,
            {"id": "job-000001", "standing": "pending", "done": 0, "running": 0},
        ),
        (MalformedSubmission("not CBOR"), 400, None, {"error": "not CBOR"}),
        (UnknownJob(), 404, None, {"error": "no such job"}),
        (UnknownPath(), 404, None, {"error": "no such path"}),
        (WrongMethod(), 405, None, {"error": "wrong method"}),
        (NeverRunnable("unknown team"), 422, None, {"error": "unknown team"}),
        (InternalFailure(), 500, 1, {"error": "internal error"}),
        (RetryLater(), 503, 1, {"error": "cannot be taken now"}),
        (Healthy(), 200, None, None),
        (Unhealthy(), 503, None, None),
    ],
    ids=lambda value: type(value).__name__ if isinstance(value, Answer) else "",
)
def test_each_answer_encodes_the_status_and_body_of_the_protocol(
    answer: Answer, status: int, retry_after: int | None, body: Any
) -> None:
    encoded = b"" if body is None else cbor2.dumps(body)
    assert answer.response() == Response(status, encoded, retry_after)
    assert type(answer.response().status) is int


class RecordingServices:
    """Fake services behind the router that record their calls."""

    def __init__(self) -> None:
        self.calls: list[tuple[str, object]] = []

    async def submit(self, body: bytes) -> Answer:
        self.calls.append(("submit", body))
        return AcceptedJob("job-000001", PENDING)

    async def status(self, job_id: str) -> Answer:
        self.calls.append(("status", job_id))
        return KnownJob(job_id, PENDING)

    async def cancel(self, job_id: str) -> Answer:
        self.calls.append(("cancel", job_id))
        return KnownJob(job_id, CANCELLED)


@pytest.mark.parametrize(
    ("method", "path", "status", "calls"),
    [
        ("POST", "/work", 201, [("submit", b"body")]),
        ("POST", "/work?x=1", 201, [("submit", b"body")]),
        ("GET", "/work", 405, []),
        ("GET", "/work/job-000001", 200, [("status", "job-000001")]),
        ("POST", "/work/job-000001", 405, []),
        ("POST", "/work/job-000001/cancel", 200, [("cancel", "job-000001")]),
        ("GET", "/work/job-000001/cancel", 405, []),
        ("GET", "/work/job-000001/0", 404, []),
        ("GET", "/works", 404, []),
        ("GET", "/", 404, []),
    ],
)
def test_a_request_is_routed_by_path_and_method(
    method: str, path: str, status: int, calls: list[tuple[str, object]]
) -> None:
    services = RecordingServices()
    router = JobRouter(services, services, services)

    async def main() -> None:
        assert (await router.serve(Request(method, path, b"body"))).status == status

    anyio.run(main)
    assert services.calls == calls


class FakePeers:
    """Fake peer service that records what is sent to peers and answers forwarded requests."""

    def __init__(self, peer_schema: int | None) -> None:
        # The newest schema that the only serving peer knows; None without one.
        self._peer_schema = peer_schema
        self.forwarded: list[Request] = []
        self.notified: list[set[str]] = []
        self.announced = 0

    def find_serving_peer(self, schema_version: int = SCHEMA_V1) -> str | None:
        return (
            "node-1"
            if self._peer_schema is not None and self._peer_schema >= schema_version
            else None
        )

    async def forward(self, request: Request, peer: str) -> Response:
        assert peer == "node-1"
        self.forwarded.append(request)
        return OK_THERE

    def assignee(self, team: str) -> str:
        return f"controller of {team}"

    def notify(self, nodes: set[str]) -> None:
        self.notified.append(nodes)

    def announce_cancellations(self) -> None:
        self.announced += 1


def serve_with_forwarder(
    peers: FakePeers,
    *,
    request: Request = STATUS_QUERY,
    reachable: bool = True,
    store_answers: bool = True,
    duration_s: float = 0.0,
) -> Response:
    """Serve a request through a forwarder in virtual time; serving it here takes `duration_s`."""

    async def main() -> Response:
        store = SimpleNamespace(last_answer_at=clock.now())
        forwarder = RequestForwarder(peers, store, lambda: reachable, REPORT_S)

        async def serve_here(request: Request) -> Response:
            deadline = clock.now() + duration_s
            while clock.now() < deadline:
                await anyio.sleep(REPORT_S / 32)
                if store_answers:
                    store.last_answer_at = clock.now()
            return OK_HERE

        return await forwarder.serve(request, serve_here)

    return anyio.run(main, backend_options={"loop_factory": VirtualTimeEventLoop})


def test_a_request_is_served_here_when_no_peer_reaches_the_store() -> None:
    peers = FakePeers(None)
    assert serve_with_forwarder(peers, reachable=False) == OK_HERE
    assert peers.forwarded == []


def test_a_request_is_served_here_while_the_store_answers() -> None:
    peers = FakePeers(SCHEMA_V2)
    assert serve_with_forwarder(peers, duration_s=REPORT_S) == OK_HERE
    assert peers.forwarded == []


def test_a_request_is_forwarded_at_once_when_the_store_is_known_to_be_unreachable() -> None:
    peers = FakePeers(SCHEMA_V2)
    assert serve_with_forwarder(peers, reachable=False) == OK_THERE
    assert len(peers.forwarded) == 1


def test_a_waiting_request_is_forwarded_when_the_store_stops_answering() -> None:
    peers = FakePeers(SCHEMA_V2)
    assert serve_with_forwarder(peers, store_answers=False, duration_s=60.0) == OK_THERE
    assert len(peers.forwarded) == 1


@pytest.mark.parametrize(
    ("dependencies", "peer_schema", "expected"),
    [
        (None, SCHEMA_V1, OK_THERE),
        (["job-000002"], SCHEMA_V1, OK_HERE),
        (["job-000002"], SCHEMA_V2, OK_THERE),
    ],
)
def test_a_submission_with_dependencies_is_not_forwarded_to_a_peer_that_ignores_them(
    dependencies: list[str] | None, peer_schema: int, expected: Response
) -> None:
    request = Request("POST", "/work", cbor2.dumps(job(1, awaits=dependencies)))
    assert (
        serve_with_forwarder(FakePeers(peer_schema), request=request, reachable=False) == expected
    )


def job_api(heartbeat: Callable[[Request], Any], router: Any = None, health: Any = None) -> JobApi:
    forwarder = RequestForwarder(FakePeers(None), SimpleNamespace(), lambda: True, REPORT_S)
    return JobApi(router or JobRouter(*[RecordingServices()] * 3), forwarder, health, heartbeat)


@pytest.mark.parametrize(
    ("error", "expected"),
    [
        (StoreRequestError("status 503"), RetryLater()),
        (TimeoutError(), RetryLater()),
        (ValueError("a fault"), InternalFailure()),
    ],
)
@pytest.mark.parametrize("path", ["/v1/report", "/work"])
def test_an_error_becomes_a_retriable_answer(path: str, error: Exception, expected: Answer) -> None:
    async def fail(request: Request) -> Response:
        raise error

    async def main() -> None:
        api = job_api(fail, SimpleNamespace(serve=fail))
        assert await api.handle(Request("POST", path, b"")) == expected.response()

    anyio.run(main)


def test_heartbeats_are_served_only_by_their_handler() -> None:
    async def heartbeat(request: Request) -> Response:
        return Response(421, request.body)

    async def main() -> None:
        api = job_api(heartbeat)
        assert await api.handle(Request("POST", "/v1/report", b"x")) == Response(421, b"x")
        assert (await api.handle(Request("GET", "/v1/report", b""))).status == 405

    anyio.run(main)


@pytest.mark.parametrize(
    ("loaded", "types", "reachable", "peer_schema", "status"),
    [
        (True, True, True, None, 200),
        (True, True, True, SCHEMA_V1, 200),
        (True, True, False, None, 200),
        (True, True, False, SCHEMA_V1, 503),
        (False, True, True, None, 503),
        (True, False, True, None, 503),
    ],
)
def test_a_controller_is_unhealthy_if_not_loaded_or_if_only_a_peer_reaches_the_store(
    loaded: bool, types: bool, reachable: bool, peer_schema: int | None, status: int
) -> None:
    cache, watch = SimpleNamespace(machine_types={"small": 1} if types else {}), SimpleNamespace()
    watch.loaded = loaded
    health = HealthCheck(cache, watch, FakePeers(peer_schema), lambda: reachable)

    async def main() -> None:
        api = job_api(lambda request: None, health=health)
        assert await api.handle(Request("GET", "/healthz", b"")) == Response(status)
        assert (await api.handle(Request("POST", "/healthz", b""))).status == 405

    anyio.run(main)


class FakeCommitter:
    """Fake committer that applies each change to the cache at once or rejects it."""

    full = False

    def __init__(self, cache: StateCache) -> None:
        self._cache = cache
        self.rejection: PreconditionFailedError | None = None
        self.changes: list[str] = []
        self.on_add: Callable[[], object] = list  # called before a change is applied

    def add(self, change: PendingChange) -> PendingChange:
        self.changes.append(change.name)
        self.on_add()
        transaction = Transaction(self._cache)
        try:
            if self.rejection is not None:
                raise self.rejection
            change.apply(transaction)
        except PreconditionFailedError as refusal:
            change.resolve(refusal)
            return change
        written = [(key, value) for key, value, _ in transaction.changes()]
        self._cache.apply_own_commit(self._cache.revision + 1, written)
        self._cache.apply(self._cache.revision + 1, [])
        change.resolve()
        return change


class Services:
    """The services of the job API over a cache that is always up to date."""

    def __init__(self) -> None:
        cluster_view, self.planner, self.cache, _ = scheduler_with_two_machines()
        self.peers = FakePeers(None)
        self.committer = FakeCommitter(self.cache)
        self.reachable = True
        self.barriers = 0
        self.reads: list[str] = []
        self.on_read: Callable[[list[str]], object] = list  # called with the jobs read
        lookup = JobLookup(self.cache, self, self, REPORT_S)
        admission = AdmissionCheck(
            lookup,
            DependencyCheck(lookup),
            self.cache,
            StoreLimits(settings(0, 1).platform.deployment.state, self.cache),
            {"red": LIMITS},
            lambda: 0.0,
        )
        self.submissions = SubmissionService(
            lookup=lookup,
            admission=admission,
            cache=self.cache,
            committer=self.committer,
            peers=self.peers,
            store_reachable=lambda: self.reachable,
            wall_clock=lambda: 0.0,
            timeout_s=REPORT_S,
        )
        self.cancellations = CancellationService(
            lookup=lookup,
            cache=self.cache,
            cluster_view=cluster_view,
            committer=self.committer,
            peers=self.peers,
            wall_clock=lambda: 0.0,
            timeout_s=REPORT_S,
        )
        self.lookup = lookup

    async def barrier(self) -> None:
        """Replace `StoreWatch.barrier`; the cache is always up to date."""
        self.barriers += 1

    async def read_finished_jobs(self, names: list[str]) -> dict[str, FinishedJob | None]:
        """Replace `DependencyResolver.read_finished_jobs`; no record is outside the cache."""
        self.reads += names
        self.on_read(names)
        return {name: self.cache.finished_job(name) for name in names}

    def submit(self, number: int, **fields: Any) -> Answer:
        body = {k: v for k, v in (job(number) | fields).items() if v is not None}
        return anyio.run(self.submissions.submit, cbor2.dumps(body))

    def cancel(self, job_id: str) -> Answer:
        return anyio.run(self.cancellations.cancel, job_id)

    def status(self, job_id: str) -> Answer:
        return anyio.run(self.lookup.status, job_id)


def test_a_job_is_accepted_once_it_is_committed() -> None:
    services = Services()
    assert services.submit(1) == AcceptedJob("job-000001", PENDING, 0, 0)
    assert services.committer.changes == ["submission of job-000001"]
    assert services.peers.notified == [{"controller of red"}]
    assert services.status("job-000001") == KnownJob("job-000001", PENDING, 0, 0)


@pytest.mark.parametrize(
    "fields",
    [{}, {"entries": 9}, {"bureau": "green"}, {"vcpus": None}, {"form": "heap"}, {"vcpus": 500.0}],
)
def test_a_submission_of_an_accepted_job_is_answered_with_its_state(fields: dict[str, Any]) -> None:
    services = Services()
    accept(services.cache)
    assert services.submit(1, **fields) == KnownJob("job-000001", PENDING, 0, 0)
    assert services.committer.changes == []


def test_a_submission_committed_concurrently_by_another_controller_is_not_refused() -> None:
    services = Services()
    services.committer.rejection = PreconditionFailedError("known")
    assert services.submit(1) == RetryLater()
    accept(services.cache)
    assert services.submit(1) == KnownJob("job-000001", PENDING, 0, 0)


@pytest.mark.parametrize(
    ("fields", "refusal"),
    [
        ({"vcpus": None}, MalformedSubmission("vcpus: a number is needed")),
        ({"bureau": "green"}, NeverRunnable("unknown team")),
        ({"vcpus": 500.0}, NeverRunnable("a task fits no allowed machine type")),
        ({"awaits": ["job-000001"]}, NeverRunnable("awaits: a job cannot wait for itself")),
        ({"awaits": ["job-000002"]}, NeverRunnable("awaits: job-000002 was never accepted")),
    ],
)
def test_a_submission_that_can_never_run_is_refused_after_a_current_read(
    fields: dict[str, Any], refusal: Answer
) -> None:
    services = Services()
    services.cache.schema_version = SCHEMA_V2
    assert services.submit(1, **fields) == refusal
    assert services.barriers and services.committer.changes == []


def test_a_submission_is_retried_while_the_machine_types_are_unknown() -> None:
    services = Services()
    services.cache.machine_types.clear()
    assert services.submit(1, vcpus=500.0) == RetryLater("the machine types are not known yet")


def test_dependencies_are_accepted_once_all_controllers_understand_them() -> None:
    services = Services()
    accept(services.cache, number=2)
    services.cache.schema_version = SCHEMA_V1
    refused = services.submit(1, awaits=["job-000002"])
    assert isinstance(refused, RetryLater) and "not all controllers" in refused.reason
    services.cache.schema_version = SCHEMA_V2
    assert isinstance(services.submit(1, awaits=["job-000002"]), AcceptedJob)
    assert services.cache.jobs["job-000001"].dependencies == ("job-000002",)


@pytest.mark.parametrize("condition", ["full", "unreachable"])
def test_a_submission_that_cannot_be_committed_now_is_retried(condition: str) -> None:
    services = Services()
    services.reachable = condition != "unreachable"
    services.committer.full = condition == "full"
    assert services.submit(1) == RetryLater()
    assert services.committer.changes == []


def test_each_cancellation_of_a_running_job_is_announced_to_the_other_controllers() -> None:
    services = Services()
    found = accept(services.cache)
    transaction = Transaction(services.cache)
    start(transaction, found.id, [p.placement for p in services.planner.plan([found], {})], LIMITS)
    commit(services.cache, transaction)
    for attempt in (1, 2):
        assert services.cancel(found.id) == KnownJob(found.id, CANCELLED)
        assert services.peers.announced == attempt
    assert services.peers.notified == [{"node-0"}], "the controller that commands its machines"
    assert services.committer.changes == [f"cancel {found.id}"]


def test_a_cancellation_notifies_the_controllers_of_starts_that_were_committed_meanwhile() -> None:
    """Guards against a cancellation that notifies those of the record before its commit."""
    services = Services()
    found = accept(services.cache)

    def start_tasks() -> None:
        transaction = Transaction(services.cache)
        placements = [pending.placement for pending in services.planner.plan([found], {})]
        start(transaction, found.id, placements, LIMITS)
        commit(services.cache, transaction)

    services.committer.on_add = start_tasks
    assert services.cancel(found.id) == KnownJob(found.id, CANCELLED)
    assert services.peers.notified == [{"node-0"}]


def test_a_refused_cancellation_is_answered_with_the_state_that_its_dependency_gives() -> None:
    """Guards against a 503 about a job whose dependency was cancelled during the commit."""
    services = Services()
    services.cache.schema_version = SCHEMA_V2
    accept(services.cache, number=2)
    assert isinstance(services.submit(1, awaits=["job-000002"]), AcceptedJob)
    cancelled = FinishedJob(CANCELLED, 0)
    services.committer.on_add = lambda: services.cache.add_finished_job("job-000002", cancelled)
    services.committer.rejection = PreconditionFailedError("an outdated version")
    assert services.cancel("job-000001") == KnownJob("job-000001", CANCELLED)


def test_a_cancellation_is_idempotent_and_persists_after_a_repeated_submission() -> None:
    services = Services()
    accept(services.cache)
    for _ in range(2):
        assert services.cancel("job-000001") == KnownJob("job-000001", CANCELLED)
    assert services.committer.changes == ["cancel job-000001"]
    assert services.status("job-000001").state == CANCELLED
    assert isinstance(services.submit(1), KnownJob)


def test_cancelling_a_job_that_finishes_concurrently_returns_its_final_state() -> None:
    services = Services()
    accept(services.cache)
    services.committer.rejection = PreconditionFailedError("not live")
    assert services.cancel("job-000001") == RetryLater()
    services.cache.add_finished_job("job-000001", FinishedJob(DONE, 2))
    assert services.cancel("job-000001") == KnownJob("job-000001", DONE)


@pytest.mark.parametrize("job_id", ["job-000009", "job-1", "none", ""])
def test_a_job_that_was_never_accepted_is_unknown(job_id: str) -> None:
    services = Services()
    assert services.status(job_id) == services.cancel(job_id) == UnknownJob()


def test_a_job_with_an_unreadable_record_is_not_reported_as_unknown() -> None:
    services = Services()
    services.cache.unreadable.add("s/j/job-000001")
    for serve in (services.status, services.cancel):
        with pytest.raises(StoreRequestError):
            serve("job-000001")


@pytest.mark.parametrize(("state", "reads"), [(DONE, 4), (CANCELLED, 1)])
def test_an_answer_is_that_of_the_records_after_the_last_read(state: str, reads: int) -> None:
    """Guards against answers of a record from before a read, and against reading without end.

    A chain of jobs is archived link by link, each while the outcome of the one before is read.
    """
    services = Services()
    cache = services.cache
    for number in (2, 3, 4):
        value = job_value(Job(spec(number), 0.0, (f"job-{number - 1:06d}",)))
        cache.apply(number, [(f"s/j/job-{number:06d}", value, number)])

    def archive_next(names: list[str]) -> None:
        cache.add_finished_job(names[0], FinishedJob(state, 0))
        cache.apply(cache.revision + 1, [(f"s/j/job-{len(services.reads) + 1:06d}", None, 99)])

    services.on_read = archive_next
    assert services.status("job-000004") == KnownJob("job-000004", state, 0, 0)
    assert services.reads == [f"job-{number:06d}" for number in range(1, reads + 1)]
    accept(cache, number=9)
    assert services.status("job-000009").state == PENDING and len(services.reads) == reads
