"""A randomized fault test of real controller processes on the loopback interface.

The store, the cloud, the workers, the users and the rules are those of `simulation`, here on the
real clock and behind sockets; `run.py` is the command.
"""
