"""Experiments that compare the policy with a naive baseline."""
