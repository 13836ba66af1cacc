"""Tests of the intake of requests."""
