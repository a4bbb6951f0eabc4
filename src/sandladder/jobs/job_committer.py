"""Changes of jobs: proved ends taken in, checked starts released, one change a job at a time.

The store takes few changes.  So whatever waits to be committed of a job goes in one: the ends
that are proved by then, and the starts that pass the gate by then.
"""

import logging
from collections.abc import Iterable
from functools import partial
from itertools import islice
from typing import TYPE_CHECKING
from zlib import crc32

from sandladder import clock
from sandladder.jobs.transitions import archive_job, end, settle, start
from sandladder.model import ARRAY, HIGH, EndedAttempt, TeamUsage, headroom, nearly_used_up
from sandladder.scheduling import Outcome, PendingStart
from sandladder.state import (
    JOB,
    P_IDLE,
    P_START,
    P_WORK,
    PendingChange,
    PreconditionFailedError,
    Transaction,
    work_priority,
)
from sandladder.transport import peer_transport

if TYPE_CHECKING:
    from sandladder.controller import Controller

log = logging.getLogger(__name__)

Key = tuple[str, int, int]  # job, task, attempt

# A team is near its limit when less than this share of it is left.
_TIGHT = 0.1


class JobCommitter:
    """What a controller has to commit of the jobs that it places."""

    def __init__(self, controller: "Controller") -> None:
        self._c = controller
        # How long an end may wait for others to share its commit: its room is given away
        # before that, and a report will show it again.
        self._wait_s = controller.lease_s / 3
        self.backing_off: dict[str, float] = {}  # jobs that back off, and until when
        # When an end was first proved, and who was told.
        self._proved: dict[Key, tuple[float, str]] = {}
        self._prune_at = 0.0
        self._ends: dict[str, dict[Key, EndedAttempt]] = {}
        self._due: dict[str, float] = {}
        self._starts: dict[str, list[PendingStart]] = {}
        self._released: dict[str, list[PendingStart]] = {}  # by the last evaluation
        self._under_way: set[str] = set()

    # Ends

    def collect(self, ends: Iterable[EndedAttempt]) -> None:
        """Take in proved ends: the room is free at once, the placing controller commits them."""
        c = self._c
        now = clock.now()
        news: list[peer_transport.EndedTask] = []
        away: dict[str, list[peer_transport.EndedTask]] = {}
        for item in ends:
            key = (item.job, item.task, item.attempt.attempt)
            job = c.cache.jobs.get(item.job)
            assignee = c.peers.assignee(job.spec.team) if job else c.node
            told = peer_transport.EndedTask(
                item.job, item.task, *item.attempt[:4], outcome=item.outcome
            )
            first = self._proved.get(key)
            if first is None:
                first = self._proved[key] = (now, assignee)
                if item.outcome in ("lost", "never"):
                    log.info("%s/%d is over on %s: %s", *key[:2], item.attempt[0], item.outcome)
                c.cluster_view.note_over(item)
                c.plan_due.set()
                news.append(told)
            elif first[1] != assignee:
                # Whoever was told has stopped placing the team since.
                self._proved[key] = (first[0], assignee)
                away.setdefault(assignee, []).append(told)
            # What the placing controller does not commit in good time, we do.
            if assignee == c.node or now - first[0] > 3 * self._wait_s:
                self._take(item)
        if news:
            for link in c.peers.connections.values():
                link.send(peer_transport.EndedTasks(news))
        for assignee, items in away.items():
            if assignee in c.peers.connections:
                c.peers.connections[assignee].send(peer_transport.EndedTasks(items))

    def told(self, item: EndedAttempt) -> None:
        """A peer has the proof of an end."""
        c = self._c
        c.cluster_view.note_over(item)
        c.plan_due.set()
        job = c.cache.jobs.get(item.job)
        if job is not None and c.peers.assignee(job.spec.team) == c.node:
            self._take(item)

    def _take(self, item: EndedAttempt) -> None:
        """Have an end committed, at once if something waits for it."""
        waiting = self._ends.setdefault(item.job, {})
        key = (item.job, item.task, item.attempt.attempt)
        if key in waiting:
            return
        waiting[key] = item
        now = clock.now()
        due = now if self._presses(item) else now + self._wait_s
        self._due[item.job] = min(due, self._due.get(item.job, due))
        if due <= now:
            self._commit(item.job)

    def _presses(self, item: EndedAttempt) -> bool:
        """Whether something waits for this end to be committed.

        The room that it leaves is given away before that.
        """
        job = self._c.cache.jobs.get(item.job)
        if job is None or item.outcome != "done" or job.spec.kind != ARRAY:
            return True
        if len(self._ends[item.job]) >= len(job.live):
            return True
        limits = self._c.cluster_view.limits.get(job.spec.team)
        usage = self._c.cache.used.get(job.spec.team, TeamUsage())
        if nearly_used_up(limits, usage, _TIGHT):
            return True  # some job of the team may wait for this
        bound = len(job.live) >= self._c.planner.most_live(job.spec)
        return job.waiting > 0 and (bound or not headroom(limits, usage).covers(job.spec))

    def _note(self, item: EndedAttempt) -> None:
        """Let a job that fails everywhere back off."""
        c = self._c
        job = c.cache.jobs.get(item.job)
        if job is None or item.outcome not in ("error", "unknown", "no_room", "busy"):
            return
        delay = c.report_s / 3
        if item.outcome in ("no_room", "busy"):
            c.cluster_view.doubt(item.attempt.machine, c.report_s)
        if item.outcome in ("error", "unknown"):
            # It goes elsewhere first; the more machines it failed on, the longer it waits.
            failed = c.planner.avoid.setdefault(item.job, set())
            failed.add(item.attempt.machine)
            delay = min(2 * c.lease_s, delay * 2 ** (min(len(failed), 10) - 1))
        self.backing_off[item.job] = max(
            self.backing_off.get(item.job, 0), c.cluster_view.now + delay
        )
        log.debug("%s/%d ended with %s", item.job, item.task, item.outcome)

    def sweep(self) -> None:
        """Commit what has waited long enough, and forget what is over."""
        now = clock.now()
        for job_id in [job_id for job_id, due in self._due.items() if due <= now]:
            self._commit(job_id)
        self._file()
        if now >= self._prune_at:
            # Seldom: each look goes through all that ended in some leases.
            self._prune_at = now + self._c.lease_s
            keep_s = 4 * self._c.lease_s
            self._proved = {k: p for k, p in self._proved.items() if now - p[0] < keep_s}
        self.backing_off = {
            job_id: until for job_id, until in self.backing_off.items() if until > now
        }

    def _file(self) -> None:
        """File what finished jobs came to, while the store has nothing else to do."""
        c = self._c
        unarchived = c.cache.unarchived
        if (
            not unarchived
            or c.committer.queued
            or not c.store.writes.idle
            or not c.controller_lease.alive()
        ):
            return
        live = c.peers.live_nodes()
        ours = (
            job_id for job_id in unarchived if live[crc32(job_id.encode()) % len(live)] == c.node
        )
        for job_id in list(islice(ours, max(1, c.limits.txn_ops // 2))):
            c.committer.add(
                PendingChange(f"file {job_id}", P_IDLE, 2, partial(archive_job, job_id=job_id))
            )

    # Starts

    def start(self, pending_starts: Iterable[PendingStart]) -> None:
        """Have pending starts committed if they pass the gate by then."""
        jobs: dict[str, None] = {}
        for pending_start in pending_starts:
            self._starts.setdefault(pending_start.spec.id, []).append(pending_start)
            jobs[pending_start.spec.id] = None
        for job_id in jobs:
            self._commit(job_id)

    def _release(self, job_id: str) -> list[PendingStart]:
        """The gate before the effect: the starts whose premises still hold."""
        gate = self._c.gate
        passed = []
        for pending_start in self._starts.get(job_id, ()):
            if gate.pending.get(pending_start.key) is not pending_start:
                continue
            pending_start.under_way = False
            verdict = gate.release(pending_start, self._c.cluster_view)
            if verdict.outcome < Outcome.REPLAN:
                passed.append(pending_start)
            else:
                log.debug("%s %s: %s", verdict.outcome.name, pending_start.key, verdict.reason)
        self._starts[job_id] = passed
        return list(passed)

    def _withdraw(self, pending_starts: list[PendingStart]) -> None:
        gate = self._c.gate
        for pending_start in pending_starts:
            if gate.pending.get(pending_start.key) is pending_start:
                gate.withdraw(pending_start)

    # Both

    def _priority(self, job_id: str) -> float:
        """More urgent jobs first; first starts of urgent jobs don't wait for the write budget."""
        job = self._c.cache.jobs.get(job_id)
        if job is None:
            return P_WORK
        priority = self._c.cluster_view.outlook(job).priority
        fresh = not job.live and not job.done.count
        if fresh and priority >= HIGH and job_id in self._starts:
            return P_START
        if self._releases(job_id):
            return P_START
        return work_priority(priority)

    def _releases(self, job_id: str) -> list[str]:
        """The teams whose jobs wait for this one, when its last ends are to be committed."""
        job = self._c.cache.jobs.get(job_id)
        ends = len(self._ends.get(job_id, ()))
        if job is None or job.waiting or not 0 < len(job.live) <= ends:
            return []
        return [needer.spec.team for needer in self._c.cache.dependency_index.needers(job_id)]

    def _commit(self, job_id: str) -> None:
        if job_id in self._under_way:
            return
        self._under_way.add(job_id)
        change = PendingChange(
            f"work on {job_id}",
            self._priority(job_id),
            3,
            lambda transaction: self._apply(transaction, job_id),
            adds=lambda transaction: self._adds(transaction, job_id),
            on_commit=lambda: self._committed(job_id),
        )
        self._c.committer.add(change)
        assert self._c.tasks is not None
        self._c.tasks.start_soon(self._after, change, job_id)

    def _adds(self, transaction: Transaction, job_id: str) -> int:
        """How many puts and deletes this job adds: its team's record is often in already."""
        job = self._c.cache.jobs.get(job_id)
        if job is None:
            return 0
        ends = len(self._ends.get(job_id, ()))
        team = transaction.is_schema_v1 and job.spec.team not in transaction.teams
        return 1 + team + (transaction.is_schema_v1 and 0 < len(job.live) <= ends)

    def _apply(self, transaction: Transaction, job_id: str) -> bool:
        c = self._c
        c.cluster_view.now = clock.now()
        self._released[job_id] = []
        useful = end(transaction, self._ends.get(job_id, {}).values(), c.wall())
        passed = self._release(job_id)
        job = c.cache.jobs.get(job_id)
        if not passed or job is None or not c.controller_lease.alive():
            return useful
        limits = c.cluster_view.limits.get(job.spec.team)
        room = c.limits.conditions // 2
        if len(job.dependencies) > room:
            # More premises than a commit can bind: some are recorded ahead of the start.
            self._withdraw(passed)
            return settle(transaction, job_id, room) or useful
        try:
            places = [pending_start.placement for pending_start in passed]
            start(transaction, job_id, places, limits, c.membership.own)
        except PreconditionFailedError as refusal:
            log.debug("starts of %s: %s", job_id, refusal)
            self._withdraw(passed)
            return useful
        self._released[job_id] = passed
        for pending_start in passed:
            pending_start.under_way = True
        return True

    def _committed(self, job_id: str) -> None:
        """They are starts now: their own news must not be held against them."""
        released = self._released.get(job_id, [])
        self._withdraw(released)
        told = {pending_start.reporting_controller for pending_start in released}
        # Whoever places the jobs that wait for this one should know of its end at once.
        told |= {self._c.peers.assignee(team) for team in self._releases(job_id)}
        self._c.peers.notify(told)

    async def _after(self, change: PendingChange, job_id: str) -> None:
        try:
            await change.wait()
        except PreconditionFailedError as refusal:
            log.error("%s: %s", change.name, refusal)
        c = self._c
        self._under_way.discard(job_id)
        released = self._released.pop(job_id, [])
        if released and change.error is None:
            self._tell(job_id, released)
        done = {id(pending_start) for pending_start in released}
        left = [i for i in self._starts.pop(job_id, []) if id(i) not in done]
        left = [
            pending_start
            for pending_start in left
            if c.gate.pending.get(pending_start.key) is pending_start
        ]
        self._due.pop(job_id, None)
        for item in self._ends.pop(job_id, {}).values():
            self._note(item)
            job = c.cache.jobs.get(job_id)
            live = job.live.get(item.task) if job is not None else None
            if live is not None and live[:4] == item.attempt[:4]:
                self._take(item)  # it came while the others were being committed
            agent = c.reconciler.machines.get(item.attempt.machine)
            if agent is not None:
                c.agent_service.push(agent)
        if change.error is not None or not released:
            # Nothing of it could be released: asking again at once could go on for ever
            # (seen in the stand-in world).  The next round of planning takes it up.
            self._withdraw(left)
        elif left:
            self.start(left)
        c.plan_due.set()

    def _tell(self, job_id: str, released: list[PendingStart]) -> None:
        c = self._c
        job = c.cache.jobs.get(job_id)
        if job is not None:
            waits = [c.cluster_view.fetch_wait_s(i.spec, i.placement) for i in released]
            log.info(
                "starts of %s (%s): %d tasks after %.1f s, images in %.1f s, %d at hand, "
                "under revision %d",
                job_id,
                job.spec.cls,
                len(released),
                c.wall() - c.cluster_view.since(job),
                max(waits),
                sum(wait <= 0 for wait in waits),
                c.cache.version(JOB + job_id),
            )
