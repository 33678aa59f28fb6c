"""Stand-ins for external systems, with the protocols of these systems."""
