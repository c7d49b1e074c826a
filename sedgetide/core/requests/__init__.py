"""Handling of one request: route, target, attempts and outcome."""
