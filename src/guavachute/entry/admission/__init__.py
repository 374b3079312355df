"""Carries out the decision when the requests of callers begin."""
