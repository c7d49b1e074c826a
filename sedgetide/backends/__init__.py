"""Outside systems behind abstract base classes, one module a protocol."""
