"""Tests of the package replication."""
