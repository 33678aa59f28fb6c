"""Tests of the checks that the built executable must pass."""
