"""Tests of the package coordination."""
