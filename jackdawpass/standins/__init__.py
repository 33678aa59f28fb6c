"""Stand-ins for external systems, which speak the same protocols as these."""
