"""Failures injected into real processes; one module per guarantee."""
