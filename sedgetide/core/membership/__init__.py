"""Registered upstreams, members of data centres and their liveness."""
