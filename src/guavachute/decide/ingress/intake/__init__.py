"""Bounds what the callers of a process make it hold."""
