"""Connections, their pools and the messages sent on them."""
