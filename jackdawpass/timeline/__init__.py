"""Merges the events of several processes into one time line."""
