"""Tests of jackdawpass.process."""
