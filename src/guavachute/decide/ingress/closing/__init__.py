"""Decides when connections of callers may be closed."""
