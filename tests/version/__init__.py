"""Tests of jackdawpass.version."""
