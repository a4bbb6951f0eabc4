"""The controller: construction, start and supervision of its services.

`ControllerServices` constructs the services from the lowest package up and passes each its
collaborators and callbacks; `Controller` starts and supervises them.  `PlanningLoop` and
`ChangeHandler` coordinate several packages: the first runs planning rounds, the second reacts to
changed records.  The package owns the signals that request planning and the task group of all
services.  It contains no scheduling policy and keeps no records.
"""

from sandladder.controller.controller import Controller

__all__ = ["Controller"]
