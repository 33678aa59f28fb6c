"""Query tier for services whose data is spread over many shards."""

__version__ = "0.1.0"
