"""Carries out how connections of callers are closed."""
