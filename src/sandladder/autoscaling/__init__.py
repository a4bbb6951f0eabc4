"""Autoscaling: scales the cluster's cloud instances out and in.

One controller at a time is the autoscaler, under a short lease in the store.  `ScalingPolicy`
decides which instances to request and which to drain, without I/O; `Autoscaler` carries the
decisions out.  The package owns the autoscaler's key, the records of instances and machine types,
and the history of demand, refusals and boots.  It never places or stops a task, and it never
returns an instance on which a task may run, except one that no controller can reach.
"""

from sandladder.autoscaling.autoscaler import Autoscaler
from sandladder.autoscaling.cloud_client import CloudClient, CloudError, NoCapacityError
from sandladder.autoscaling.controller_status import ControllerStatus
from sandladder.autoscaling.offers import Offer, ScaleOutRequest
from sandladder.autoscaling.scaling_policy import ScalingPolicy

__all__ = [
    "Autoscaler",
    "CloudClient",
    "CloudError",
    "ControllerStatus",
    "NoCapacityError",
    "Offer",
    "ScaleOutRequest",
    "ScalingPolicy",
]
