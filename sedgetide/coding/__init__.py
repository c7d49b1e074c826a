"""Encoding, decoding and validation of messages, settings and records."""
