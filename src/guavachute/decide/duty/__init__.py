"""Decisions of the duty holder: scaling orders and usage reports."""
