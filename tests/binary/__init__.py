"""Tests of the checks that builds of the executable must pass."""
