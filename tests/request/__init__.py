"""Tests of jackdawpass.request."""
