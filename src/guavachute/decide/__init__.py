"""Decisions without input or output; the current time is an argument."""
