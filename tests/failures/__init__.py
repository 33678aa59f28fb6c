"""Failures induced on real processes, one module per promise."""
