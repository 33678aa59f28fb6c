"""Serving of callers' requests that are routed to listed targets."""
