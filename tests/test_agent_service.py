"""Tests of the agent service: direct commands, lease renewal, detection of isolation."""

import asyncio
import logging
import math
from collections.abc import Awaitable, Callable
from types import SimpleNamespace

import anyio
import cbor2
import pytest

from helpers import LIMITS, accept, commit
from sandladder import clock
from sandladder.agents import AgentRecords, LeaseExpiryProof, LeaseRenewalGuard, Reconciler
from sandladder.agents.agent_clients import AgentClients
from sandladder.agents.agent_redirect import AgentRedirect
from sandladder.agents.command_sender import CommandSender
from sandladder.agents.lease_renewal import LeaseRenewer
from sandladder.concurrency import BackgroundTasks
from sandladder.config import AgentSettings
from sandladder.jobs import cancel, start
from sandladder.model import AgentHeartbeat, Placement
from sandladder.state import StateCache, Transaction
from sandladder.transport import HttpError, Request, Response

TOKEN = 5
WORKERS = AgentSettings(report_s=0.04, lease_s=0.2, cancel_s=80.0)


def heartbeat(seq: int = 1, token: int = TOKEN) -> AgentHeartbeat:
    """Return a heartbeat without tasks from the agent on vm-1."""
    return AgentHeartbeat("vm-1", "vm-1:1", "small", "north", False, 1, seq, token, None, ())


def heartbeat_body(seq: int, token: int = TOKEN, machine: str = "vm-1") -> bytes:
    """Return the wire format of a heartbeat without tasks."""
    return cbor2.dumps(
        {
            "rung": machine, "addr": "vm-1:1", "breed": "small", "district": "north",
            "loaners": False, "shift": 1, "tally": seq, "seal": token, "entries": [],
        }
    )  # fmt: skip


class ScriptedAgent:
    """A fake HTTP client that returns the given responses in order."""

    def __init__(self, *responses: Response | HttpError) -> None:
        self.responses = list(responses)
        self.requests: list[Request] = []
        self.addresses: list[tuple[str, int]] = []
        self.closed = 0

    def connect(self, host: str, port: int, *, keep: int) -> "ScriptedAgent":
        self.addresses.append((host, port))
        return self

    async def request(
        self, method: str, target: str, body: bytes = b"", *, timeout: float
    ) -> Response:
        self.requests.append(Request(method, target, body))
        response = self.responses.pop(0)
        if isinstance(response, HttpError):
            raise response
        return response

    async def aclose(self) -> None:
        self.closed += 1


class CommandSenderFixture:
    """A command sender for the agent on vm-1, with one committed start on vm-1."""

    def __init__(self, agent: ScriptedAgent, background: BackgroundTasks) -> None:
        self.cache, self.reconciler = StateCache(), Reconciler()
        accept(self.cache, entries=1)
        transaction = Transaction(self.cache)
        start(transaction, "job-000001", [Placement(0, "vm-1", "north", 1)], LIMITS)
        commit(self.cache, transaction)
        self.reconciler.adopt_fencing_token(TOKEN)
        self.session = self.reconciler.receive_heartbeat(
            heartbeat(), clock.now(), direct=False
        ).agent
        self.session.synced = True
        self.guard = LeaseRenewalGuard("node-0", ["node-1"], 1, WORKERS)
        self.guard.record_store_read(clock.now())
        self.ended = []
        expiry = LeaseExpiryProof("node-0", ["node-0"], WORKERS.lease_s, clock.now())
        self.sender = CommandSender(
            WORKERS.report_s,
            background,
            AgentClients(agent.connect),
            AgentRecords(self.reconciler, expiry, self.guard),
            self.cache,
            SimpleNamespace(alive=lambda: True),
            SimpleNamespace(record_ended_attempts=self.ended.extend),
            SimpleNamespace(receive=self._receive),
        )

    def cancel_job(self) -> None:
        """Commit the cancellation of the job."""
        transaction = Transaction(self.cache)
        cancel(transaction, "job-000001", 0.0)
        commit(self.cache, transaction)

    async def finish_sending(self) -> None:
        """Wait until no command is in flight."""
        with anyio.fail_after(10.0):
            while self.session.command_in_flight:
                await anyio.sleep(0.001)

    def _receive(self, heartbeat: AgentHeartbeat, *, direct: bool) -> None:
        assert direct
        self.reconciler.receive_heartbeat(heartbeat, clock.now(), direct=direct)


def run_with_sender(
    agent: ScriptedAgent, steps: Callable[[CommandSenderFixture], Awaitable[None]]
) -> None:
    """Run the steps of a test with a command sender, and wait for its background tasks."""

    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            background = BackgroundTasks()
            background.open(tasks)
            await steps(CommandSenderFixture(agent, background))

    asyncio.run(main())


def operations(request: Request) -> list[str]:
    """Return the operations of a request, in their wire format."""
    return [order["verb"] for order in cbor2.loads(request.body)["orders"]]


def test_an_unanswered_start_may_be_late_and_limits_renewal_until_a_later_token() -> None:
    agent = ScriptedAgent(HttpError("no answer within 0.04 s"))

    async def steps(fixture: CommandSenderFixture) -> None:
        known_until = fixture.guard.cancellations_known_until()
        fixture.sender.send_commands(fixture.session)
        assert fixture.session.command_in_flight
        await fixture.finish_sending()
        fixture.guard.record_store_read(clock.now())
        assert fixture.session.unanswered_start_token == TOKEN
        assert fixture.session.late_start_cancellations_known_until == known_until
        fixture.reconciler.adopt_fencing_token(TOKEN + 1)
        fixture.reconciler.receive_heartbeat(heartbeat(2, TOKEN + 1), clock.now(), direct=False)
        assert fixture.session.unanswered_start_token is None
        assert not fixture.session.sent_starts.latest_token(("job-000001", 0, 1))
        assert fixture.session.late_start_cancellations_known_until == math.inf

    run_with_sender(agent, steps)
    assert [operations(request) for request in agent.requests] == [["run"]]


def test_an_answered_start_is_not_sent_again_before_the_next_heartbeat() -> None:
    agent = ScriptedAgent(Response(200, heartbeat_body(2)))

    async def steps(fixture: CommandSenderFixture) -> None:
        fixture.sender.send_commands(fixture.session)
        fixture.sender.send_commands(fixture.session)  # one batch at a time
        await fixture.finish_sending()
        assert fixture.session.unanswered_start_token is None
        assert fixture.session.late_start_cancellations_known_until == math.inf

    run_with_sender(agent, steps)
    assert len(agent.requests) == 1 and agent.addresses == [("vm-1", 1)]


def test_a_stopped_attempt_absent_from_the_response_is_proved_never_started() -> None:
    agent = ScriptedAgent(Response(200, heartbeat_body(2)))

    async def steps(fixture: CommandSenderFixture) -> None:
        fixture.cancel_job()
        fixture.sender.send_commands(fixture.session)
        await fixture.finish_sending()
        assert [(end.job, end.task, end.outcome) for end in fixture.ended] == [
            ("job-000001", 0, "never")
        ]

    run_with_sender(agent, steps)
    assert [operations(request) for request in agent.requests] == [["halt"]]


@pytest.mark.parametrize(
    "response",
    [
        HttpError("no answer within 0.04 s"),
        Response(200, b"not CBOR"),
        Response(200, heartbeat_body(2, machine="vm-2")),
        Response(200, heartbeat_body(2, TOKEN - 1)),
        Response(409, heartbeat_body(2, TOKEN + 1)),
    ],
    ids=["timeout", "malformed", "another machine", "another token", "rejected"],
)
def test_a_failed_command_does_not_prove_that_a_stopped_attempt_never_started(
    response: Response | HttpError,
) -> None:
    agent = ScriptedAgent(response)

    async def steps(fixture: CommandSenderFixture) -> None:
        fixture.cancel_job()
        fixture.sender.send_commands(fixture.session)
        await fixture.finish_sending()
        assert not fixture.ended

    run_with_sender(agent, steps)
    assert len(agent.requests) == 1


@pytest.mark.parametrize("seq", [1, 2], ids=["not newer", "newer"])
def test_an_agent_that_rejects_the_token_is_sent_no_more_commands(seq: int) -> None:
    agent = ScriptedAgent(Response(409, heartbeat_body(seq, TOKEN + 1)))

    async def steps(fixture: CommandSenderFixture) -> None:
        fixture.sender.send_commands(fixture.session)
        await fixture.finish_sending()
        assert not fixture.session.accepts_token
        fixture.sender.send_commands(fixture.session)
        await fixture.finish_sending()

    run_with_sender(agent, steps)
    assert len(agent.requests) == 1


def test_clients_of_removed_machines_are_closed() -> None:
    agent = ScriptedAgent()

    async def main() -> None:
        clients = AgentClients(agent.connect)
        assert clients.get("vm-1", "vm-1:1") is clients.get("vm-1", "vm-1:1")
        clients.get("vm-2", "vm-2:1")
        await clients.close_except({"vm-2"})

    asyncio.run(main())
    assert agent.addresses == [("vm-1", 1), ("vm-2", 1)] and agent.closed == 1


def test_a_lease_is_renewed_only_with_a_valid_controller_lease_and_known_cancellations(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def main() -> None:
        guard = LeaseRenewalGuard("node-0", ["node-1"], 1, WORKERS)
        expiry = LeaseExpiryProof("node-0", ["node-0"], WORKERS.lease_s, clock.now())
        controller_lease = SimpleNamespace(alive=lambda: True)
        renewer = LeaseRenewer(controller_lease, guard, expiry)
        agent = Reconciler().receive_heartbeat(heartbeat(), clock.now(), direct=False).agent
        assert not renewer.permitted() and not renewer.renew(agent)
        assert expiry.answered_machines() == []
        guard.record_store_read(clock.now())
        assert renewer.permitted() and renewer.renew(agent)
        assert expiry.answered_machines() == ["vm-1"]
        agent.late_start_cancellations_known_until = (
            clock.now() - WORKERS.cancellation_knowledge_age_s - 0.1
        )
        assert renewer.permitted() and not renewer.renew(agent)
        agent.late_start_cancellations_known_until = math.inf
        controller_lease.alive = lambda: False
        assert not renewer.permitted() and not renewer.renew(agent)

    with caplog.at_level(logging.WARNING, logger="sandladder.agents.lease_renewal"):
        asyncio.run(main())
    messages = [record.getMessage() for record in caplog.records]
    assert len(messages) == 2
    assert messages[0].startswith("agent leases are not renewed: ")
    assert messages[1].startswith("agent leases are renewed again: ")


@pytest.mark.parametrize(
    ("agents", "others_have_agents", "isolated"),
    [(4, True, True), (3, True, False), (4, False, False)],
    ids=["enough agents lost", "too few agents lost", "no agents report elsewhere"],
)
def test_a_controller_is_isolated_when_it_lost_several_agents_that_report_elsewhere(
    agents: int, others_have_agents: bool, isolated: bool
) -> None:
    """Guards against an isolated controller that returns healthy machines to the cloud."""
    membership = SimpleNamespace(agents_report_elsewhere=lambda: others_have_agents)
    group = SimpleNamespace(node="node-0", membership=membership)
    cluster = SimpleNamespace(observation=lambda machine: None, fresh_s=2.5 * WORKERS.report_s)

    async def main() -> None:
        redirect = AgentRedirect(WORKERS, group, Reconciler(), cluster)
        redirect.agent_count = agents
        before = clock.now()
        redirect.accept(heartbeat())
        after = clock.now()
        assert not redirect.is_isolated(before + 1.2 * WORKERS.report_s)
        assert redirect.is_isolated(after + 1.4 * WORKERS.report_s) == isolated

    asyncio.run(main())
