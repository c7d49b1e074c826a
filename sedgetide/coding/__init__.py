"""Typed forms of everything that is read or sent, checked on entry."""
