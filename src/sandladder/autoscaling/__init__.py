"""Scaling out and in: which instances the cloud runs for the cluster.

One controller at a time is the autoscaler, under a short lease in the store.  The package decides
what to ask the cloud for and what to drain (`ScalingPolicy`, pure) and carries it out
(`Autoscaler`).  It owns the autoscaler's key, the records of instances and machine types, and what
it remembers of demand, refusals and boots.  It never places a task, never stops one, and never
returns an instance on which something may run, but for one that neither it nor any other
controller can reach.
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
