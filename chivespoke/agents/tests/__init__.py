"""Tests of the package agents."""
