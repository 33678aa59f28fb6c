"""Build, checks and measurement of the single-file executable of the product."""
