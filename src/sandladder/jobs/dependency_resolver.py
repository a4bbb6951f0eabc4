"""The duty that resolves dependencies: how they ended, and what follows for their dependents."""

import logging

import anyio

from sandladder import clock
from sandladder.concurrency import Signal
from sandladder.config import AgentSettings
from sandladder.jobs.dependent_canceller import DependentCanceller
from sandladder.membership import ControllerLease
from sandladder.model import FinishedJob
from sandladder.state import (
    FINISHED_JOB_PREFIX,
    StateCache,
    StoreClient,
    StoreRequestError,
    StoreWatch,
    read_finished_job,
)

log = logging.getLogger(__name__)

# Records of finished jobs that are read at a time.
_CONCURRENT_READS = 8


class DependencyResolver:
    """Reads how dependencies ended, and has the dependents of cancelled ones cancelled.

    Everything is derived from the records: any live controller finishes it, after any crash.
    """

    def __init__(
        self,
        workers: AgentSettings,
        store: StoreClient,
        cache: StateCache,
        watch: StoreWatch,
        controller_lease: ControllerLease,
        canceller: DependentCanceller,
        plan_due: Signal,
    ) -> None:
        """`plan_due` is raised when a dependency turns out to be over."""
        self._lease_s = workers.lease_s
        self._interval_s = workers.report_s / 4
        self._store = store
        self._cache = cache
        self._watch = watch
        self._controller_lease = controller_lease
        self._canceller = canceller
        self._plan_due = plan_due
        self.due = Signal()  # raised by others when the records have changed
        # Dependencies of which no record was found, and when to look again, on the steady clock.
        self._missing: dict[str, float] = {}

    async def run(self) -> None:
        """Resolve what is not resolved yet, until cancelled."""
        while True:
            await self.due.wait(self._interval_s)
            if not self._watch.loaded:
                continue
            try:
                await self._resolve_all()
            except StoreRequestError as error:
                log.debug("the outcome of dependencies cannot be read: %s", error)
                await anyio.sleep(self._interval_s)
            if self._controller_lease.alive():
                self._canceller.cancel_dependents()

    async def _resolve_all(self) -> None:
        now = clock.now()
        names = self._cache.dependency_index.unresolved()
        await self.resolve([name for name in names if self._missing.get(name, now) <= now])

    async def resolve(self, names: list[str]) -> None:
        """Read how jobs ended that are not live but named by accepted ones.

        Raises:
            StoreRequestError: some could not be read; what was read by then is kept.
        """
        for name, final in (await self.read_finished_jobs(names)).items():
            if final is not None:
                self._missing.pop(name, None)
                self._plan_due.set()
            elif name not in self._cache.jobs:
                # Named by an accepted job, so accepted, and gone: its dependents never start.
                if name not in self._missing:
                    log.error("there is no record of %s, on which others depend", name)
                self._missing[name] = clock.now() + self._lease_s

    async def read_finished_jobs(self, names: list[str]) -> dict[str, FinishedJob | None]:
        """How these jobs ended, read now where it is not in memory; None: not among the finished.

        Cancelled, it leaves in memory what was read by then.

        Raises:
            StoreRequestError: some could not be read.
        """
        found: dict[str, FinishedJob | None] = {
            name: self._cache.finished_job(name) for name in names
        }
        unread = [name for name, final in found.items() if final is None]
        # Collected, as the task group would wrap what is raised in it.
        failures: list[StoreRequestError] = []

        async def read_next() -> None:
            while unread and not failures:
                name = unread.pop()
                try:
                    stored = await self._store.get(FINISHED_JOB_PREFIX + name)
                except StoreRequestError as error:
                    failures.append(error)
                    return
                if stored is not None:
                    final = found[name] = read_finished_job(*stored)
                    self._cache.add_finished_job(name, final)

        async with anyio.create_task_group() as tasks:
            for _ in range(min(_CONCURRENT_READS, len(unread))):
                tasks.start_soon(read_next)
        if failures:
            raise failures[0]
        return found
