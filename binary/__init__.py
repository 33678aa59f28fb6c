"""Builds and checks the one executable file of the product."""
