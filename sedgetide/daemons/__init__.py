"""The daemons: thin processes around the decisions."""
