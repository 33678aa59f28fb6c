"""Serves callers' requests that are routed to listed targets."""
