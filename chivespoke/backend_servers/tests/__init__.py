"""Tests of the package backend_servers."""
