"""Which machines are rented and returned."""

from sandladder.autoscaling.autoscaler import Autoscaler
from sandladder.autoscaling.cloud_client import CloudClient, CloudError
from sandladder.autoscaling.scaling_policy import ScalingPolicy

__all__ = ["Autoscaler", "CloudClient", "CloudError", "ScalingPolicy"]
