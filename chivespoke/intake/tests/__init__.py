"""Tests of the package intake."""
