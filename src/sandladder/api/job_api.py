"""Users' requests: submissions, questions and cancellations, each answered at once."""

import logging
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import anyio
import msgspec

from sandladder import clock
from sandladder.jobs import SubmittedDependencies, cancel, rejection, submit
from sandladder.model import (
    CANCELLED,
    DONE,
    GANG,
    SCHEMA_V1,
    SCHEMA_V2,
    SERVICE,
    DependencyOutcome,
    FinishedJob,
    Job,
    JobSpec,
)
from sandladder.peers import BUSY, PendingResponse
from sandladder.protocol import wire
from sandladder.state import (
    FINAL,
    JOB,
    P_USER,
    PendingChange,
    PreconditionFailedError,
    StoreRequestError,
    Transaction,
    job_value,
    split_value,
)
from sandladder.transport import Request, Response

if TYPE_CHECKING:
    from sandladder.controller import Controller

log = logging.getLogger(__name__)


class JobApi:
    """Answers the requests to a controller's public address."""

    def __init__(self, controller: "Controller") -> None:
        self._c = controller

    async def handle(self, request: Request) -> Response:
        """Answer one request to the node's public address."""
        path = request.path.partition("?")[0]
        if path == wire.REPORT:
            return await self.guarded(
                lambda: self._only("POST", request, self._c.agent_service.report), path
            )
        if path == wire.HEALTH:
            return await self._only("GET", request, self._health)
        # Users' requests are idempotent.  One that the state service leaves waiting here is
        # given to a peer that reaches it, at once when we know that we do not.
        # A submission that names others goes to none that might not understand it.
        names = path == wire.JOBS and wire.names_others(request.body)
        peer = self._c.peers.abler(SCHEMA_V2 if names else SCHEMA_V1)
        if peer is None:
            return await self.guarded(lambda: self.route(request), path)
        if self._c.store_reachable():
            answer = await self._unless_cut_off(request, path)
            if answer is not None:
                return answer
            log.info("the state service does not answer: %s goes to %s", path, peer)
        return await self._c.peers.relay(request, peer)

    async def _unless_cut_off(self, request: Request, path: str) -> Response | None:
        """Serve a request here, but give up when the state service stops answering us."""
        served = PendingResponse()

        async def serve() -> None:
            served.answer = await self.guarded(lambda: self.route(request), path)
            served.arrived.set()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(serve)
            while served.answer is None:
                with anyio.move_on_after(self._c.report_s / 16):
                    await served.arrived.wait()
                if clock.now() - self._c.store.ok_at > self._c.report_s / 8:
                    break
            tasks.cancel_scope.cancel()
        return served.answer

    async def guarded(self, serve: Callable[[], Awaitable[Response]], path: str) -> Response:
        """Turn whatever goes wrong into an answer."""
        try:
            return await serve()
        except (StoreRequestError, TimeoutError):
            return BUSY
        except Exception:
            log.exception("a request failed: %s", path)
            return Response(500, wire.error_body("internal error"), 1)

    async def route(self, request: Request) -> Response:
        path = request.path.partition("?")[0]
        if path == wire.JOBS:
            return await self._only("POST", request, self._submit)
        if path.startswith(wire.JOBS + "/"):
            job_id, _, action = path[len(wire.JOBS) + 1 :].partition("/")
            if action == "cancel":
                return await self._only("POST", request, lambda r: self._cancel(job_id))
            if not action:
                return await self._only("GET", request, lambda r: self._status(job_id))
        return Response(404, wire.error_body("no such path"))

    @staticmethod
    async def _only(
        method: str, request: Request, handler: Callable[[Request], Awaitable[Response]]
    ) -> Response:
        if request.method != method:
            return Response(405, wire.error_body("wrong method"))
        return await handler(request)

    async def _health(self, request: Request) -> Response:
        ready = self._c.watch.loaded and bool(self._c.cache.types)
        if not ready or (not self._c.store_reachable() and self._c.peers.abler() is not None):
            return Response(503)
        return Response(200)

    async def _lookup(self, job_id: str) -> Job | FinishedJob | None:
        """A job as of now: read after the question came."""
        cache = self._c.cache
        final = cache.final(job_id)
        if final is not None:
            return final  # finished jobs do not change
        with anyio.fail_after(self._c.report_s / 2):
            await self._c.watch.barrier()
            if JOB + job_id in cache.unreadable:
                raise StoreRequestError("its record cannot be read")
            job = cache.jobs.get(job_id)
            if job is not None:
                # A job that one of these dooms has been called cancelled perhaps, by a
                # controller that knew of it: no later answer may be older.
                unknown = cache.dependency_index.uncertain(job)
                if unknown:
                    await self._c.dependency_resolver.resolve(unknown)
                return job
            return (await self._c.dependency_resolver.finished_jobs([job_id]))[job_id]

    async def _status(self, job_id: str) -> Response:
        if not wire.is_job_id(job_id):
            return Response(404, wire.error_body("no such job"))
        return self._state_answer(job_id, await self._lookup(job_id))

    def _state_answer(self, job_id: str, found: Job | FinishedJob | None) -> Response:
        if found is None:
            return Response(404, wire.error_body("no such job"))
        if isinstance(found, FinishedJob):
            return Response(200, wire.job_status(job_id, found.state, found.done))
        running = len(found.live)
        state = self._standing(found)
        return Response(200, wire.job_status(job_id, state, found.done.count, running))

    def _standing(self, job: Job) -> str:
        """A live job's state; one that can never start is cancelled, as the records imply."""
        doomed = self._c.cache.dependency_index.fate(job) is DependencyOutcome.DOOMED
        return CANCELLED if doomed else job.state

    async def _submit(self, request: Request) -> Response:
        try:
            spec, dependencies = wire.parse_job(request.body)
            problem, status = None, 0
        except wire.MalformedMessageError as error:
            problem, status = str(error), 400
            job_id = wire.id_of(request.body)
            if job_id is None:
                return Response(400, wire.error_body(problem))
        else:
            job_id = spec.id
            if job_id in self._c.cache.jobs or self._c.cache.final(job_id):
                return self._state_answer(job_id, await self._lookup(job_id))
            if not self._c.cache.types:
                return Response(503, wire.error_body("the machine types are not known yet"), 1)
            problem = rejection(spec, self._c.cache.types, self._c.cluster_view.limits)
            status = 422
        needs = SubmittedDependencies()
        if problem is None and dependencies:
            if self._c.cache.schema_version == SCHEMA_V1 and await self._lookup(job_id) is None:
                # A controller of the version before would start it at once.
                text = "not all controllers know of jobs that wait for others yet"
                return Response(503, wire.error_body(text), 1)
            needs, problem = await self._needs(spec, dependencies)
        if problem is None:
            problem = self._unfit(spec, needs)
        if problem is not None:
            # A job that was accepted stays so, whatever a later submission says.
            found = await self._lookup(job_id)
            if found is not None:
                return self._state_answer(job_id, found)
            return Response(status, wire.error_body(problem))
        if self._c.committer.full or not self._c.store_reachable():
            return BUSY
        now = self._c.wall()
        change = PendingChange(
            f"submission of {job_id}",
            P_USER,
            1,
            lambda transaction: self._apply_submit(transaction, spec, now, needs),
            final=FINAL + job_id,
        )
        try:
            with anyio.fail_after(self._c.report_s):
                await self._c.committer.add(change).wait()
        except PreconditionFailedError:
            found = await self._lookup(job_id)
            return BUSY if found is None else self._state_answer(job_id, found)
        self._c.peers.notify({self._c.peers.assignee(spec.team)})
        # Another node may have told more already, from the same commit: no less is said here.
        found = self._c.cache.jobs.get(job_id) or self._c.cache.final(job_id)
        return self._state_answer(job_id, found)._replace(status=201)

    async def _needs(
        self, spec: JobSpec, dependencies: tuple[str, ...]
    ) -> tuple[SubmittedDependencies, str | None]:
        """What a submission names, as of now, and why it cannot be accepted, if so."""
        cache = self._c.cache
        if spec.id in dependencies:
            return SubmittedDependencies(), "awaits: a job cannot wait for itself"
        live: list[Job] = []
        over: list[str] = []
        with anyio.fail_after(self._c.report_s / 2):
            await self._c.watch.barrier()
            for name in dependencies:
                if JOB + name in cache.unreadable:
                    raise StoreRequestError(f"the record of {name} cannot be read")
                job = cache.jobs.get(name)
                if job is None:
                    over.append(name)
                elif job.spec.kind == SERVICE:
                    return SubmittedDependencies(), f"awaits: {name} is a service and never done"
                else:
                    live.append(job)
            finished_jobs = await self._c.dependency_resolver.finished_jobs(over)
        for name, final in finished_jobs.items():
            if final is None:
                return SubmittedDependencies(), f"awaits: {name} was never accepted"
        doomed = any(final and final.state == CANCELLED for final in finished_jobs.values())
        doomed = doomed or any(self._standing(job) == CANCELLED for job in live)
        return SubmittedDependencies(tuple(job.id for job in live), doomed), None

    def _unfit(self, spec: JobSpec, needs: SubmittedDependencies) -> str | None:
        """Why the store could not keep this job, or None."""
        limits = self._c.limits
        record = job_value(Job(spec, self._c.wall(), needs.live))
        if self._c.cache.schema_version == SCHEMA_V1:
            size = len(msgspec.json.encode(record))
        else:
            parts = split_value(record, limits.value_bytes)
            size = sum(len(msgspec.json.encode(part)) for part in parts)
            if spec.kind == GANG and spec.tasks > limits.most_live(size):
                return "so many tasks at a time are more than can be kept"
        return "its description is too large to be kept" if size > limits.spec_room() else None

    @staticmethod
    def _apply_submit(
        transaction: Transaction, spec: JobSpec, now: float, needs: SubmittedDependencies
    ) -> bool:
        submit(transaction, spec, now, needs)
        return True

    async def _cancel(self, job_id: str) -> Response:
        if not wire.is_job_id(job_id):
            return Response(404, wire.error_body("no such job"))
        found = await self._lookup(job_id)
        if found is None:
            return Response(404, wire.error_body("no such job"))
        if isinstance(found, FinishedJob):
            return Response(200, wire.job_status(job_id, found.state))
        if self._standing(found) == CANCELLED:
            return self._cancelled(job_id)

        def apply(transaction: Transaction) -> bool:
            cancel(transaction, job_id, self._c.wall())
            return True

        reporting_controllers = set()
        for attempt in found.live.values():
            observation = self._c.cluster_view.observation(attempt.machine)
            if observation is not None:
                reporting_controllers.add(observation.reporting_controller)
        try:
            with anyio.fail_after(self._c.report_s):
                await self._c.committer.add(
                    PendingChange(f"cancel {job_id}", P_USER, 2, apply)
                ).wait()
        except PreconditionFailedError:
            found = await self._lookup(job_id)
            if found is None or found.state not in (DONE, CANCELLED):
                return BUSY
            if found.state == DONE:
                return Response(200, wire.job_status(job_id, DONE))
        self._c.peers.notify(reporting_controllers)
        return self._cancelled(job_id)

    def _cancelled(self, job_id: str) -> Response:
        """Tell a user that a job is cancelled, and the other controllers first.

        Also where somebody else's commit, or one of ours whose answer was lost, did it.
        """
        if job_id in self._c.cache.cancelled:
            self._c.peers.announce_cancellations()
        return Response(200, wire.job_status(job_id, CANCELLED))
