"""The duty that lets jobs follow those that they need: released, or cancelled with them."""

import logging
from typing import TYPE_CHECKING

import anyio

from sandladder import clock
from sandladder.concurrency import Signal
from sandladder.jobs.transitions import cancel
from sandladder.model import FinishedJob
from sandladder.state import (
    FINAL,
    P_USER,
    PendingChange,
    PreconditionFailedError,
    StoreRequestError,
    Transaction,
    read_finished_job,
)

if TYPE_CHECKING:
    from sandladder.controller import Controller

log = logging.getLogger(__name__)

# Records of finished jobs that are read at a time.
_AT_ONCE = 8


class DependencyResolver:
    """Reads what awaited jobs came to, and cancels the jobs that can never start.

    Everything is derived from the records: whoever lives finishes it, after any crash.
    """

    def __init__(self, controller: "Controller") -> None:
        self._c = controller
        self.due = Signal()
        self._doomed_since: dict[str, float] = {}
        self._under_way: set[str] = set()
        self._missing: dict[str, float] = {}  # of which nothing was found, and when to look again

    async def run(self) -> None:
        c = self._c
        while True:
            await self.due.wait(c.report_s / 4)
            if not c.watch.loaded:
                continue
            try:
                now = clock.now()
                names = c.cache.dependency_index.unknown()
                await self.resolve([n for n in names if self._missing.get(n, now) <= now])
            except StoreRequestError as error:
                log.debug("what awaited jobs came to cannot be read: %s", error)
                await anyio.sleep(c.report_s / 4)
            if c.controller_lease.alive():
                self._cancel_doomed()

    async def resolve(self, names: list[str]) -> None:
        """Read what awaited jobs came to that are not live."""
        for name, final in (await self.finished_jobs(names)).items():
            if final is not None:
                self._missing.pop(name, None)
                self._c.plan_due.set()
            elif name not in self._c.cache.jobs:
                # Named by an accepted job, so accepted, and gone: what needs it stays closed.
                if name not in self._missing:
                    log.error("nothing is known of %s, which others wait for", name)
                self._missing[name] = clock.now() + self._c.lease_s

    async def finished_jobs(self, names: list[str]) -> dict[str, FinishedJob | None]:
        """What these jobs came to, as read now where it is not known already."""
        cache = self._c.cache
        found: dict[str, FinishedJob | None] = {name: cache.final(name) for name in names}
        left = [name for name, final in found.items() if final is None]
        failures: list[StoreRequestError] = []

        async def read() -> None:
            while left and not failures:
                name = left.pop()
                try:
                    stored = await self._c.store.get(FINAL + name)
                except StoreRequestError as error:
                    failures.append(error)
                    return
                if stored is not None:
                    final = found[name] = read_finished_job(*stored)
                    cache.remember(name, final)

        async with anyio.create_task_group() as tasks:
            for _ in range(min(_AT_ONCE, len(left))):
                tasks.start_soon(read)
        if failures:
            raise failures[0]
        return found

    def _cancel_doomed(self) -> None:
        c = self._c
        now = clock.now()
        doomed = {job.id: job.spec.team for job in c.cache.dependency_index.doomed()}
        self._doomed_since = {job_id: self._doomed_since.get(job_id, now) for job_id in doomed}
        patience_s = c.settings.platform.deployment.workers.cancel_s / 8
        for job_id, team in doomed.items():
            late = now - self._doomed_since[job_id] > patience_s
            if job_id not in self._under_way and (late or c.peers.assignee(team) == c.node):
                self._under_way.add(job_id)
                assert c.tasks is not None
                c.tasks.start_soon(self._cancel, job_id)

    async def _cancel(self, job_id: str) -> None:
        c = self._c
        log.info("%s is cancelled with a job that it needs", job_id)

        def apply(transaction: Transaction) -> bool:
            cancel(transaction, job_id, c.wall())
            return True

        try:
            await c.committer.add(PendingChange(f"cancel {job_id}", P_USER, 2, apply)).wait()
        except PreconditionFailedError as refusal:
            log.debug("%s: %s", job_id, refusal)
        finally:
            self._under_way.discard(job_id)
