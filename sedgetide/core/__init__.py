"""Domain logic of the router: pure functions and aggregates without I/O.

Functions that depend on the current time take it as ``now``, in seconds of
the local monotonic clock.
"""
