"""Decisions of the router: pure functions and aggregates, no I/O.

Every function that depends on the present time takes it as ``now``, in
seconds of the caller's monotonic clock.
"""
