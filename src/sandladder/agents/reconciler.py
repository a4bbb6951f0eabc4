"""The dealings with workers: what a report means, and which orders follow from the records.

Delivery is reconciliation.  Committed starts say what should be on a machine, its report
says what is, and the difference is the orders.  Pure: no I/O, no clock.
"""

import math
from typing import NamedTuple

from sandladder.model.agents import Command, Entry, Report
from sandladder.model.jobs import Attempt, Ended, Job
from sandladder.state.cache import Mirror
from sandladder.state.records import JOB

Key = tuple[str, int, int]  # job, task, attempt


class Dialogue:
    """What we know of one machine from its reports to us."""

    def __init__(self, report: Report) -> None:
        self.report = report
        self.heard_at = 0.0
        self.reported_at = 0.0
        self.report_seq = (0, 0)
        self.notice_at: float | None = None
        self.entries: dict[Key, Entry] = {}
        self.seen: set[Key] = set()
        # The machine's report has shown our term, so it no longer takes orders from any
        # controller with an earlier one; our copy of the records must be newer than that.
        self.obeys = False
        self.synced = False
        self.epoch = 0  # counts the times that it came to obey
        # Terms under which a start may still arrive late: a direct command had no answer.
        self.tainted: int | None = None
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
        return self.tainted is None and not self.start_in_answer and not self.sending

    def cleared(self) -> None:
        """No start that was sent directly before can arrive any more."""
        self.tainted = None
        if not self.sending:
            self.unsure = math.inf


class Heard(NamedTuple):
    """What became of a report."""

    dialogue: Dialogue
    news: bool


class Delivery:
    """Reports in, orders and proved ends out, under the controller's current term."""

    def __init__(self) -> None:
        self.term = 0
        self._own_since = 0  # the first of our terms with no foreign one since
        self.machines: dict[str, Dialogue] = {}

    def new_term(self, term: int) -> None:
        """Take up a later term; a gap in the numbers means another controller took one."""
        if term != self.term + 1:
            self._own_since = term
        self.term = term
        for dialogue in self.machines.values():
            if dialogue.report.token < self._own_since:
                dialogue.obeys = dialogue.synced = False

    def heard(self, report: Report, now: float, *, direct: bool) -> Heard:
        """Take in a report; `direct` when it is the answer to a command of ours."""
        dialogue = self.machines.get(report.machine)
        if dialogue is None:
            dialogue = self.machines[report.machine] = Dialogue(report)
        elif (report.session, report.seq) <= (dialogue.report.session, dialogue.report.seq):
            # Held back by the network: its task list is as old as it is.
            return Heard(dialogue, False)
        elif report.session != dialogue.report.session:
            dialogue.seen = set()
            dialogue.blamed = set()
            dialogue.failed = set()
            # An earlier session's commands are refused by the machine itself.
            dialogue.cleared()
        dialogue.report = report
        dialogue.heard_at = now
        if not direct:
            dialogue.reported_at = now
            # The machine keeps one report in flight, so it is done with the last answer.
            dialogue.start_in_answer = False
        dialogue.notice_at = None if report.notice_s is None else now + report.notice_s
        dialogue.entries = {(e.job, e.task, e.attempt): e for e in report.entries}
        dialogue.seen.update(dialogue.entries)
        if report.token > self.term or report.token < self._own_since:
            dialogue.obeys = dialogue.synced = False
        elif not dialogue.obeys:
            dialogue.obeys, dialogue.synced = True, False
            dialogue.epoch += 1
        if dialogue.tainted is not None and report.token > dialogue.tainted:
            dialogue.cleared()
        self._blame(dialogue)
        return Heard(dialogue, True)

    def _blame(self, dialogue: Dialogue) -> None:
        """Note which jobs failed here in a row."""
        for key, entry in dialogue.entries.items():
            if entry.state != "exited" or key in dialogue.blamed:
                continue
            dialogue.blamed.add(key)
            if entry.cause == "error":
                dialogue.failed.add(entry.job)
            elif entry.cause == "done":
                dialogue.failed = set()
        dialogue.blamed &= dialogue.entries.keys()

    def lost_touch(self, machine: str) -> None:
        """The machine refused our term or is another controller's."""
        dialogue = self.machines.get(machine)
        if dialogue is not None:
            dialogue.obeys = dialogue.synced = False

    def forget_silent(self, now: float, after_s: float) -> None:
        """Drop machines that have not been heard of for long."""
        for machine in [m for m, d in self.machines.items() if now - d.heard_at > after_s]:
            del self.machines[machine]

    def answer(self, dialogue: Dialogue, mirror: Mirror) -> list[Command]:
        """What the answer to the latest report tells the machine.

        Its lease goes on with that, so whatever runs there of a cancelled job is stopped with it,
        whether or not the machine is ours to tell more: stopping that can never be wrong.
        """
        if dialogue.obeys and dialogue.synced:
            return self.orders(dialogue, mirror)
        return [
            Command("stop", *key)
            for key, entry in dialogue.entries.items()
            if entry.state != "exited" and mirror.cancels(entry.job)
        ]

    def orders(self, dialogue: Dialogue, mirror: Mirror) -> list[Command]:
        """What the machine should be told; nothing until it is surely ours to tell."""
        if not (dialogue.obeys and dialogue.synced):
            return []
        forgets: list[Command] = []
        stops: list[Command] = []
        starts: list[Command] = []
        wanted: set[Key] = set()
        for job, task, attempt in mirror.attempts_on(dialogue.report.machine):
            if attempt.session != dialogue.session:
                continue
            key = (job.id, task, attempt.attempt)
            wanted.add(key)
            if JOB + job.id in mirror.unreadable:
                continue  # what is to become of it cannot be told
            entry = dialogue.entries.get(key)
            grace = _grace(job, attempt, mirror)
            if entry is None:
                # An attempt seen before and gone now was forgotten by order of somebody
                # who had its end committed: starting it again would run it twice.
                if grace is not None:
                    stops.append(Command("stop", *key, grace_s=grace))
                elif key not in dialogue.seen:
                    starts.append(Command("start", *key))
            elif entry.state == "exited":
                continue
            elif grace is not None and not (entry.state == "flushing" and grace > 0):
                stops.append(Command("stop", *key, grace_s=grace))
        dialogue.seen &= wanted | dialogue.entries.keys()
        for key, entry in dialogue.entries.items():
            if key in wanted or JOB + entry.job in mirror.unreadable:
                continue
            if entry.state != "exited":
                stops.append(Command("stop", *key))
            elif dialogue.quiet:
                # With a start of it still on its way, forgetting would run it again.
                forgets.append(Command("forget", *key))
        return forgets + stops + starts

    def ends(self, dialogue: Dialogue, mirror: Mirror) -> list[Ended]:
        """Attempts whose end this machine's report proves."""
        found = []
        for job, task, attempt in mirror.attempts_on(dialogue.report.machine):
            if attempt.session < dialogue.session:
                found.append(Ended(job.id, task, attempt, "lost"))
            elif attempt.session == dialogue.session:
                entry = dialogue.entries.get((job.id, task, attempt.attempt))
                if entry is not None and entry.state == "exited":
                    outcome = "saved" if entry.saved else entry.cause
                    found.append(Ended(job.id, task, attempt, outcome))
        return found

    def never_ran(
        self, dialogue: Dialogue, mirror: Mirror, sent: list[Command], term: int
    ) -> list[Ended]:
        """Stopped attempts that a fresh answer to our command shows to be absent.

        The answer shows that the machine obeyed our term after the stop was committed.
        Whoever commands it later will see the stop; whoever did before is refused; and no
        start of our own is on its way.
        """
        if not dialogue.quiet or dialogue.report.token != term:
            return []
        stopped = {(c.job, c.task, c.attempt) for c in sent if c.op == "stop"}
        found = []
        for job, task, attempt in mirror.attempts_on(dialogue.report.machine):
            key = (job.id, task, attempt.attempt)
            if (
                key in stopped
                and key not in dialogue.entries
                and attempt.session == dialogue.session
                and _grace(job, attempt, mirror) is not None
            ):
                found.append(Ended(job.id, task, attempt, "never"))
        return found


def _grace(job: Job, attempt: Attempt, mirror: Mirror) -> float | None:
    """With how much grace this attempt is to be stopped, or None to let it run."""
    # What a cancelled job's tasks do is of no use to anyone.
    return 0.0 if mirror.cancels(job.id) else attempt.stop
