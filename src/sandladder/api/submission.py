"""Submissions: a job is checked, committed, and only then called accepted."""

from collections.abc import Callable

import anyio

from sandladder.api.admission import AdmissionCheck
from sandladder.api.answers import (
    AcceptedJob,
    Answer,
    MalformedSubmission,
    NeverRunnable,
    Refusal,
    RetryLater,
    UnknownJob,
)
from sandladder.api.job_lookup import JobLookup
from sandladder.jobs import SubmittedDependencies, submit
from sandladder.model import JobSpec
from sandladder.peers import PeerService
from sandladder.protocol import MalformedMessageError
from sandladder.protocol.job_messages import job_id_of, parse_submission
from sandladder.state import (
    FINISHED_JOB_PREFIX,
    PRIORITY_REQUEST,
    GroupCommitter,
    PendingChange,
    PreconditionFailedError,
    StateCache,
    Transaction,
)

# Puts that a submission takes.
_CHANGES_OF_A_SUBMISSION = 1


class SubmissionService:
    """Accepts jobs.

    A submission is an idempotent request: one of a job that was accepted before is answered with
    the job's state, whatever else it says, at whatever time it comes.
    """

    def __init__(
        self,
        *,
        lookup: JobLookup,
        admission: AdmissionCheck,
        cache: StateCache,
        committer: GroupCommitter,
        peers: PeerService,
        store_reachable: Callable[[], bool],
        wall: Callable[[], float],
        timeout_s: float,
    ) -> None:
        """`wall`: the time of day; `timeout_s`: how long a commit is waited for, in seconds."""
        self._lookup = lookup
        self._admission = admission
        self._cache = cache
        self._committer = committer
        self._peers = peers
        self._store_reachable = store_reachable
        self._wall = wall
        self._timeout_s = timeout_s

    async def submit(self, body: bytes) -> Answer:
        """Answer a submission: check it, commit it and notify the controller of its team.

        Cancelled while the commit is under way, the job may be accepted all the same: the user's
        next attempt shows it.

        Raises:
            StoreRequestError: the records cannot be read or changed now.
            TimeoutError: that took too long; the job may be accepted or not.
        """
        try:
            submission = parse_submission(body)
        except MalformedMessageError as error:
            refusal = MalformedSubmission(str(error))
            job_id = job_id_of(body)
            return refusal if job_id is None else await self._unless_accepted(job_id, refusal)
        spec = submission.spec
        if spec.id in self._cache.jobs or self._cache.finished_job(spec.id):
            return self._lookup.answer(spec.id, await self._lookup.find(spec.id))
        checked = await self._admission.check(submission)
        if isinstance(checked, NeverRunnable):
            return await self._unless_accepted(spec.id, checked)
        if isinstance(checked, RetryLater):
            return checked
        return await self._commit(spec, checked)

    async def _unless_accepted(self, job_id: str, refusal: Refusal) -> Answer:
        """Refuse, but not a job that was accepted: it stays so, whatever is submitted later."""
        found = await self._lookup.find(job_id)
        return refusal if found is None else self._lookup.answer(job_id, found)

    async def _commit(self, spec: JobSpec, dependencies: SubmittedDependencies) -> Answer:
        """Commit a job that may be accepted, and answer with its state."""
        if self._committer.full or not self._store_reachable():
            return RetryLater()
        submitted_at = self._wall()

        def apply(transaction: Transaction) -> bool:
            submit(transaction, spec, submitted_at, dependencies)
            return True

        change = PendingChange(
            f"submission of {spec.id}",
            PRIORITY_REQUEST,
            _CHANGES_OF_A_SUBMISSION,
            apply,
            settled_by_key=FINISHED_JOB_PREFIX + spec.id,
        )
        try:
            with anyio.fail_after(self._timeout_s):
                await self._committer.add(change).wait()
        except PreconditionFailedError:
            return await self._unless_accepted(spec.id, RetryLater())
        self._peers.notify({self._peers.assignee(spec.team)})
        # Another controller may have answered with a later state already, from the same commit:
        # no earlier one is given here.
        found = self._cache.jobs.get(spec.id) or self._cache.finished_job(spec.id)
        known = self._lookup.answer(spec.id, found)
        if isinstance(known, UnknownJob):
            return RetryLater()  # gone from memory meanwhile: a read finds it
        return AcceptedJob(known.job_id, known.state, known.done, known.running)
