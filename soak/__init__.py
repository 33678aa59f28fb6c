"""Randomized faults against real processes, injected from outside them."""
