"""Specifications of the core protocols, verified by a model checker."""
