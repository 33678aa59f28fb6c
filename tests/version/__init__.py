"""Tests of what lives for one configuration version."""
