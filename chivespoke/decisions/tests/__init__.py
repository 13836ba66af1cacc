"""Tests of the package decisions."""
