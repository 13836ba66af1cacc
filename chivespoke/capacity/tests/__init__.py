"""Tests of the capacity calculator."""
