"""Tests of the top modules, and builders of test data."""
