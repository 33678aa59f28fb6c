"""Tests of the experiments and of their measures."""
