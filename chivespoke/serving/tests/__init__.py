"""Tests of the package serving."""
