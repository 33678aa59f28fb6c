"""Soak test that injects random faults into real processes from outside them."""
