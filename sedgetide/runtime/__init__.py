"""Utilities shared by all daemons: tasks, sockets, clock and event log."""
