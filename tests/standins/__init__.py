"""Tests of jackdawpass.standins."""
