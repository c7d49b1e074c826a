"""Abstract interfaces to external systems, and their HTTP clients."""
