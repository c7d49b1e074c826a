"""What becomes of one request: route, target, attempts, outcome."""
