"""Tests of jackdawpass.commands."""
