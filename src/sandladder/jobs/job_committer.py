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
from sandladder.jobs.transitions import end, file_final, settle, start
from sandladder.model.jobs import ARRAY, HIGH, Ended
from sandladder.model.quota import TeamUsage, headroom, nearly_used_up
from sandladder.scheduling.premises import Intent, Outcome
from sandladder.state.errors import Refused
from sandladder.state.group_commit import P_IDLE, P_START, P_WORK, Change, work_priority
from sandladder.state.records import JOB
from sandladder.state.transaction import View
from sandladder.transport import peer_transport

if TYPE_CHECKING:
    from sandladder.controller.controller import Controller

log = logging.getLogger(__name__)

Key = tuple[str, int, int]  # job, task, attempt

# A team is near its limit when less than this share of it is left.
_TIGHT = 0.1


class Work:
    """What a controller has to commit of the jobs that it places."""

    def __init__(self, controller: "Controller") -> None:
        self._c = controller
        # How long an end may wait for others to share its commit: its room is given away
        # before that, and a report will show it again.
        self._wait_s = controller.lease_s / 3
        self.barred: dict[str, float] = {}  # jobs that back off, and until when
        # When an end was first proved, and who was told.
        self._proved: dict[Key, tuple[float, str]] = {}
        self._prune_at = 0.0
        self._ends: dict[str, dict[Key, Ended]] = {}
        self._due: dict[str, float] = {}
        self._starts: dict[str, list[Intent]] = {}
        self._released: dict[str, list[Intent]] = {}  # by the last evaluation
        self._under_way: set[str] = set()

    # Ends

    def collect(self, ends: Iterable[Ended]) -> None:
        """Take in proved ends: the room is free at once, the placing controller commits them."""
        c = self._c
        now = clock.now()
        news: list[peer_transport.EndedTask] = []
        away: dict[str, list[peer_transport.EndedTask]] = {}
        for item in ends:
            key = (item.job, item.task, item.attempt.attempt)
            job = c.mirror.jobs.get(item.job)
            owner = c.peers.owner(job.spec.team) if job else c.node
            told = peer_transport.EndedTask(
                item.job, item.task, *item.attempt[:4], outcome=item.outcome
            )
            first = self._proved.get(key)
            if first is None:
                first = self._proved[key] = (now, owner)
                if item.outcome in ("lost", "never"):
                    log.info("%s/%d is over on %s: %s", *key[:2], item.attempt[0], item.outcome)
                c.picture.note_over(item)
                c.plan_due.set()
                news.append(told)
            elif first[1] != owner:
                # Whoever was told has stopped placing the team since.
                self._proved[key] = (first[0], owner)
                away.setdefault(owner, []).append(told)
            # What the placing controller does not commit in good time, we do.
            if owner == c.node or now - first[0] > 3 * self._wait_s:
                self._take(item)
        if news:
            for link in c.peers.links.values():
                link.send(peer_transport.Ends(news))
        for owner, items in away.items():
            if owner in c.peers.links:
                c.peers.links[owner].send(peer_transport.Ends(items))

    def told(self, item: Ended) -> None:
        """A peer has the proof of an end."""
        c = self._c
        c.picture.note_over(item)
        c.plan_due.set()
        job = c.mirror.jobs.get(item.job)
        if job is not None and c.peers.owner(job.spec.team) == c.node:
            self._take(item)

    def _take(self, item: Ended) -> None:
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

    def _presses(self, item: Ended) -> bool:
        """Whether something waits for this end to be committed.

        The room that it leaves is given away before that.
        """
        job = self._c.mirror.jobs.get(item.job)
        if job is None or item.outcome != "done" or job.spec.kind != ARRAY:
            return True
        if len(self._ends[item.job]) >= len(job.live):
            return True
        limits = self._c.picture.limits.get(job.spec.team)
        usage = self._c.mirror.used.get(job.spec.team, TeamUsage())
        if nearly_used_up(limits, usage, _TIGHT):
            return True  # some job of the team may wait for this
        bound = len(job.live) >= self._c.planner.most_live(job.spec)
        return job.waiting > 0 and (bound or not headroom(limits, usage).covers(job.spec))

    def _note(self, item: Ended) -> None:
        """Let a job that fails everywhere back off."""
        c = self._c
        job = c.mirror.jobs.get(item.job)
        if job is None or item.outcome not in ("error", "unknown", "no_room", "busy"):
            return
        delay = c.report_s / 3
        if item.outcome in ("no_room", "busy"):
            c.picture.doubt(item.attempt.machine, c.report_s)
        if item.outcome in ("error", "unknown"):
            # It goes elsewhere first; the more machines it failed on, the longer it waits.
            failed = c.planner.avoid.setdefault(item.job, set())
            failed.add(item.attempt.machine)
            delay = min(2 * c.lease_s, delay * 2 ** (min(len(failed), 10) - 1))
        self.barred[item.job] = max(self.barred.get(item.job, 0), c.picture.now + delay)
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
        self.barred = {job_id: until for job_id, until in self.barred.items() if until > now}

    def _file(self) -> None:
        """File what finished jobs came to, while the store has nothing else to do."""
        c = self._c
        unfiled = c.mirror.unfiled
        if not unfiled or c.committer.queued or not c.state.writes.idle or not c.hold.alive():
            return
        live = c.peers.live_nodes()
        ours = (job_id for job_id in unfiled if live[crc32(job_id.encode()) % len(live)] == c.node)
        for job_id in list(islice(ours, max(1, c.limits.txn_ops // 2))):
            c.committer.add(Change(f"file {job_id}", P_IDLE, 2, partial(file_final, job_id=job_id)))

    # Starts

    def start(self, intents: Iterable[Intent]) -> None:
        """Have pending starts committed if they pass the gate by then."""
        jobs: dict[str, None] = {}
        for intent in intents:
            self._starts.setdefault(intent.spec.id, []).append(intent)
            jobs[intent.spec.id] = None
        for job_id in jobs:
            self._commit(job_id)

    def _release(self, job_id: str) -> list[Intent]:
        """The gate before the effect: the starts whose premises still hold."""
        gate = self._c.gate
        passed = []
        for intent in self._starts.get(job_id, ()):
            if gate.pending.get(intent.key) is not intent:
                continue
            intent.under_way = False
            verdict = gate.release(intent, self._c.picture)
            if verdict.outcome < Outcome.REPLAN:
                passed.append(intent)
            else:
                log.debug("%s %s: %s", verdict.outcome.name, intent.key, verdict.reason)
        self._starts[job_id] = passed
        return list(passed)

    def _withdraw(self, intents: list[Intent]) -> None:
        gate = self._c.gate
        for intent in intents:
            if gate.pending.get(intent.key) is intent:
                gate.withdraw(intent)

    # Both

    def _priority(self, job_id: str) -> float:
        """More urgent jobs first; first starts of urgent jobs don't wait for the write budget."""
        job = self._c.mirror.jobs.get(job_id)
        if job is None:
            return P_WORK
        priority = self._c.picture.outlook(job).priority
        fresh = not job.live and not job.done.count
        if fresh and priority >= HIGH and job_id in self._starts:
            return P_START
        if self._releases(job_id):
            return P_START
        return work_priority(priority)

    def _releases(self, job_id: str) -> list[str]:
        """The teams whose jobs wait for this one, when its last ends are to be committed."""
        job = self._c.mirror.jobs.get(job_id)
        ends = len(self._ends.get(job_id, ()))
        if job is None or job.waiting or not 0 < len(job.live) <= ends:
            return []
        return [needer.spec.team for needer in self._c.mirror.pipelines.needers(job_id)]

    def _commit(self, job_id: str) -> None:
        if job_id in self._under_way:
            return
        self._under_way.add(job_id)
        change = Change(
            f"work on {job_id}",
            self._priority(job_id),
            3,
            lambda view: self._apply(view, job_id),
            adds=lambda view: self._adds(view, job_id),
            on_commit=lambda: self._committed(job_id),
        )
        self._c.committer.add(change)
        assert self._c.tasks is not None
        self._c.tasks.start_soon(self._after, change, job_id)

    def _adds(self, view: View, job_id: str) -> int:
        """How many puts and deletes this job adds: its team's record is often in already."""
        job = self._c.mirror.jobs.get(job_id)
        if job is None:
            return 0
        ends = len(self._ends.get(job_id, ()))
        team = view.plain and job.spec.team not in view.teams
        return 1 + team + (view.plain and 0 < len(job.live) <= ends)

    def _apply(self, view: View, job_id: str) -> bool:
        c = self._c
        c.picture.now = clock.now()
        self._released[job_id] = []
        useful = end(view, self._ends.get(job_id, {}).values(), c.wall())
        passed = self._release(job_id)
        job = c.mirror.jobs.get(job_id)
        if not passed or job is None or not c.hold.alive():
            return useful
        limits = c.picture.limits.get(job.spec.team)
        room = c.limits.conditions // 2
        if len(job.awaits) > room:
            # More premises than a commit can bind: some are recorded ahead of the start.
            self._withdraw(passed)
            return settle(view, job_id, room) or useful
        try:
            places = [intent.placement for intent in passed]
            start(view, job_id, places, limits, c.membership.own)
        except Refused as refusal:
            log.debug("starts of %s: %s", job_id, refusal)
            self._withdraw(passed)
            return useful
        self._released[job_id] = passed
        for intent in passed:
            intent.under_way = True
        return True

    def _committed(self, job_id: str) -> None:
        """They are starts now: their own news must not be held against them."""
        released = self._released.get(job_id, [])
        self._withdraw(released)
        told = {intent.clerk for intent in released}
        # Whoever places the jobs that wait for this one should know of its end at once.
        told |= {self._c.peers.owner(team) for team in self._releases(job_id)}
        self._c.peers.poke(told)

    async def _after(self, change: Change, job_id: str) -> None:
        try:
            await change.wait()
        except Refused as refusal:
            log.error("%s: %s", change.name, refusal)
        c = self._c
        self._under_way.discard(job_id)
        released = self._released.pop(job_id, [])
        if released and change.error is None:
            self._tell(job_id, released)
        done = {id(intent) for intent in released}
        left = [i for i in self._starts.pop(job_id, []) if id(i) not in done]
        left = [intent for intent in left if c.gate.pending.get(intent.key) is intent]
        self._due.pop(job_id, None)
        for item in self._ends.pop(job_id, {}).values():
            self._note(item)
            job = c.mirror.jobs.get(job_id)
            live = job.live.get(item.task) if job is not None else None
            if live is not None and live[:4] == item.attempt[:4]:
                self._take(item)  # it came while the others were being committed
            dialogue = c.delivery.machines.get(item.attempt.machine)
            if dialogue is not None:
                c.workers.push(dialogue)
        if change.error is not None or not released:
            # Nothing of it could be released: asking again at once could go on for ever
            # (seen in the stand-in world).  The next round of planning takes it up.
            self._withdraw(left)
        elif left:
            self.start(left)
        c.plan_due.set()

    def _tell(self, job_id: str, released: list[Intent]) -> None:
        c = self._c
        job = c.mirror.jobs.get(job_id)
        if job is not None:
            waits = [c.picture.fetch_wait_s(i.spec, i.placement) for i in released]
            log.info(
                "starts of %s (%s): %d tasks after %.1f s, images in %.1f s, %d at hand, "
                "under revision %d",
                job_id,
                job.spec.cls,
                len(released),
                c.wall() - c.picture.since(job),
                max(waits),
                sum(wait <= 0 for wait in waits),
                c.mirror.version(JOB + job_id),
            )
