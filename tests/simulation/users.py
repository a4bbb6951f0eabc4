"""Simulated users, which submit, poll and cancel jobs, and check every response."""

import functools
from collections.abc import Awaitable
from typing import Any

import anyio
import cbor2

from sandladder.transport import Response
from simulation import rules
from simulation.answer_consistency import FINAL_STATES
from simulation.event_loop import now
from simulation.shared_state import SharedState

# Interval at which users retry a request, in seconds.
_RETRY_INTERVAL_S = 1.0
_LIVE_STATES = ("pending", "running")
# Share of the concurrently read jobs that are cancelled as soon as they are accepted.
_CANCEL_ACCEPTED_SHARE = 0.3
# Period within which concurrent reads begin, in seconds.
_CONCURRENT_READ_PERIOD_S = 0.005
_PERSISTENT_TRIES = 240


class Users:
    """The users of a simulation.  A cancelled request may have been executed."""

    def __init__(self, shared: SharedState) -> None:
        self._shared = shared

    async def submit(self, spec: dict[str, Any], tries: int = 40) -> int:
        """Submit until accepted or permanently rejected, and return the last status."""
        self._shared.specs[spec["id"]] = spec
        for _ in range(tries):
            status = await self.submit_once(spec)
            if status in (200, 201, 400, 422):
                return status
            await anyio.sleep(_RETRY_INTERVAL_S)
        return status

    async def submit_once(self, spec: dict[str, Any], node: int | None = None) -> int:
        """Send a submission once, check the response, and return its status."""
        shared, job_id, sent_at = self._shared, spec["id"], now()
        accepted_before = job_id in shared.answers.accepted_at
        response = await shared.ask("POST", "/work", spec, node)
        if response.status in (200, 201):
            if response.status == 201:
                shared.answers.check_accepted_again(job_id, sent_at)
                rules.check_acceptance(shared, spec)
            first = job_id not in shared.accepted
            shared.accepted.add(job_id)
            self._check_state(job_id, response, sent_at)
            if first:
                self.read_concurrently(job_id, "accepted")
        elif response.status in (400, 422) and accepted_before:
            shared.answers.check_unknown(job_id, sent_at, response.status)
        return response.status

    async def poll(self, job_id: str, node: int | None = None) -> dict[str, Any] | None:
        """Read the state of a job, check the response, and return its body or None."""
        shared, sent_at = self._shared, now()
        response = await shared.ask("GET", f"/work/{job_id}", node=node)
        if response.status == 404:
            shared.answers.check_unknown(job_id, sent_at, 404)
        if response.status != 200 or not rules.check_submitted(shared, job_id):
            return None
        body: dict[str, Any] = cbor2.loads(response.body)
        self._check_state(job_id, response, sent_at)
        if body["standing"] in _LIVE_STATES:
            rules.check_dependents_are_cancelled(shared, job_id, sent_at)
        return body

    async def cancel(self, job_id: str, tries: int = 40, node: int | None = None) -> str | None:
        """Repeat a cancellation until it gets 200, and return the state in the response, or None."""
        shared = self._shared
        for _ in range(tries):
            sent_at = now()
            shared.cancelled_at.setdefault(job_id, float("inf"))
            response = await shared.ask("POST", f"/work/{job_id}/cancel", node=node)
            if response.status == 200:
                state = self._state(job_id, response)
                if state not in FINAL_STATES:
                    detail = f"{job_id} is {state} in the response to its cancellation"
                    shared.record_violation("went_back", detail)
                self._check_state(job_id, response, sent_at)
                return state
            if response.status == 404:
                shared.answers.check_unknown(job_id, sent_at, 404)
            await anyio.sleep(max(0.0, sent_at + _RETRY_INTERVAL_S - now()))
        return None

    async def until_running(self, job_id: str, replicas: int, seconds: float = 30.0) -> None:
        """Poll until all replicas of a service run; a recent fault may have stopped some.

        Raises:
            TimeoutError: Not all replicas run within `seconds`.
        """
        with anyio.fail_after(seconds):
            while (await self.poll(job_id) or {}).get("running") != replicas:
                await anyio.sleep(1.0)

    async def until_done(self, ids: list[str], seconds: float) -> list[str]:
        """Poll for up to `seconds` until all jobs are in a final state, and return the others."""
        end = now() + seconds
        left = list(ids)
        while left and now() < end:
            for job_id in list(left):
                body = await self.poll(job_id)
                if body is not None and body["standing"] in FINAL_STATES:
                    left.remove(job_id)
            await anyio.sleep(1.0)
        return left

    def read_concurrently(self, job_id: str, event: str) -> None:
        """Poll and resubmit a job at all controllers within milliseconds, for a share of the jobs."""
        shared = self._shared
        if not shared.concurrent_read_share or shared.rng.random() >= shared.concurrent_read_share:
            return
        shared.observed[f"read concurrently when {event}"] += 1
        for node in range(shared.count):
            for request in (self.poll(job_id, node), self.submit_once(shared.specs[job_id], node)):
                shared.network.start(functools.partial(self._send_after_random_delay, request))
        if event == "accepted" and shared.rng.random() < _CANCEL_ACCEPTED_SHARE:
            self.cancel_persistently(job_id)

    def cancel_persistently(self, job_id: str) -> None:
        """Cancel a job in the background, until there is a response."""
        self._shared.network.start(functools.partial(self.cancel, job_id, _PERSISTENT_TRIES))

    async def _send_after_random_delay(self, request: Awaitable[Any]) -> None:
        await anyio.sleep(self._shared.rng.uniform(0.0, _CONCURRENT_READ_PERIOD_S))
        await request

    def _state(self, job_id: str, response: Response) -> str:
        """Return the state in a response, and check that it is about this job."""
        body = cbor2.loads(response.body)
        rules.check_answered_job(self._shared, job_id, body["id"])
        return str(body["standing"])

    def _check_state(self, job_id: str, response: Response, sent_at: float) -> None:
        """Check a response with the state of a job."""
        shared, state = self._shared, self._state(job_id, response)
        first = job_id not in shared.answers.final_states
        shared.answers.check_state(job_id, state, sent_at, now())
        shared.answers.check_dependencies(job_id, state, shared.dependencies(job_id), sent_at)
        done = cbor2.loads(response.body).get("done")
        if done is not None:
            shared.answers.check_done_count(job_id, done, sent_at, now())
        if state == "cancelled":
            rules.check_cancelled_by_user(shared, job_id)
            # The first response counts, whether to a poll or to the cancellation.
            if job_id in shared.cancelled_at:
                shared.cancelled_at[job_id] = min(shared.cancelled_at[job_id], now())
        if state == "done":
            rules.check_done(shared, job_id)
        if first and state in FINAL_STATES:
            self.read_concurrently(job_id, state)
