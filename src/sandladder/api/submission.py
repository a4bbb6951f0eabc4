"""Submission of jobs: checked, committed, then answered as accepted."""

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

# Number of puts of a submission.
_SUBMISSION_OPERATIONS = 1


class SubmissionService:
    """Accepts jobs.

    A submission is an idempotent request: if the job was accepted before, the answer is the job's
    state, whatever the other fields of the submission.
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
        wall_clock: Callable[[], float],
        timeout_s: float,
    ) -> None:
        """Create the service.

        Args:
            store_reachable: returns whether the store answered this controller recently.
            wall_clock: returns the time of day, in seconds.
            timeout_s: timeout of a commit, in seconds.
        """
        self._lookup = lookup
        self._admission = admission
        self._cache = cache
        self._committer = committer
        self._peers = peers
        self._store_reachable = store_reachable
        self._wall_clock = wall_clock
        self._timeout_s = timeout_s

    async def submit(self, body: bytes) -> Answer:
        """Check and commit a submission, notify the team's controller and return the answer.

        If this call is cancelled during the commit, the job may still be accepted; a retry of the
        request returns its state.

        Raises:
            StoreRequestError: the records cannot be read or changed now.
            TimeoutError: the operation timed out; the job may be accepted or not.
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
        """Return the refusal, or the state of the job if it was accepted before."""
        job = await self._lookup.find(job_id)
        return refusal if job is None else self._lookup.answer(job_id, job)

    async def _commit(self, spec: JobSpec, dependencies: SubmittedDependencies) -> Answer:
        """Commit a job that passed the checks, and return its state as the answer."""
        if self._committer.full or not self._store_reachable():
            return RetryLater()
        submitted_at = self._wall_clock()

        def apply(transaction: Transaction) -> bool:
            submit(transaction, spec, submitted_at, dependencies)
            return True

        change = PendingChange(
            f"submission of {spec.id}",
            PRIORITY_REQUEST,
            _SUBMISSION_OPERATIONS,
            apply,
            settled_by_key=FINISHED_JOB_PREFIX + spec.id,
        )
        try:
            with anyio.fail_after(self._timeout_s):
                await self._committer.add(change).wait()
        except PreconditionFailedError:
            return await self._unless_accepted(spec.id, RetryLater())
        self._peers.notify({self._peers.assignee(spec.team)})
        # Another controller may already have answered with a later state; the answer here must not
        # be older.
        answer = self._lookup.answer(spec.id, await self._lookup.find_committed(spec.id))
        if isinstance(answer, UnknownJob):
            return RetryLater()
        return AcceptedJob(answer.job_id, answer.state, answer.done, answer.running)
