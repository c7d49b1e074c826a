"""HTTP connections on which the project decides each send."""
