"""Focused tests that run in one process."""
