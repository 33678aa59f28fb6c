"""Serving of callers whose requests are routed to listed targets."""
