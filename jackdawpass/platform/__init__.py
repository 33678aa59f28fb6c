"""Adapter between the platform's protocols and the types of this package."""
