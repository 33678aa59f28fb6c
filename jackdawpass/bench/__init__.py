"""Experiments that compare the product's policy with a naive baseline."""
