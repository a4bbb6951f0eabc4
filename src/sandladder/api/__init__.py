"""The job API: submission, status and cancellation of jobs, and the load balancer's health check.

`JobApi` answers every request to a controller's public address: `JobRouter` selects the service for
a user's request (`SubmissionService`, `JobLookup`, `CancellationService`), `RequestForwarder`
forwards it to a peer while the key-value store does not answer this controller, and `answers`
defines one type for each answer with its status code.  `JobApi` passes agents' heartbeats to a
separate handler.

The package owns no state: jobs are in the key-value store and, as a copy, in the cache of `state`.
It answers that a job is accepted, done or cancelled only after that is committed, never returns an
older state than any controller returned before, and never sends commands to agents.
"""

from sandladder.api.admission import AdmissionCheck
from sandladder.api.cancellation import CancellationService
from sandladder.api.dependency_check import DependencyCheck
from sandladder.api.forwarding import RequestForwarder
from sandladder.api.health import HealthCheck
from sandladder.api.job_api import JobApi
from sandladder.api.job_lookup import JobLookup
from sandladder.api.router import JobRouter
from sandladder.api.submission import SubmissionService

__all__ = [
    "AdmissionCheck",
    "CancellationService",
    "DependencyCheck",
    "HealthCheck",
    "JobApi",
    "JobLookup",
    "JobRouter",
    "RequestForwarder",
    "SubmissionService",
]
