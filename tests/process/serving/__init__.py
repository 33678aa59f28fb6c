"""Tests of serving routes of listed targets."""
