"""HTTP endpoint for agent heartbeats."""

import logging
from typing import NamedTuple

from sandladder.agents.agent_redirect import AgentRedirect
from sandladder.agents.agent_session import AgentSession
from sandladder.agents.collaborators import ClusterObservations, ControllerGroup, StoreAccess
from sandladder.agents.heartbeat_intake import HeartbeatIntake
from sandladder.agents.lease_renewal import LeaseRenewer
from sandladder.agents.reconciler import Reconciler
from sandladder.model import AgentHeartbeat
from sandladder.protocol import MalformedMessageError, agent_messages, dumps, job_messages, loads
from sandladder.transport import Request, Response, peer_transport

log = logging.getLogger(__name__)

# Status codes of the responses.
_OK = 200
_MALFORMED = 400
_REDIRECTED = 421
_OUTDATED = 503


class _PublishedState(NamedTuple):
    """Agent state whose changes are sent to the other controllers immediately."""

    agent_epoch: int
    on_notice: bool
    failed_jobs: int


class HeartbeatEndpoint:
    """Answers heartbeats with commands and a renewed lease, or with a redirect."""

    def __init__(
        self,
        group: ControllerGroup,
        store: StoreAccess,
        reconciler: Reconciler,
        cluster: ClusterObservations,
        renewer: LeaseRenewer,
        redirect: AgentRedirect,
        intake: HeartbeatIntake,
    ) -> None:
        self._group = group
        self._store = store
        self._reconciler = reconciler
        self._cluster = cluster
        self._renewer = renewer
        self._redirect = redirect
        self._intake = intake

    async def handle(self, request: Request) -> Response:
        """Answer one heartbeat.

        Waits only for acquiring a later fencing token, if the agent has accepted one above this
        controller's.  If cancelled while waiting, the heartbeat counts as not received.
        """
        try:
            heartbeat = agent_messages.parse_heartbeat(loads(request.body))
        except MalformedMessageError as error:
            log.warning("rejecting a malformed heartbeat: %s", error)
            return Response(_MALFORMED, job_messages.error_body(str(error)))
        redirected = self._redirect_elsewhere(heartbeat)
        if redirected is not None:
            return redirected
        if heartbeat.fencing_token > self._reconciler.fencing_token:
            acquired = await self._group.controller_lease.ensure_token(heartbeat.fencing_token)
            if not acquired:
                return _redirect_response(None)
        return self._accept(heartbeat)

    def _redirect_elsewhere(self, heartbeat: AgentHeartbeat) -> Response | None:
        """Return a redirect if the agent should report to another controller, else None."""
        peers = self._group.peers
        if not self._renewer.permitted():
            return _redirect_response(peers.find_serving_peer())
        if not self._store.reachable() and (peer := peers.find_serving_peer()):
            # The cached records may be outdated here, while the peer can read the store.
            return _redirect_response(peer)
        if (node := self._redirect.target(heartbeat)) is not None:
            return _redirect_response(node)
        return None

    def _accept(self, heartbeat: AgentHeartbeat) -> Response:
        """Process the heartbeat of an agent that reports here, and return the response."""
        self._redirect.accept(heartbeat)
        session = self._reconciler.agents.get(heartbeat.machine)
        before = None if session is None else _published_state(session)
        agent = self._intake.receive(heartbeat, direct=False)
        if agent is None:
            return Response(_OUTDATED, job_messages.error_body("a newer report is known"))
        if before != _published_state(agent):
            self._publish(agent)
        batch = self._reconciler.response_batch(agent, self._store.cache)
        if not self._renewer.renew(agent):
            return _redirect_response(None)
        self._reconciler.record_sent(agent, batch, direct=False)
        return Response(_OK, dumps(agent_messages.commands_value(batch.token, batch.commands)))

    def _publish(self, agent: AgentSession) -> None:
        """Send a new or changed machine to the peers, ahead of this controller's inventory."""
        machine = agent.heartbeat.machine
        observation = self._cluster.observation(machine)
        if observation is None:
            return
        for connection in self._group.peers.connections.values():
            connection.send(
                peer_transport.MachineUpdate(self._group.node, machine, observation.status)
            )


def _published_state(agent: AgentSession) -> _PublishedState:
    return _PublishedState(
        agent.agent_epoch, agent.termination_at is not None, len(agent.failed_jobs)
    )


def _redirect_response(node: str | None) -> Response:
    return Response(_REDIRECTED, agent_messages.redirect_body(node))
