"""Tests of what lives for the process."""
