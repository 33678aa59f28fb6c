"""Specifications of the core protocol, checked by a model checker."""
