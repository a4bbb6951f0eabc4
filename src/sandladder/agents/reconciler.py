"""The dealings with workers: what a report means, and which orders follow from the records.

Delivery is reconciliation.  Committed starts say what should be on a machine, its report
says what is, and the difference is the orders.  Pure: no I/O, no clock.
"""

import math
from typing import NamedTuple

from sandladder.model import AgentHeartbeat, Attempt, Command, EndedAttempt, Job, ReportedTask
from sandladder.state import JOB, StateCache

Key = tuple[str, int, int]  # job, task, attempt


class AgentSession:
    """What we know of one machine from its reports to us."""

    def __init__(self, report: AgentHeartbeat) -> None:
        self.report = report
        self.heard_at = 0.0
        self.reported_at = 0.0
        self.report_seq = (0, 0)
        self.notice_at: float | None = None
        self.entries: dict[Key, ReportedTask] = {}
        self.seen: set[Key] = set()
        # The machine's report has shown our term, so it no longer takes orders from any
        # controller with an earlier one; our copy of the records must be newer than that.
        self.accepts_token = False
        self.synced = False
        self.epoch = 0  # counts the times that it came to obey
        # Terms under which a start may still arrive late: a direct command had no answer.
        self.stale_start_token: int | None = None
        # A start went out in an answer that the machine may not have taken yet.
        self.start_in_answer = False
        # What was known of cancellations when a start was sent that may still arrive.
        self.unsure = math.inf
        self.sending = False  # a direct command is under way
        self.failed: set[str] = set()  # jobs that failed here since one succeeded
        self.blamed: set[Key] = set()

    @property
    def session(self) -> int:
        return self.report.session

    @property
    def quiet(self) -> bool:
        """Whether no start of ours can still be on its way."""
        return self.stale_start_token is None and not self.start_in_answer and not self.sending

    def cleared(self) -> None:
        """No start that was sent directly before can arrive any more."""
        self.stale_start_token = None
        if not self.sending:
            self.unsure = math.inf


class HeartbeatResult(NamedTuple):
    """What became of a report."""

    agent: AgentSession
    news: bool


class Reconciler:
    """Reports in, orders and proved ends out, under the controller's current term."""

    def __init__(self) -> None:
        self.term = 0
        self._own_since = 0  # the first of our terms with no foreign one since
        self.machines: dict[str, AgentSession] = {}

    def new_term(self, term: int) -> None:
        """Take up a later term; a gap in the numbers means another controller took one."""
        if term != self.term + 1:
            self._own_since = term
        self.term = term
        for agent in self.machines.values():
            if agent.report.token < self._own_since:
                agent.accepts_token = agent.synced = False

    def heard(self, report: AgentHeartbeat, now: float, *, direct: bool) -> HeartbeatResult:
        """Take in a report; `direct` when it is the answer to a command of ours."""
        agent = self.machines.get(report.machine)
        if agent is None:
            agent = self.machines[report.machine] = AgentSession(report)
        elif (report.session, report.seq) <= (agent.report.session, agent.report.seq):
            # Held back by the network: its task list is as old as it is.
            return HeartbeatResult(agent, False)
        elif report.session != agent.report.session:
            agent.seen = set()
            agent.blamed = set()
            agent.failed = set()
            # An earlier session's commands are refused by the machine itself.
            agent.cleared()
        agent.report = report
        agent.heard_at = now
        if not direct:
            agent.reported_at = now
            # The machine keeps one report in flight, so it is done with the last answer.
            agent.start_in_answer = False
        agent.notice_at = None if report.notice_s is None else now + report.notice_s
        agent.entries = {(e.job, e.task, e.attempt): e for e in report.entries}
        agent.seen.update(agent.entries)
        if report.token > self.term or report.token < self._own_since:
            agent.accepts_token = agent.synced = False
        elif not agent.accepts_token:
            agent.accepts_token, agent.synced = True, False
            agent.epoch += 1
        if agent.stale_start_token is not None and report.token > agent.stale_start_token:
            agent.cleared()
        self._blame(agent)
        return HeartbeatResult(agent, True)

    def _blame(self, agent: AgentSession) -> None:
        """Note which jobs failed here in a row."""
        for key, entry in agent.entries.items():
            if entry.state != "exited" or key in agent.blamed:
                continue
            agent.blamed.add(key)
            if entry.cause == "error":
                agent.failed.add(entry.job)
            elif entry.cause == "done":
                agent.failed = set()
        agent.blamed &= agent.entries.keys()

    def lost_touch(self, machine: str) -> None:
        """The machine refused our term or is another controller's."""
        agent = self.machines.get(machine)
        if agent is not None:
            agent.accepts_token = agent.synced = False

    def forget_silent(self, now: float, after_s: float) -> None:
        """Drop machines that have not been heard of for long."""
        for machine in [m for m, d in self.machines.items() if now - d.heard_at > after_s]:
            del self.machines[machine]

    def answer(self, agent: AgentSession, cache: StateCache) -> list[Command]:
        """What the answer to the latest report tells the machine.

        Its lease goes on with that, so whatever runs there of a cancelled job is stopped with it,
        whether or not the machine is ours to tell more: stopping that can never be wrong.
        """
        if agent.accepts_token and agent.synced:
            return self.orders(agent, cache)
        return [
            Command("stop", *key)
            for key, entry in agent.entries.items()
            if entry.state != "exited" and cache.cancels(entry.job)
        ]

    def orders(self, agent: AgentSession, cache: StateCache) -> list[Command]:
        """What the machine should be told; nothing until it is surely ours to tell."""
        if not (agent.accepts_token and agent.synced):
            return []
        forgets: list[Command] = []
        stops: list[Command] = []
        starts: list[Command] = []
        wanted: set[Key] = set()
        for job, task, attempt in cache.attempts_on(agent.report.machine):
            if attempt.session != agent.session:
                continue
            key = (job.id, task, attempt.attempt)
            wanted.add(key)
            if JOB + job.id in cache.unreadable:
                continue  # what is to become of it cannot be told
            entry = agent.entries.get(key)
            grace = _grace(job, attempt, cache)
            if entry is None:
                # An attempt seen before and gone now was forgotten by order of somebody
                # who had its end committed: starting it again would run it twice.
                if grace is not None:
                    stops.append(Command("stop", *key, grace_s=grace))
                elif key not in agent.seen:
                    starts.append(Command("start", *key))
            elif entry.state == "exited":
                continue
            elif grace is not None and not (entry.state == "flushing" and grace > 0):
                stops.append(Command("stop", *key, grace_s=grace))
        agent.seen &= wanted | agent.entries.keys()
        for key, entry in agent.entries.items():
            if key in wanted or JOB + entry.job in cache.unreadable:
                continue
            if entry.state != "exited":
                stops.append(Command("stop", *key))
            elif agent.quiet:
                # With a start of it still on its way, forgetting would run it again.
                forgets.append(Command("forget", *key))
        return forgets + stops + starts

    def ends(self, agent: AgentSession, cache: StateCache) -> list[EndedAttempt]:
        """Attempts whose end this machine's report proves."""
        found = []
        for job, task, attempt in cache.attempts_on(agent.report.machine):
            if attempt.session < agent.session:
                found.append(EndedAttempt(job.id, task, attempt, "lost"))
            elif attempt.session == agent.session:
                entry = agent.entries.get((job.id, task, attempt.attempt))
                if entry is not None and entry.state == "exited":
                    outcome = "saved" if entry.saved else entry.cause
                    found.append(EndedAttempt(job.id, task, attempt, outcome))
        return found

    def never_ran(
        self, agent: AgentSession, cache: StateCache, sent: list[Command], term: int
    ) -> list[EndedAttempt]:
        """Stopped attempts that a fresh answer to our command shows to be absent.

        The answer shows that the machine obeyed our term after the stop was committed.
        Whoever commands it later will see the stop; whoever did before is refused; and no
        start of our own is on its way.
        """
        if not agent.quiet or agent.report.token != term:
            return []
        stopped = {(c.job, c.task, c.attempt) for c in sent if c.op == "stop"}
        found = []
        for job, task, attempt in cache.attempts_on(agent.report.machine):
            key = (job.id, task, attempt.attempt)
            if (
                key in stopped
                and key not in agent.entries
                and attempt.session == agent.session
                and _grace(job, attempt, cache) is not None
            ):
                found.append(EndedAttempt(job.id, task, attempt, "never"))
        return found


def _grace(job: Job, attempt: Attempt, cache: StateCache) -> float | None:
    """With how much grace this attempt is to be stopped, or None to let it run."""
    # What a cancelled job's tasks do is of no use to anyone.
    return 0.0 if cache.cancels(job.id) else attempt.stop
