"""Time line of events of many processes."""
