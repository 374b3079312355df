"""Measurements; each module prints its own table."""
