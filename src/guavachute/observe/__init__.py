"""Logs, counters and traces."""
