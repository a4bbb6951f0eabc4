"""The job API."""

from sandladder.api.job_api import JobApi

__all__ = ["JobApi"]
