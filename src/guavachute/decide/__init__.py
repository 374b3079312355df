"""Decisions as pure functions: (state, event, now) to actions."""
