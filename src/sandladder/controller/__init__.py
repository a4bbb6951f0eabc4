"""One controller: its services, made, started and joined.

`ControllerServices` constructs them from the lowest package up and hands each the collaborators and
callbacks that it uses; `Controller` starts them and supervises them.  `PlanningLoop` and
`ChangeHandler` join what several packages do: a round of planning, and the reaction to changed
records.  The package owns the signals that ask for planning and the task group in which everything
runs.  It never decides anything itself and keeps no records.
"""

from sandladder.controller.controller import Controller

__all__ = ["Controller"]
