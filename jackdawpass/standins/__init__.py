"""Stand-ins for the outside systems, spoken to through their protocols."""
