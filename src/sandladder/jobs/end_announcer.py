"""Handling of ended attempts before their ends are committed."""

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

# The time after which this controller commits an end instead of the assignee, in `max_wait_s`.
_ASSIGNEE_TIMEOUT_WAITS = 3
# The ends in one message to a peer: a frame holds this many even if all names are long.
_MAX_ENDS_PER_MESSAGE = 250

Commit = Callable[[EndedAttempt], None]


class ProvedEnd(NamedTuple):
    """An attempt's end that this controller has proved."""

    proved_at: float  # on the steady clock, in seconds
    assignee: str  # the controller last notified to commit it


class EndAnnouncer:
    """Frees the capacity of ended attempts, notifies the peers, and has one controller commit them.

    An end is committed by the controller to which the job's team is assigned.  The announcer keeps
    the recently proved ends, as each heartbeat reports an end again until it is committed.
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
        """Create the announcer.

        Args:
            node: this controller's name.
            cluster_view: where the capacity is freed.
            peers: the other controllers, and the assignment of teams.
            plan_due: set when capacity is freed.
            max_wait_s: the longest time that an end may wait for its commit, in seconds.
            commit: called with each end that this controller must commit, possibly repeatedly.
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
        """The ends that this controller proved recently."""
        return self._proved

    def record_ended_attempts(self, ends: Iterable[EndedAttempt]) -> None:
        """Process ends that this controller has proved, including repeated ones."""
        now = clock.now()
        first_proved: list[peer_transport.EndedTask] = []
        reassigned: dict[str, list[peer_transport.EndedTask]] = {}
        for ended in ends:
            key = AttemptKey(ended.job, ended.task, ended.attempt.attempt)
            assignee = self._assignee(ended)
            proved_end = self._proved.get(key)
            if proved_end is None:
                proved_end = self._proved[key] = ProvedEnd(now, assignee)
                self._release_capacity(ended)
                first_proved.append(_end_message(ended))
            elif proved_end.assignee != assignee:
                # The team was reassigned, and the new assignee has not been notified of this end.
                self._proved[key] = ProvedEnd(proved_end.proved_at, assignee)
                reassigned.setdefault(assignee, []).append(_end_message(ended))
            # This controller commits an end that its assignee does not commit in time.
            overdue = now - proved_end.proved_at > _ASSIGNEE_TIMEOUT_WAITS * self._max_wait_s
            if assignee == self._node or overdue:
                self._commit(ended)
        self._notify_peers(first_proved, reassigned)

    def handle_peer_end(self, ended: EndedAttempt) -> None:
        """Process an end that a peer has proved."""
        self._cluster_view.note_ended(ended)
        self._plan_due.set()
        job = self._cache.jobs.get(ended.job)
        if job is not None and self._peers.assignee(job.spec.team) == self._node:
            self._commit(ended)

    def forget(self, now: float, max_age_s: float) -> None:
        """Drop the ends that were proved at least `max_age_s` seconds ago."""
        self._proved = {
            key: proved_end
            for key, proved_end in self._proved.items()
            if now - proved_end.proved_at < max_age_s
        }

    def _assignee(self, ended: EndedAttempt) -> str:
        """Return the controller that must commit an end: this one if the job is unknown."""
        job = self._cache.jobs.get(ended.job)
        return self._peers.assignee(job.spec.team) if job else self._node

    def _release_capacity(self, ended: EndedAttempt) -> None:
        """Release the capacity of an attempt whose end was proved for the first time."""
        if ended.outcome in (AttemptOutcome.LOST, AttemptOutcome.NEVER_RAN):
            log.info(
                "task %s/%d ended on machine %s: %s (epoch %d, attempt %d: %s)",
                ended.job,
                ended.task,
                ended.attempt.machine,
                ended.outcome,
                ended.attempt.agent_epoch,
                ended.attempt.attempt,
                ended.evidence,
            )
        self._cluster_view.note_ended(ended)
        self._plan_due.set()

    def _notify_peers(
        self,
        first_proved: list[peer_transport.EndedTask],
        reassigned: dict[str, list[peer_transport.EndedTask]],
    ) -> None:
        """Send new ends to all peers, and ends of reassigned teams to the new assignees."""
        connections = self._peers.connections
        for connection in connections.values():
            _send_ends(connection, first_proved)
        for assignee, ends in reassigned.items():
            if assignee in connections:
                _send_ends(connections[assignee], ends)


def _send_ends(
    connection: peer_transport.PeerConnection, ends: list[peer_transport.EndedTask]
) -> None:
    """Send ends to a peer, in as many messages as the limit on a frame requires."""
    for first in range(0, len(ends), _MAX_ENDS_PER_MESSAGE):
        batch = ends[first : first + _MAX_ENDS_PER_MESSAGE]
        connection.send(peer_transport.EndedTasks(batch))


def _end_message(ended: EndedAttempt) -> peer_transport.EndedTask:
    """Return the message that notifies peers of an end."""
    attempt = ended.attempt
    return peer_transport.EndedTask(
        job=ended.job,
        task=ended.task,
        machine=attempt.machine,
        zone=attempt.zone,
        agent_epoch=attempt.agent_epoch,
        attempt=attempt.attempt,
        outcome=ended.outcome,
    )
