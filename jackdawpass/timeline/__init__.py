"""Time line merged from the events of several processes."""
