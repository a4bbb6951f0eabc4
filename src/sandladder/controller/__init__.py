"""One controller: its services, made and started."""

from sandladder.controller.controller import Controller

__all__ = ["Controller"]
