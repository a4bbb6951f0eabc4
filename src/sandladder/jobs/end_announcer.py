"""What follows from the proof that an attempt has ended, before that is committed."""

import logging
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from sandladder import clock
from sandladder.concurrency import Signal
from sandladder.model import AttemptKey, AttemptOutcome, EndedAttempt
from sandladder.peers import PeerService
from sandladder.scheduling import ClusterView
from sandladder.transport import peer_transport

log = logging.getLogger(__name__)

# So many times the time that an end may wait for its commit, and we commit it ourselves.
_WAITS_FOR_ASSIGNEE = 3

Commit = Callable[[EndedAttempt], None]


class ProvedEnd(NamedTuple):
    """When an end was first proved here, and which controller was last to be informed of it."""

    at: float  # on the steady clock, in seconds
    assignee: str


class EndAnnouncer:
    """Frees what a proved end leaves, informs the peers, and sees to it that one commits it.

    That is the controller to which the job's team is assigned.  It owns which ends were proved of
    late; a proof is repeated by each heartbeat until the end is committed.
    """

    def __init__(
        self,
        node: str,
        cluster_view: ClusterView,
        peers: PeerService,
        plan_due: Signal,
        max_wait_s: float,
        commit: Commit,
    ) -> None:
        """`max_wait_s`: how long an end may wait for its commit, in seconds; `commit` is called
        with each end that this controller is to commit, perhaps repeatedly.
        """
        self._node = node
        self._cluster_view = cluster_view
        self._cache = cluster_view.cache
        self._peers = peers
        self._plan_due = plan_due
        self._max_wait_s = max_wait_s
        self._commit = commit
        self._proved: dict[AttemptKey, ProvedEnd] = {}

    @property
    def proved(self) -> Mapping[AttemptKey, ProvedEnd]:
        """The ends that were proved here of late."""
        return self._proved

    def collect_ends(self, ends: Iterable[EndedAttempt]) -> None:
        """Take in ends that were proved here; those taken in before count as repeated."""
        now = clock.now()
        first_proved: list[peer_transport.EndedTask] = []
        reassigned: dict[str, list[peer_transport.EndedTask]] = {}
        for ended in ends:
            key = AttemptKey(ended.job, ended.task, ended.attempt.attempt)
            assignee = self._assignee(ended)
            known = self._proved.get(key)
            if known is None:
                known = self._proved[key] = ProvedEnd(now, assignee)
                self._note_first(ended)
                first_proved.append(_message(ended))
            elif known.assignee != assignee:
                # The controller that was informed is not the assignee any more.
                self._proved[key] = ProvedEnd(known.at, assignee)
                reassigned.setdefault(assignee, []).append(_message(ended))
            # What the assignee does not commit in good time, we do.
            overdue = now - known.at > _WAITS_FOR_ASSIGNEE * self._max_wait_s
            if assignee == self._node or overdue:
                self._commit(ended)
        self._inform_peers(first_proved, reassigned)

    def receive(self, ended: EndedAttempt) -> None:
        """Take in an end that a peer has proved."""
        self._cluster_view.note_ended(ended)
        self._plan_due.set()
        job = self._cache.jobs.get(ended.job)
        if job is not None and self._peers.assignee(job.spec.team) == self._node:
            self._commit(ended)

    def forget(self, now: float, after_s: float) -> None:
        """Drop what was proved so long ago, in seconds."""
        self._proved = {
            key: proved for key, proved in self._proved.items() if now - proved.at < after_s
        }

    def _assignee(self, ended: EndedAttempt) -> str:
        """The controller that should commit an end; we, where the job is not known."""
        job = self._cache.jobs.get(ended.job)
        return self._peers.assignee(job.spec.team) if job else self._node

    def _note_first(self, ended: EndedAttempt) -> None:
        """Give away what an attempt used as soon as its end is proved."""
        if ended.outcome in (AttemptOutcome.LOST, AttemptOutcome.NEVER_RAN):
            log.info(
                "%s/%d has ended on %s: %s",
                ended.job,
                ended.task,
                ended.attempt.machine,
                ended.outcome,
            )
        self._cluster_view.note_ended(ended)
        self._plan_due.set()

    def _inform_peers(
        self,
        first_proved: list[peer_transport.EndedTask],
        reassigned: dict[str, list[peer_transport.EndedTask]],
    ) -> None:
        """Send all peers the new ends, and new assignees those that others were to commit."""
        connections = self._peers.connections
        if first_proved:
            for connection in connections.values():
                connection.send(peer_transport.EndedTasks(first_proved))
        for assignee, ends in reassigned.items():
            if assignee in connections:
                connections[assignee].send(peer_transport.EndedTasks(ends))


def _message(ended: EndedAttempt) -> peer_transport.EndedTask:
    """An end as it is sent to peers."""
    attempt = ended.attempt
    return peer_transport.EndedTask(
        job=ended.job,
        task=ended.task,
        machine=attempt.machine,
        zone=attempt.zone,
        session=attempt.agent_epoch,
        attempt=attempt.attempt,
        outcome=ended.outcome,
    )
