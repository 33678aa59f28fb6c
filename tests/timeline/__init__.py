"""Tests of jackdawpass.timeline."""
