"""What lives for one request of a caller."""
