"""Typed messages between the system's processes, and their encoding."""
