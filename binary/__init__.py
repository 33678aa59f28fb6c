"""Builds, checks and measures the single-file executable of the product."""
