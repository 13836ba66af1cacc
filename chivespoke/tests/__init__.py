"""Tests of the top-level modules and of the whole system."""
