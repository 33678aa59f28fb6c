"""Tests of jackdawpass.connection."""
