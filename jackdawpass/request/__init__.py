"""Parsing, state machines and results of a caller's request."""
