"""Tests of the package entries."""
