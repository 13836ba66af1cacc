"""Tests of the entries package."""
