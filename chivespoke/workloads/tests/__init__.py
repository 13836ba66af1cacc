"""Tests of the package workloads."""
