"""The daemons: I/O around the decision logic of :mod:`sedgetide.core`."""
