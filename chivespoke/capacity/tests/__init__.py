"""Tests of capacity planning."""
