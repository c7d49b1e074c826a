"""Ownership of keys: leadership, grants, load balancing and moves."""
