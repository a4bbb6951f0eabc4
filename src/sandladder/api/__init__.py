"""The job API: what users submit, ask and cancel, and the health check of the load balancer.

`JobApi` answers whatever comes to a controller's public address: `JobRouter` picks the service for
a user's request (`SubmissionService`, `JobLookup`, `CancellationService`), `RequestForwarder` has
it served by a peer while the key-value store does not answer here, and `answers` has one type for
each answer with its status code.  Heartbeats of agents go to the handler that `JobApi` is given.

It owns no state: jobs are in the key-value store and, as a copy, in the cache of `state`.  It never
answers that a job is accepted, done or cancelled before that is committed, never gives an older
answer than some controller gave before, and never commands agents.
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
