"""Tests that start the programs as separate processes."""
